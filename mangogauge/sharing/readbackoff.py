"""Pauses between a host's reads of the platform's store while these fail.

The load this answers: the store refuses all calls for some seconds, and each call
counts, also a refused one. The hosts that are next to read try often; one successful
read confirms the copies of all, so that all others try rarely. All topics of a host
share the pause: while the store refuses one, it would refuse the others.
"""

from .readorder import READERS

__all__ = ["ReadBackoff"]

INITIAL_PAUSE_SECONDS = 0.05
PAUSE_GROWTH_FACTOR = 2.0
# Steps of growth after which a pause exceeds its maximum. The power of an unbounded
# number of failures overflows after about 7 min without the store.
MAX_GROWTH_STEPS = 4
# Longest pause of a host that is next to read, and of one in a small fleet.
MAX_READER_PAUSE_SECONDS = 0.5
# Pause of all others, which grows with the number of hosts, and its maximum.
PAUSE_SECONDS_PER_HOST = 0.025
MAX_PAUSE_SECONDS = 2.2
# Part of a pause that is drawn at random, so that hosts don't try at the same time.
JITTER_SHARE = 0.25
# Longest time that the other topics wait for the outcome of one topic's read.
TRIAL_SECONDS = 1.3


class ReadBackoff:
    """Pauses of one host.

    Parameters
    ----------
    clock : Clock
    random : random.Random

    Examples
    --------
    >>> import random
    >>> from mangogauge.clock import ManualClock
    >>> backoff = ReadBackoff(ManualClock(), random.Random(1))
    >>> backoff.measure_wait()
    0.0
    >>> backoff.note_failure(rank=0, hosts=88)
    >>> 0.037 <= backoff.measure_wait() <= 0.05
    True
    >>> backoff.note_success()
    >>> backoff.measure_wait()
    0.0
    """

    def __init__(self, clock, random):
        self._clock = clock
        self._random = random
        self._failures = 0
        self._until = self._trial_until = self._failed_at = float("-inf")

    def measure_wait(self, has_newer=False):
        """Return the seconds until the next read may be made.

        Parameters
        ----------
        has_newer : bool, optional
            Whether another host has read a newer copy, so that the store answers some.
        """
        until = self._until
        if has_newer:
            until = min(until, self._failed_at + MAX_READER_PAUSE_SECONDS)
        until = max(until, self._trial_until)
        return max(0.0, until - self._clock.read_elapsed())

    def begin_read(self, has_newer=False):
        """Return whether a read may begin; while reads fail, one at a time."""
        if self.measure_wait(has_newer) > 0:
            return False
        if self._failures:
            self._trial_until = self._clock.read_elapsed() + TRIAL_SECONDS
        return True

    def note_failure(self, rank, hosts):
        """Note that a read failed; reads that were under way then count as one.

        Parameters
        ----------
        rank : int
            This host's rank among the readers of the topic.
        hosts : int
            Number of hosts that are heard, this one included.
        """
        now = self._clock.read_elapsed()
        self._trial_until = float("-inf")
        if now >= min(self._until, self._failed_at + MAX_READER_PAUSE_SECONDS):
            self._failed_at = now
            self._until = now + self._draw_pause(rank, hosts)
            self._failures += 1

    def note_success(self):
        """Note that the store has answered."""
        self._failures = 0
        self._until = self._trial_until = float("-inf")

    def _draw_pause(self, rank, hosts):
        steps = min(self._failures, MAX_GROWTH_STEPS)
        pause = INITIAL_PAUSE_SECONDS * PAUSE_GROWTH_FACTOR**steps
        pause = min(MAX_READER_PAUSE_SECONDS, pause)
        fleet_pause = hosts * PAUSE_SECONDS_PER_HOST
        if rank >= READERS and fleet_pause > MAX_READER_PAUSE_SECONDS:
            pause = min(MAX_PAUSE_SECONDS, fleet_pause)
        return pause * (1 - JITTER_SHARE * self._random.random())
