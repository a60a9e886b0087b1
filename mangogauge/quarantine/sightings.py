"""What a host sees when an endpoint crashes."""

from attrs import field, frozen

__all__ = ["CrashSighting"]


@frozen
class CrashSighting:
    """A request whose answer an endpoint had not finished when it crashed.

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
    answer_seconds : float, optional
        How long the answer had gone on; 0 if it had not begun.
    service : str, optional
        The endpoint's service, if this host saw the crash.
    is_contrasted : bool, optional
        Whether work without the part that explains the crash went on beside it.
    """

    crash = field()
    request = field()
    parts = field(converter=tuple)
    seen_at = field()
    answer_seconds = field(default=0.0)
    service = field(default=None)
    is_contrasted = field(default=False)

    @property
    def key(self):
        """What tells this sighting from others, at all hosts."""
        return self.crash, self.request
