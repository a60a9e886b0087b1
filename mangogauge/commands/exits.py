"""Exit codes of the commands."""

import enum

__all__ = ["EXIT_HELP", "ExitCode"]


class ExitCode(enum.IntEnum):
    """What a command's exit code means.

    Attributes
    ----------
    DONE
        It is done.
    FAILED
        What was asked for did not hold, such as a job that was cancelled.
    USAGE
        The command line or a file named on it is wrong; nothing was done.
    REFUSED
        It was refused, and asking again won't help; nothing was done.
    CONFLICT
        Another change was first; nothing was done.
    UNAVAILABLE
        The other side can't be reached or is busy; nothing was done.
    UNKNOWN
        No answer came, so it may have been done.
    PARTIAL
        It is recorded, and some hosts have not confirmed it.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    PARTIAL = 7
    ALERT = 8


EXIT_HELP = (
    "Exit codes: 0 done; 1 what was asked for did not hold; 2 wrong command line "
    "or file; 3 refused; 4 another change was first; 5 the other side can't be "
    "reached or is busy, nothing was done; 6 no answer, it may have been done; "
    "7 done, but not confirmed by every host; 8 an alert would fire."
)
