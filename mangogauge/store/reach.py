"""Whether this host reaches the platform's store by itself.

The load this answers: a store that turns some hosts away, or can't be reached
from them, while it serves the others. A call that gets no answer costs its whole
timeout, so a host must not go on trying the same way with each of its calls.
"""

__all__ = ["StoreReach"]

# Failures in a row after which the way to the store counts as lost: one answer
# may be lost, or one call refused, at a store that serves this host well.
FAILURES = 2
# A host whose last answer is older doesn't offer to pass calls on. Leases are
# renewed more often than that.
RECENT_SECONDS = 1.5
# How often the lost way is tried again.
TRIAL_SECONDS = 0.7


class StoreReach:
    """What this host's own calls to the store have shown.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> reach = StoreReach(ManualClock())
    >>> reach.note_failure()
    >>> reach.is_lost
    False
    >>> reach.note_failure()
    >>> reach.is_lost
    True
    >>> reach.note_answer()
    >>> reach.is_lost
    False
    """

    def __init__(self, clock):
        self._clock = clock
        self._failures = 0
        self._answered_at = float("-inf")
        self._tried_at = float("-inf")

    @property
    def is_lost(self):
        """Whether calls had better go another way."""
        return self._failures >= FAILURES

    @property
    def is_recent(self):
        """Whether the store has answered lately."""
        age = self._clock.read_elapsed() - self._answered_at
        return not self.is_lost and age <= RECENT_SECONDS

    def note_answer(self):
        """Note that the store has answered and refused nothing."""
        self._failures = 0
        self._answered_at = self._clock.read_elapsed()

    def note_failure(self):
        """Note that the store was not reached, was silent, or turned a call away."""
        self._failures += 1
        self._tried_at = self._clock.read_elapsed()

    def note_unreachable(self):
        """Note that no connection could be made."""
        self._failures = max(self._failures, FAILURES - 1)
        self.note_failure()

    def begin_trial(self):
        """Return whether the lost way is to be tried now; if so, not again soon."""
        now = self._clock.read_elapsed()
        if now < self._tried_at + TRIAL_SECONDS:
            return False
        self._tried_at = now
        return True
