"""Options that several commands share."""

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from .exits import ExitCode
from .output import print_error

__all__ = ["PlatformOption", "SecretFileOption", "read_secret"]

PlatformOption = Annotated[
    str,
    Parameter(
        env_var="MANGOGAUGE_PLATFORM", help="Address of the platform's store, IP:PORT."
    ),
]
SecretFileOption = Annotated[
    Path | None,
    Parameter(
        env_var="MANGOGAUGE_SECRET_FILE",
        help="File with the operators' secret; needed to ask hosts.",
    ),
]


def read_secret(path):
    """Return the operators' secret; empty without a file.

    The process ends with a message if the file can't be read.
    """
    try:
        return path.read_text().strip() if path else ""
    except OSError as error:
        print_error(f"The secret's file {path} can't be read: {error.strerror}.")
        sys.exit(ExitCode.USAGE)
