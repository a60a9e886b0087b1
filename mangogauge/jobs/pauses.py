"""How long an item waits after a run that was not its last.

The load this answers: endpoints that crash in a burst under the same sound items,
and are calm soon after. Whoever handed an item in is still owed it, however many
endpoints crashed under it, so the longest pause is a small part of what a caller
waits. It grows, so that whatever makes endpoints crash is met ever more rarely, and
is spread, so that items of one crash don't all go to the endpoints that are left.
"""

__all__ = ["LONGEST_PAUSE_SECONDS", "choose_pause"]

# After the first such run in a row, the second, and so on.
PAUSE_SECONDS = (0.2, 0.4, 0.8, 1.6, 2.0)
LONGEST_PAUSE_SECONDS = PAUSE_SECONDS[-1]
# Part of it that each item waits at least.
LEAST_PART = 0.5


def choose_pause(count, random):
    """Return seconds to wait after so many runs in a row.

    Parameters
    ----------
    count : int
        1 at least.
    random : random.Random

    Examples
    --------
    >>> from random import Random
    >>> 0.1 <= choose_pause(1, Random(1)) <= 0.2
    True
    >>> 1.0 <= choose_pause(2000, Random(1)) <= 2.0
    True
    """
    seconds = PAUSE_SECONDS[min(count, len(PAUSE_SECONDS)) - 1]
    return seconds * random.uniform(LEAST_PART, 1.0)
