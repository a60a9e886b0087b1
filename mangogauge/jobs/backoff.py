"""Backoff of an item after a run that did not finish it.

Endpoints may crash in a burst under items that are not the cause, and recover soon
after. An item's caller must get a result however many endpoints crashed under it, so
the longest backoff is a small part of the time that callers wait. The backoff grows,
so that an item that does crash endpoints is run ever more rarely. It has jitter, so
that the items of one crash aren't all sent to the remaining endpoints at once.
"""

__all__ = ["MAX_BACKOFF_SECONDS", "compute_backoff"]

# After the first consecutive run of this kind, the second, and so on.
BACKOFF_SECONDS = (0.2, 0.4, 0.8, 1.6, 2.0)
MAX_BACKOFF_SECONDS = BACKOFF_SECONDS[-1]
# Smallest share of the backoff that jitter leaves.
MIN_BACKOFF_SHARE = 0.5


def compute_backoff(count, random):
    """Return the seconds to wait after a number of consecutive unfinished runs.

    Parameters
    ----------
    count : int
        Number of runs; 1 at least.
    random : random.Random
        Source of the jitter.

    Returns
    -------
    float

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
