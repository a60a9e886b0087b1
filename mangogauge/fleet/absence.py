"""Decide whether something missing from a host's copy may be reported as absent.

Operators may have added a route or key a moment ago, which a host has not read yet,
or can't read because it has lost the store. The host keeps serving what its copy
contains, but reports something as absent only if the copy is recent enough.
"""

import enum

__all__ = ["AbsenceChecker", "AbsenceCertainty"]

# A copy confirmed this shortly before a request is taken as current: copies are
# confirmed more often than that while the store is reachable.
FRESH_SECONDS = 1.0
# Changes by operators are in force on all hosts after this time, so a copy confirmed
# within it contains every change that a caller may rely on.
PROPAGATION_SECONDS = 2.0
# Least time between two reads, however many requests need one.
MIN_READ_INTERVAL_SECONDS = 0.5


class AbsenceCertainty(enum.Enum):
    """What a copy shows about something that it does not contain."""

    CERTAIN = "it isn't there"
    BOUNDED = "it isn't there, or was added a moment ago"
    NONE = "it may be there"


class AbsenceChecker:
    """Decides by the age of this host's copy whether absence is certain.

    Parameters
    ----------
    measure_age : callable
        Returns the seconds since the copy was last confirmed.
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> checker = AbsenceChecker(lambda: 5.0, clock)
    >>> checker.assess(clock.read_elapsed())
    <AbsenceCertainty.NONE: 'it may be there'>
    >>> checker.try_begin_read(), checker.try_begin_read()
    (True, False)
    >>> checker.note_read(clock.read_elapsed())
    >>> checker.assess(clock.read_elapsed())
    <AbsenceCertainty.CERTAIN: "it isn't there">
    """

    def __init__(self, measure_age, clock):
        self._measure_age = measure_age
        self._clock = clock
        self._last_read_at = float("-inf")
        self._read_started_at = float("-inf")

    def assess(self, asked_at):
        """Return the `AbsenceCertainty` of the copy for a request.

        Parameters
        ----------
        asked_at : float
            Elapsed time at which the request arrived.
        """
        confirmed_at = self._clock.read_elapsed() - self._measure_age()
        age = asked_at - max(confirmed_at, self._last_read_at)
        if age <= FRESH_SECONDS:
            return AbsenceCertainty.CERTAIN
        if age <= PROPAGATION_SECONDS:
            return AbsenceCertainty.BOUNDED
        return AbsenceCertainty.NONE

    def try_begin_read(self):
        """Return whether a read may begin now; if so, delay the next one."""
        now = self._clock.read_elapsed()
        if now < self._read_started_at + MIN_READ_INTERVAL_SECONDS:
            return False
        self._read_started_at = now
        return True

    def note_read(self, asked_at):
        """Record that the result of a read begun at `asked_at` was applied."""
        self._last_read_at = max(self._last_read_at, asked_at)
