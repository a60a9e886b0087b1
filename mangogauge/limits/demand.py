"""How many requests a second come, lately."""

import math

__all__ = ["DemandEstimate"]

MEMORY_SECONDS = 0.5


class DemandEstimate:
    """Exponentially weighted rate of requests.

    Parameters
    ----------
    now : float
        Elapsed time in seconds.
    memory : float, optional
        Seconds after which a request counts for 1/e.
    """

    def __init__(self, now, memory=MEMORY_SECONDS):
        self._memory = memory
        self._value = 0.0
        self._updated = now

    def note(self, amount, now):
        """Count `amount` requests that came now."""
        self._value = self.read(now) + amount / self._memory
        self._updated = max(self._updated, now)

    def read(self, now):
        """Return requests a second."""
        age = max(0.0, now - self._updated)
        return self._value * math.exp(-age / self._memory)
