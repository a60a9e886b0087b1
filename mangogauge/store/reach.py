"""Whether this host reaches the platform's store by itself.

The load this answers: a store that turns some hosts away, or can't be reached
from them, while it serves the others. A call that gets no answer costs its whole
timeout, and a lease is soon over, so one failure is enough to go another way if
there is one; the direct way is then tried now and then.
"""

__all__ = ["StoreReach"]

# A host whose last answer is older doesn't offer to pass calls on. Leases are
# renewed more often than that.
RECENT_SECONDS = 1.5
# How often the lost way is tried again.
TRIAL_INTERVAL = 0.7


class StoreReach:
    """What this host's own calls to the store have shown.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    is_lost : bool
        Whether calls had better go another way.

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> reach = StoreReach(ManualClock())
    >>> reach.note_failure()
    >>> reach.is_lost
    True
    >>> reach.note_answer()
    >>> reach.is_lost
    False
    """

    def __init__(self, clock):
        self._clock = clock
        self.is_lost = False
        self._answered_at = float("-inf")
        self._tried_at = float("-inf")

    @property
    def is_recent(self):
        """Whether the store has answered lately."""
        age = self._clock.read_elapsed() - self._answered_at
        return not self.is_lost and age <= RECENT_SECONDS

    def note_answer(self):
        """Note that the store has answered and refused nothing."""
        self.is_lost = False
        self._answered_at = self._clock.read_elapsed()

    def note_failure(self):
        """Note that the store was not reached, was silent, or turned a call away."""
        self.is_lost = True
        self._tried_at = self._clock.read_elapsed()

    def begin_trial(self):
        """Return whether the lost way is to be tried now; if so, not again soon."""
        now = self._clock.read_elapsed()
        if now < self._tried_at + TRIAL_INTERVAL:
            return False
        self._tried_at = now
        return True
