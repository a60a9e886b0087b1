"""How long an item waits after a run that was not its last.

The load this answers: endpoints that crash in a burst under the same sound items,
and are calm soon after. Whoever handed an item in is still owed it, however many
endpoints crashed under it, so the longest pause is a small part of what a caller
waits. It grows, so that whatever makes endpoints crash is met ever more rarely, and
is spread, so that items of one crash don't all go to the endpoints that are left.
"""

__all__ = ["MAX_BACKOFF_SECONDS", "compute_backoff"]

# After the first such run in a row, the second, and so on.
BACKOFF_SECONDS = (0.2, 0.4, 0.8, 1.6, 2.0)
MAX_BACKOFF_SECONDS = BACKOFF_SECONDS[-1]
# Part of it that each item waits at least.
MIN_BACKOFF_SHARE = 0.5


def compute_backoff(count, random):
    """Return seconds to wait after so many runs in a row.

    Parameters
    ----------
    count : int
        1 at least.
    random : random.Random

    Examples
    --------
    >>> from random import Random
    >>> 0.1 <= compute_backoff(1, Random(1)) <= 0.2
    True
    >>> 1.0 <= compute_backoff(2000, Random(1)) <= 2.0
    True
    """
    seconds = BACKOFF_SECONDS[min(count, len(BACKOFF_SECONDS)) - 1]
    return seconds * random.uniform(MIN_BACKOFF_SHARE, 1.0)
