"""When a part that has crashed endpoints may be tried again.

Three crashes within a moment don't tell a harmful part from a sound one that all
requests share when all endpoints crash for another reason. Only a trial does, so the
first ones come soon, unless work without the part went on beside the crashes.
"""

from itertools import pairwise

__all__ = ["count_late", "count_moments", "find_quick_time", "find_slow_time"]

# Events within this time of one another are of one moment.
MOMENT_SECONDS = 1.0
# After so many moments, or one less if a request with the part has crashed one endpoint
# after another: how long after the last event the part is tried again.
QUICK_PAUSES_SECONDS = {1: 1.25, 2: 8.0}
# How long after the last event a request is let through otherwise; doubled each time.
SLOW_PAUSE_SECONDS = 30.0
MAX_SLOW_PAUSE_SECONDS = 240.0
# A part that has crashed so many endpoints is hardly sound. Those that are under way
# then end soon; what comes after that time is late.
CRASHES_TO_DOUBT = 5
DOUBT_SECONDS = 3.0


def count_moments(times):
    """Return at how many moments something happened.

    Parameters
    ----------
    times : list of float
        In order, in seconds.

    Examples
    --------
    >>> count_moments([0.0, 0.2, 0.9, 4.0])
    2
    """
    gaps = [after - before for before, after in pairwise(times)]
    return bool(times) + sum(gap > MOMENT_SECONDS for gap in gaps)


def count_late(times):
    """Return how many of a part's crashes and trials came when it was hardly sound.

    Parameters
    ----------
    times : list of float
        In order, in seconds.

    Examples
    --------
    >>> count_late([0.0, 0.0, 0.0, 0.0, 0.0, 2.0, 9.0, 20.0])
    2
    """
    if len(times) < CRASHES_TO_DOUBT:
        return 0
    since = times[CRASHES_TO_DOUBT - 1] + DOUBT_SECONDS
    return sum(time > since for time in times)


def find_quick_time(times, has_followed=False):
    """Return when a part is to be tried that may well be sound; infinity if never.

    Parameters
    ----------
    times : list of float
        When it has crashed endpoints or was tried, in order.
    has_followed : bool, optional
        Whether one request with it has crashed one endpoint after another.

    Examples
    --------
    >>> find_quick_time([0.0, 0.0, 0.0]), find_quick_time([0.0, 2.0, 4.0])
    (1.25, inf)
    """
    pause = QUICK_PAUSES_SECONDS.get(count_moments(times) + has_followed)
    return float("inf") if pause is None else times[-1] + pause


def find_slow_time(times):
    """Return when any other part is to be tried by a request.

    Parameters
    ----------
    times : list of float
        When it has crashed endpoints or was tried, in order.

    Examples
    --------
    >>> find_slow_time([0.0, 0.0, 0.0]), find_slow_time([0.0, 0.0, 0.0, 30.0])
    (30.0, 90.0)
    """
    if not times:
        return float("-inf")
    pause = SLOW_PAUSE_SECONDS * 2 ** (count_moments(times) - 1)
    return times[-1] + min(pause, MAX_SLOW_PAUSE_SECONDS)
