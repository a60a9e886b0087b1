"""Whether what this host doesn't know may be told not to exist.

The load this answers: callers of a route, or holders of a key, that operators added
a moment ago, at a host that hasn't read it yet or has lost the store. What the host
knows it goes on serving; that something isn't there takes a copy that is new enough.
"""

import enum

__all__ = ["AbsenceChecker", "AbsenceCertainty"]

# A copy confirmed so shortly before a request decides at once: copies are confirmed
# more often than that while the store answers.
FRESH_SECONDS = 1.0
# What operators wrote is in force everywhere after this time, so a copy that was
# confirmed before shows all that a caller may count on.
PROPAGATION_SECONDS = 2.0
# Least time between two reads, however many requests ask for what isn't known.
MIN_READ_INTERVAL_SECONDS = 0.5


class AbsenceCertainty(enum.Enum):
    """What a copy says of something that it doesn't have."""

    CERTAIN = "it isn't there"
    BOUNDED = "it isn't there, or was added a moment ago"
    NONE = "it may be there"


class AbsenceChecker:
    """Decides by the age of this host's copy.

    Parameters
    ----------
    measure_age : callable
        Returns the seconds since the copy was last confirmed.
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> certainty = AbsenceChecker(lambda: 5.0, clock)
    >>> certainty.assess(clock.read_elapsed())
    <AbsenceCertainty.NONE: 'it may be there'>
    >>> certainty.try_begin_read(), certainty.try_begin_read()
    (True, False)
    >>> certainty.note_read(clock.read_elapsed())
    >>> certainty.assess(clock.read_elapsed())
    <AbsenceCertainty.CERTAIN: "it isn't there">
    """

    def __init__(self, measure_age, clock):
        self._measure_age = measure_age
        self._clock = clock
        self._last_read_at = float("-inf")
        self._read_started_at = float("-inf")

    def assess(self, asked_at):
        """Return the `AbsenceCertainty` for a request.

        Parameters
        ----------
        asked_at : float
            Elapsed time at which the request came.
        """
        confirmed_at = self._clock.read_elapsed() - self._measure_age()
        age = asked_at - max(confirmed_at, self._last_read_at)
        if age <= FRESH_SECONDS:
            return AbsenceCertainty.CERTAIN
        if age <= PROPAGATION_SECONDS:
            return AbsenceCertainty.BOUNDED
        return AbsenceCertainty.NONE

    def try_begin_read(self):
        """Return whether a read may begin now; if so, no other may soon."""
        now = self._clock.read_elapsed()
        if now < self._read_started_at + MIN_READ_INTERVAL_SECONDS:
            return False
        self._read_started_at = now
        return True

    def note_read(self, asked_at):
        """Note that a read that began at an elapsed time was taken in."""
        self._last_read_at = max(self._last_read_at, asked_at)
