"""Write what an experiment gave: JSON record, table, plot."""

import os
import subprocess
import time
from abc import ABC, abstractmethod

import orjson
from rich.console import Console
from rich.table import Table


class Experiment(ABC):
    """An experiment.

    Attributes
    ----------
    name : str
    question : str
    plotted : tuple of str
        Columns that the plot shows.
    only : str
        Leave out points whose name does not begin so; for `control`.
    """

    name = ""
    question = ""
    plotted = ()
    only = ""

    @abstractmethod
    def run(self, seed, seconds, rounds):
        """Run it; yield rows as dicts, each with deployment and variant."""


def collect_rows(folder, rows):
    """Return all rows; each is also appended to a file as soon as it is there."""
    folder.mkdir(parents=True, exist_ok=True)
    collected = []
    with (folder / "rows.jsonl").open("wb", buffering=0) as file:
        for row in rows:
            file.write(orjson.dumps(row) + b"\n")
            collected.append(row)
    return collected


def write_record(folder, experiment, rows, seed, seconds, rounds):
    """Write ``record.json``, ``table.md`` and ``plot.png``; show the table."""
    record = {
        "scenario": experiment.name,
        "question": experiment.question,
        "commit": _read_commit(),
        "command": f"python -m bench {experiment.name} --seed {seed}"
        f" --seconds {seconds:g} --rounds {rounds}",
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "load_average": os.getloadavg(),
        "rows": rows,
    }
    (folder / "record.json").write_bytes(
        orjson.dumps(record, option=orjson.OPT_INDENT_2)
    )
    (folder / "table.md").write_text(_make_markdown(rows))
    _print_table(experiment, rows)
    _plot(folder / "plot.png", experiment, rows)
    print(f"{folder}/record.json  load average {record['load_average'][0]:.1f}")


def _read_commit():
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()


def _list_columns(rows):
    return list(dict.fromkeys(name for row in rows for name in row))


def _show(value):
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _make_markdown(rows):
    columns = _list_columns(rows)
    lines = [" | ".join(columns), " | ".join("---" for _ in columns)]
    lines += [" | ".join(_show(row.get(c, "")) for c in columns) for row in rows]
    return "".join(f"| {line} |\n" for line in lines)


def _print_table(experiment, rows):
    table = Table(title=experiment.question)
    columns = _list_columns(rows)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(_show(row.get(column, "")) for column in columns))
    Console(width=200).print(table)


def _plot(path, experiment, rows):
    if not experiment.plotted:
        return
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        1, len(experiment.plotted), figsize=(5 * len(experiment.plotted), 4)
    )
    axes = [axes] if len(experiment.plotted) == 1 else axes
    labels = [f"{row['deployment']}\n{row['variant']}" for row in rows]
    for axis, column in zip(axes, experiment.plotted, strict=True):
        axis.barh(labels, [row.get(column, 0) for row in rows])
        axis.set_xlabel(column)
        axis.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
