"""The report as a table, as JSON, and as a page."""

import base64
import html
import io

from rich.table import Table

__all__ = ["make_page", "make_table", "make_value"]

STYLE = (
    "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}"
    ".fires{color:#b00;font-weight:bold}"
)
COLUMNS = ("objective", "good", "of", "budget left")


def make_value(burns, missing, now):
    """Return the report as a plain value for JSON."""
    return {
        "at": now,
        "fires": any(burn.fires for burn in burns),
        "missing_hosts": missing,
        "objectives": [_show_burn(burn) for burn in burns],
    }


def make_table(burns):
    """Return the report as a table for a terminal."""
    table = Table(title="Service level burn")
    names = [window.window.name for window in burns[0].windows] if burns else []
    for column in (*COLUMNS, *names, "alert"):
        table.add_column(column, justify="left" if column == "objective" else "right")
    for burn in burns:
        style = "bold red" if burn.fires else None
        table.add_row(*_list_cells(burn), style=style)
    return table


def make_page(burns, missing, now_text):
    """Return the report as an HTML page with a plot."""
    names = [window.window.name for window in burns[0].windows] if burns else []
    header = "".join(f"<th>{c}</th>" for c in (*COLUMNS, *names, "alert"))
    rows = "".join(
        f'<tr class="{"fires" if burn.fires else ""}">'
        + "".join(f"<td>{html.escape(cell)}</td>" for cell in _list_cells(burn))
        + "</tr>"
        for burn in burns
    )
    lost = "".join(
        f"<li>{html.escape(host)}: last seen {age:.0f} s ago</li>"
        for host, age in missing.items()
    )
    return (
        f"<!doctype html><title>Service level burn</title><style>{STYLE}</style>"
        f"<h1>Service level burn</h1><p>{html.escape(now_text)}</p>"
        f"<table><tr>{header}</tr>{rows}</table>"
        f"<h2>Hosts not heard of lately</h2><ul>{lost or '<li>none</li>'}</ul>"
        f'<img alt="burn rates" src="data:image/png;base64,{_plot(burns)}">'
    )


def _show_burn(burn):
    return {
        "objective": burn.objective.name,
        "kind": burn.objective.kind.value,
        "target": burn.objective.target,
        "good": burn.counts.good,
        "total": burn.counts.total,
        "budget_left": burn.budget_left,
        "has_data": burn.has_data,
        "windows": [
            {
                "name": window.window.name,
                "long_rate": window.long_rate,
                "short_rate": window.short_rate,
                "fires": window.fires,
            }
            for window in burn.windows
        ],
    }


def _list_cells(burn):
    if not burn.has_data:
        blank = ["-"] * len(burn.windows)
        return [burn.objective.name, "no data", "0", "-", *blank, "-"]
    rates = [f"{w.long_rate:.2f} / {w.short_rate:.2f}" for w in burn.windows]
    fired = [w.window.severity for w in burn.windows if w.fires]
    return [
        burn.objective.name,
        f"{burn.counts.good / burn.counts.total:.3%}",
        f"{burn.counts.total:.0f}",
        f"{burn.budget_left:.1%}",
        *rates,
        fired[0] if fired else "",
    ]


def _plot(burns):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(8, 1 + 0.6 * max(1, len(burns))))
    height = 0.8 / max(1, len(burns[0].windows) if burns else 1)
    for row, burn in enumerate(burns):
        for number, window in enumerate(burn.windows):
            colour = "firebrick" if window.fires else "steelblue"
            at = row + number * height
            axis.barh(at, window.long_rate, height * 0.9, color=colour)
    axis.set_yticks(range(len(burns)), [burn.objective.name for burn in burns])
    axis.set_xlabel("burn rate over the long windows (1 uses up the budget in time)")
    axis.invert_yaxis()
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode("ascii")
