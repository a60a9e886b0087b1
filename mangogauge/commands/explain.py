"""``mangogauge explain``: what became of a request, by the logs of all hosts."""

import sys
from pathlib import Path

from ..telemetry.explanation import explain as explain_request
from ..telemetry.explanation import read_lines
from .exits import ExitCode
from .output import print_error

__all__ = ["explain"]


def explain(request_id: str, *files: Path):
    """Tell what became of a request or a batch item.

    Parameters
    ----------
    request_id
        Its id.
    files
        Logs of all hosts; standard input if none is named.
    """
    try:
        texts = _read_texts(files)
    except OSError as error:
        print_error(str(error))
        sys.exit(ExitCode.USAGE)
    found = explain_request(request_id, read_lines(texts))
    print(f"{request_id}: {found.cause}")
    for setback in found.setbacks:
        print(f"  {setback}")
    for line in found.lines:
        print(line.render())


def _read_texts(files):
    if not files:
        return sys.stdin.readlines()
    return [text for file in files for text in file.read_text().splitlines()]
