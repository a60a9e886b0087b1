"""Exit codes of the commands."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """What a command's exit code means."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    ALERT = 7
