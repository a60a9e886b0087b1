"""What a host sees when an endpoint crashes."""

from attrs import field, frozen

__all__ = ["CrashSighting"]


@frozen
class CrashSighting:
    """A request that an endpoint had not begun to answer when it crashed.

    Parameters
    ----------
    crash : str
        Identifies the endpoint's process that crashed, the same at all hosts.
    request : str
        Fingerprint of the request; requests that are alike have the same.
    parts : tuple of str
        The shared parts of its prompt that may be the cause, in order.
    seen_at : float
        Elapsed time of the crash in seconds, by this host's clock.
    """

    crash = field()
    request = field()
    parts = field(converter=tuple)
    seen_at = field()

    @property
    def key(self):
        """What tells this sighting from others, at all hosts."""
        return self.crash, self.request
