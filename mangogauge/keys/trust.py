"""Limit on the age of a host's replica of keys."""

__all__ = ["KeyTrust"]


class KeyTrust:
    """Whether a host's replica of keys is recent enough to authenticate callers.

    Any withdrawal that a host hasn't received was recorded after the host's replica was
    last known to be current. So the host stops accepting the withdrawn key at the
    latest `seconds` after the withdrawal, whatever the host is disconnected from.

    Parameters
    ----------
    clock : Clock
    seconds : float
        Largest age of the replica, as configured by operators.
    """

    def __init__(self, clock, seconds):
        self._clock = clock
        self.seconds = seconds
        self._confirmed_at = clock.read_elapsed()

    def confirm(self, at):
        """Record that the replica was current at elapsed time `at`."""
        self._confirmed_at = max(self._confirmed_at, at)

    @property
    def age(self):
        """Seconds since the replica was last known to be current."""
        return self._clock.read_elapsed() - self._confirmed_at

    @property
    def is_valid(self):
        """Whether the replica is recent enough now."""
        return self.age <= self.seconds
