"""For how long a host that hears nothing may trust the keys that it knows."""

__all__ = ["KeyTrust"]


class KeyTrust:
    """Whether a host may still admit callers by their keys.

    A withdrawal that a host has not heard of was recorded after the host's
    copy was last known to be the platform's. So it stops working there, at the
    latest, `seconds` after it was recorded, however the host is cut off.

    Parameters
    ----------
    clock : Clock
    seconds : float
        The operators' bound.
    """

    def __init__(self, clock, seconds):
        self._clock = clock
        self.seconds = seconds
        self._confirmed_at = clock.read_elapsed()

    def confirm(self, at):
        """Note that the copy was the platform's at elapsed time `at`."""
        self._confirmed_at = max(self._confirmed_at, at)

    @property
    def age(self):
        """Seconds since the copy was last known to be the platform's."""
        return self._clock.read_elapsed() - self._confirmed_at

    @property
    def is_valid(self):
        """Whether keys may be trusted now."""
        return self.age <= self.seconds
