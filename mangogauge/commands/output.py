"""What commands print."""

import sys

import orjson
from rich.console import Console
from rich.progress import (
    BarColumn,
    MofNCompleteColumn,
    Progress,
    TextColumn,
    TimeElapsedColumn,
)
from rich.table import Table

__all__ = ["make_progress", "print_error", "print_json", "print_rows"]


def print_json(value):
    """Print one line of JSON."""
    print(orjson.dumps(value).decode(), flush=True)


def print_error(message):
    """Print to standard error."""
    print(message, file=sys.stderr, flush=True)


def print_rows(rows, as_json, columns=(), title=""):
    """Print dicts: one line of JSON each, or a table.

    Parameters
    ----------
    rows : list of dict
    as_json : bool
    columns : sequence of str, optional
        Columns of the table; those of the first row if not given.
    title : str, optional
    """
    if as_json:
        for row in rows:
            print_json(row)
        return
    table = Table(title=title or None, title_justify="left")
    names = list(columns) or list(rows[0] if rows else ())
    for name in names:
        table.add_column(name.replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(_show_value(row.get(name)) for name in names))
    Console().print(table)


def make_progress():
    """Return a progress bar for standard error, seen only at a terminal."""
    console = Console(stderr=True)
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    )


def _show_value(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, (list, tuple)):
        return ", ".join(map(str, value))
    return str(value)
