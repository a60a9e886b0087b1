"""Sleep until common points in time, so that a process wakes up once for many tasks.

A host has dozens of tasks that look at something now and then. To wake up costs it
more than most of them do then.
"""

import math
import time

import curio

__all__ = ["TICK_SECONDS", "measure_to_tick", "round_up_to_tick", "sleep_to_tick"]

TICK_SECONDS = 0.02
# Part of its time by which a pause may be longer than asked for; a short one by up to
# a tick instead.
LATENESS = 0.25


def measure_to_tick(seconds, now=None):
    """Return the seconds until the first common point in time after a pause.

    Parameters
    ----------
    seconds : float
        Least pause. The points are the closer together, the shorter it is; those of
        longer pauses are among those of shorter ones.
    now : float, optional
        Monotonic time in seconds.

    Examples
    --------
    >>> round(measure_to_tick(0.25, now=10.001), 3)
    0.279
    >>> round(measure_to_tick(0.03, now=10.001), 3)
    0.039
    """
    now = time.monotonic() if now is None else now
    step = TICK_SECONDS
    while 2 * step <= seconds * LATENESS:
        step *= 2
    return math.ceil((now + seconds) / step) * step - now


def round_up_to_tick(seconds, now=None):
    """Return the seconds until the first multiple of `TICK_SECONDS` after a pause."""
    now = time.monotonic() if now is None else now
    return math.ceil((now + seconds) / TICK_SECONDS) * TICK_SECONDS - now


async def sleep_to_tick(seconds):
    """Sleep for so long at least; see `measure_to_tick`."""
    await curio.sleep(measure_to_tick(seconds))
