"""Estimate of an account's recent request rate."""

import math

__all__ = ["DemandEstimate"]

TIME_CONSTANT_SECONDS = 0.5


class DemandEstimate:
    """Exponentially weighted moving rate of requests.

    Parameters
    ----------
    now : float
        Elapsed time in seconds.
    memory : float, optional
        Seconds after which a request's weight has fallen to 1/e.
    """

    def __init__(self, now, time_constant=TIME_CONSTANT_SECONDS):
        self._time_constant = time_constant
        self._value = 0.0
        self._updated_at = now

    def add(self, amount, now):
        """Count `amount` requests that arrived at `now`."""
        self._value = self.read(now) + amount / self._time_constant
        self._updated_at = max(self._updated_at, now)

    def read(self, now):
        """Return the estimated requests per second at `now`."""
        age = max(0.0, now - self._updated_at)
        return self._value * math.exp(-age / self._time_constant)
