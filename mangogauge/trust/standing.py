"""Ejection of one endpoint and its return: a small state table.

References
----------
.. [1] Envoy, "Outlier detection" and "Slow start mode": longer after each ejection,
   and growing back.
"""

import enum

__all__ = ["EndpointStanding", "Standing"]

FIRST_EJECTION_SECONDS = 1.0
EJECTION_GROWTH = 2.0
LONGEST_EJECTION_SECONDS = 16.0
# One ejection is forgotten after so long without another.
FORGET_SECONDS = 20.0
TRIALS_NEEDED = 3
# A trial that never ends, since its request was given up, holds up the next no longer.
TRIAL_SECONDS = 2.0
GROWING_SECONDS = 3.0
FIRST_WEIGHT = 0.125


class Standing(enum.Enum):
    """What an endpoint may get."""

    TRUSTED = "trusted"
    EJECTED = "ejected"
    TRIAL = "on trial"
    GROWING = "growing back"


# What a failure makes of an endpoint, and what an answer does once enough have come.
AFTER_FAILURE = {
    Standing.TRIAL: Standing.EJECTED,
    Standing.GROWING: Standing.EJECTED,
}
AFTER_ANSWERS = {Standing.TRIAL: Standing.GROWING}
# What time makes of it, and after which it does.
AFTER_TIME = {
    Standing.EJECTED: Standing.TRIAL,
    Standing.GROWING: Standing.TRUSTED,
}


class EndpointStanding:
    """Where an endpoint stands.

    Attributes
    ----------
    standing : Standing
    ejections : int
        How many are remembered.

    Examples
    --------
    >>> standing = EndpointStanding(0.0)
    >>> standing.eject(0.0)
    >>> standing.update(1.0)
    >>> standing.standing.value
    'on trial'
    """

    def __init__(self, now):
        self.standing = Standing.TRUSTED
        self.ejections = 0
        self._since = now
        self._until = float("inf")
        self._forget_at = now
        self._answers = 0
        self._trial_until = float("-inf")

    @property
    def is_barred(self):
        """Whether it gets no work but trials."""
        return self.standing in (Standing.EJECTED, Standing.TRIAL)

    def eject(self, now):
        """Give it nothing for a while, longer after each time."""
        seconds = FIRST_EJECTION_SECONDS * EJECTION_GROWTH**self.ejections
        self.ejections += 1
        seconds = min(LONGEST_EJECTION_SECONDS, seconds)
        self._forget_at = now + seconds + FORGET_SECONDS
        self._enter(Standing.EJECTED, now, now + seconds)

    def update(self, now, is_held=False):
        """Take in that time has passed.

        Parameters
        ----------
        now : float
            Elapsed time in seconds.
        is_held : bool, optional
            Whether it stays ejected for what others still see.
        """
        if self.ejections and now >= self._forget_at:
            self.ejections -= 1
            self._forget_at = now + FORGET_SECONDS
        is_held = is_held and self.standing is Standing.EJECTED
        if now >= self._until and not is_held:
            self._enter(AFTER_TIME[self.standing], now)

    def may_try(self, now):
        """Return whether a trial may begin."""
        return self.standing is Standing.TRIAL and now >= self._trial_until

    def waits_since(self, moment):
        """Return whether it has been where it stands since an elapsed time."""
        return self._since <= moment

    def begin_trial(self, now):
        """Note that a trial begins."""
        self._trial_until = now + TRIAL_SECONDS

    def note_answer(self, now):
        """Take in that it answered."""
        self._trial_until = float("-inf")
        self._answers += 1
        if self.standing in AFTER_ANSWERS and self._answers >= TRIALS_NEEDED:
            self._enter(AFTER_ANSWERS[self.standing], now, now + GROWING_SECONDS)

    def note_failure(self, now):
        """Take in that it failed; while it is trusted others decide on that."""
        if self.standing in AFTER_FAILURE:
            self.eject(now)

    def measure_weight(self, now):
        """Return the part of its share that it gets, above 0, while not barred."""
        if self.standing is not Standing.GROWING:
            return 1.0
        grown = (now - self._since) / GROWING_SECONDS
        return min(1.0, max(FIRST_WEIGHT, grown))

    def _enter(self, standing, now, until=float("inf")):
        self.standing = standing
        self._since = now
        self._until = until
        self._answers = 0
        self._trial_until = float("-inf")
