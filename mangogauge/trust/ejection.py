"""State machine of one endpoint's ejection and return.

References
----------
.. [1] Envoy, "Outlier detection" and "Slow start mode": an ejection time that grows
   with each ejection, and a gradual return of the endpoint's share.
"""

import enum

__all__ = ["EndpointEjection", "EjectionState"]

FIRST_EJECTION_SECONDS = 1.0
EJECTION_GROWTH = 2.0
LONGEST_EJECTION_SECONDS = 16.0
# Ejections that lead to the longest time; a larger power might overflow.
MAX_GROWTH_STEPS = 4
# Time without an ejection after which one past ejection is no longer counted.
EJECTION_MEMORY_SECONDS = 20.0
MIN_TRIAL_ANSWERS = 3
# Time after which the next trial may begin although the last one hasn't ended, since
# its request may have been abandoned.
TRIAL_SECONDS = 2.0
SLOW_START_SECONDS = 3.0
INITIAL_WEIGHT = 0.125


class EjectionState(enum.Enum):
    """State of an endpoint, which determines the work that it gets."""

    TRUSTED = "trusted"
    EJECTED = "ejected"
    TRIAL = "on trial"
    SLOW_START = "growing back"


# Next states on a failure, and on `MIN_TRIAL_ANSWERS` answers.
NEXT_ON_FAILURE = {
    EjectionState.TRIAL: EjectionState.EJECTED,
    EjectionState.SLOW_START: EjectionState.EJECTED,
}
NEXT_ON_ANSWERS = {EjectionState.TRIAL: EjectionState.SLOW_START}
# Next states when the time of a state is over.
NEXT_ON_TIMEOUT = {
    EjectionState.EJECTED: EjectionState.TRIAL,
    EjectionState.SLOW_START: EjectionState.TRUSTED,
}


class EndpointEjection:
    """Ejection state of one endpoint.

    Attributes
    ----------
    state : EjectionState
    ejections : int
        Number of past ejections that still count.

    Examples
    --------
    >>> ejection = EndpointEjection(0.0)
    >>> ejection.eject(0.0)
    >>> ejection.update(1.0)
    >>> ejection.state.value
    'on trial'
    """

    def __init__(self, now):
        self.state = EjectionState.TRUSTED
        self.ejections = 0
        self._since = now
        self._until = float("inf")
        self._decay_at = now
        self._answers = 0
        self._trial_ends_at = float("-inf")

    @property
    def is_barred(self):
        """Whether it gets no work except trials."""
        return self.state in (EjectionState.EJECTED, EjectionState.TRIAL)

    def eject(self, now):
        """Eject the endpoint for a time that grows with each ejection."""
        steps = min(self.ejections, MAX_GROWTH_STEPS)
        seconds = FIRST_EJECTION_SECONDS * EJECTION_GROWTH**steps
        self.ejections += 1
        seconds = min(LONGEST_EJECTION_SECONDS, seconds)
        self._decay_at = now + seconds + EJECTION_MEMORY_SECONDS
        self._enter(EjectionState.EJECTED, now, now + seconds)

    def restore(self, now):
        """Return to full trust: the ejection was a mistake."""
        self.ejections = max(0, self.ejections - 1)
        self._enter(EjectionState.TRUSTED, now)

    def update(self, now, stays_ejected=False):
        """Apply the transitions that are due.

        Parameters
        ----------
        now : float
            Elapsed time in seconds.
        stays_ejected : bool, optional
            Whether an ejected endpoint stays so, since peers still report failures.
        """
        if self.ejections and now >= self._decay_at:
            self.ejections -= 1
            self._decay_at = now + EJECTION_MEMORY_SECONDS
        stays_ejected = stays_ejected and self.state is EjectionState.EJECTED
        if now >= self._until and not stays_ejected:
            self._enter(NEXT_ON_TIMEOUT[self.state], now)

    def is_ready_for_trial(self, now):
        """Return whether a trial may begin."""
        return self.state is EjectionState.TRIAL and now >= self._trial_ends_at

    def has_been_in_state_since(self, since):
        """Return whether it has been in its state since an elapsed time."""
        return self._since <= since

    def begin_trial(self, now):
        """Record that a trial begins."""
        self._trial_ends_at = now + TRIAL_SECONDS

    def note_answer(self, now):
        """Record an answer; enough of them end the trials."""
        self._trial_ends_at = float("-inf")
        self._answers += 1
        if self.state in NEXT_ON_ANSWERS and self._answers >= MIN_TRIAL_ANSWERS:
            self._enter(NEXT_ON_ANSWERS[self.state], now, now + SLOW_START_SECONDS)

    def note_failure(self, now):
        """Record a failure; it ejects the endpoint unless it is trusted.

        A trusted endpoint is ejected by the comparison with its peers only.
        """
        if self.state in NEXT_ON_FAILURE:
            self.eject(now)

    def compute_weight(self, now):
        """Return its share of work relative to a full share, above 0 and at most 1."""
        if self.state is not EjectionState.SLOW_START:
            return 1.0
        grown = (now - self._since) / SLOW_START_SECONDS
        return min(1.0, max(INITIAL_WEIGHT, grown))

    def _enter(self, state, now, until=float("inf")):
        self.state = state
        self._since = now
        self._until = until
        self._answers = 0
        self._trial_ends_at = float("-inf")
