"""Options that several commands share."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

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
    """Return the operators' secret; empty without a file."""
    return path.read_text().strip() if path else ""
