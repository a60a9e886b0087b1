"""Exception hierarchy shared by every package.

Each error names the step at which it arose and the peer it concerns, so that
one log line is enough to tell where a request or an order stopped.
"""

__all__ = ["MangogaugeError", "PeerError", "UnavailableError"]


class MangogaugeError(Exception):
    """Base class of all errors raised by mangogauge.

    Parameters
    ----------
    message : str
        What went wrong, as one sentence.
    step : str, optional
        The step under way, such as ``"connect"`` or ``"commit chunk"``.
    peer : str, optional
        The address or name of the other side.
    """

    def __init__(self, message, *, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        details = [
            f"{name}={value}"
            for name, value in (("step", self.step), ("peer", self.peer))
            if value
        ]
        if not details:
            return self.message
        return f"{self.message} [{', '.join(details)}]"


class PeerError(MangogaugeError):
    """Talking to another process failed."""


class UnavailableError(PeerError):
    """The other process could not be reached, or did not answer in time."""
