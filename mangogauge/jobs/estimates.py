"""Estimates of how long items have yet to run, learned from items that have ended.

A caller states the most tokens that an item may generate, not how many it will, and
endpoints differ in speed from day to day.
"""

import math

__all__ = ["ItemPace", "SlotShare"]

# Until the first items have ended.
INITIAL_SECONDS_PER_TOKEN = 0.0025
SMOOTHING_FACTOR = 0.1
# Least share of an item's usual time that is expected to remain, since the items of a
# job differ in length.
MIN_REMAINING_SHARE = 0.15
# Time over which a host's running items are averaged: longer than the bursts of
# online requests that take their slots.
SHARE_WINDOW_SECONDS = 8.0


class ItemPace:
    """Learns the time and the number of events that an item needs for its tokens.

    Examples
    --------
    >>> pace = ItemPace()
    >>> pace.note_run(tokens=1000, seconds=4.0)
    >>> for _ in range(100):
    ...     pace.note_run(tokens=1000, seconds=4.0)
    ...     pace.note_end(tokens=1000, events=100)
    >>> round(pace.estimate_remaining_seconds(tokens=1000, events=0), 1)
    4.0
    >>> round(pace.estimate_remaining_seconds(tokens=1000, events=75), 1)
    1.0
    """

    def __init__(self):
        self._seconds_per_token = INITIAL_SECONDS_PER_TOKEN
        self._events_per_token = None

    def note_run(self, tokens, seconds):
        """Record that an item of so many tokens ran without an interruption."""
        measured = seconds / max(1, tokens)
        self._seconds_per_token += SMOOTHING_FACTOR * (
            measured - self._seconds_per_token
        )

    def note_end(self, tokens, events):
        """Record with how many events an item of so many tokens ended."""
        measured = events / max(1, tokens)
        if self._events_per_token is None:
            self._events_per_token = measured
        else:
            self._events_per_token += SMOOTHING_FACTOR * (
                measured - self._events_per_token
            )

    def estimate_remaining_seconds(self, tokens, events):
        """Return the estimated seconds that an item has yet to run.

        Parameters
        ----------
        tokens : int
            Tokens of the prompt plus the maximum that may be generated.
        events : int
            Events received so far.

        Returns
        -------
        float
        """
        total = max(1, tokens) * self._seconds_per_token
        if not self._events_per_token:
            return total
        done = events / (self._events_per_token * max(1, tokens))
        return total * max(MIN_REMAINING_SHARE, 1.0 - done)


class SlotShare:
    """Average number of slots that a host's items get while more of them wait.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> share = SlotShare(clock)
    >>> share.slots
    inf
    >>> share.note(running=4, waiting=2)
    >>> share.slots
    4.0
    """

    def __init__(self, clock):
        self._clock = clock
        self._noted_at = None
        self.slots = math.inf

    def note(self, running, waiting):
        """Record how many items run and wait now.

        Notes
        -----
        While none waits, the host could have more slots than it uses.
        """
        now = self._clock.read_elapsed()
        noted_at, self._noted_at = self._noted_at, now
        if not waiting:
            return
        if noted_at is None or math.isinf(self.slots):
            self.slots = max(1.0, float(running))
            return
        weight = 1.0 - math.exp((noted_at - now) / SHARE_WINDOW_SECONDS)
        self.slots += weight * (running - self.slots)
