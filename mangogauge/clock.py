"""Clocks that are handed to every decision class.

Decisions never read the time themselves; they are given a `Clock`, so that a
test can move time by hand and a paused process sees how long it was away.
"""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """A source of elapsed and of calendar time."""

    @abstractmethod
    def read_elapsed(self):
        """Return seconds since an arbitrary start; never goes back."""

    @abstractmethod
    def read_calendar(self):
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The operating system's clocks.

    Notes
    -----
    Elapsed time is read from ``CLOCK_BOOTTIME``, which also counts time that
    a machine spent suspended; a lease must not outlive such a pause.
    """

    def read_elapsed(self):
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_calendar(self):
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to.

    Parameters
    ----------
    elapsed : float, optional
        Initial elapsed time in seconds.
    calendar : float, optional
        Initial calendar time in seconds since the Unix epoch.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.read_elapsed()
    1.5
    """

    def __init__(self, elapsed=0.0, calendar=0.0):
        self._elapsed = elapsed
        self._calendar = calendar

    def read_elapsed(self):
        """Return the elapsed time in seconds."""
        return self._elapsed

    def read_calendar(self):
        """Return the calendar time in seconds."""
        return self._calendar

    def advance(self, seconds):
        """Move both clocks forward by `seconds`."""
        if seconds < 0:
            raise ValueError("a clock can't be moved back")
        self._elapsed += seconds
        self._calendar += seconds
