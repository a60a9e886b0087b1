"""Errors of the HTTP client and server.

The client's errors tell how far a request got, which is what the retry table
needs to know: not sent, sent, or answered in part.
"""

from ..errors import MangogaugeError, PeerError

__all__ = [
    "CallerLostError",
    "HTTPConnectError",
    "HTTPEncodeError",
    "HTTPError",
    "HTTPLimitError",
    "HTTPReceiveError",
    "HTTPRequestError",
    "HTTPSendError",
]


class HTTPError(PeerError):
    """An HTTP call failed."""


class HTTPConnectError(HTTPError):
    """No connection was made, so nothing was sent."""


class HTTPEncodeError(HTTPConnectError):
    """The request is none that HTTP can carry, whatever the connection."""


class HTTPSendError(HTTPError):
    """The connection broke while the request was being sent."""


class HTTPReceiveError(HTTPError):
    """The connection broke after the request was sent in full."""


class HTTPLimitError(HTTPReceiveError):
    """The server sent more than an answer may have; the connection is closed.

    Parameters
    ----------
    limit : str
        Name of the limit.
    value : int
        What it allows.
    """

    def __init__(self, limit, value, *, step="receive", peer=""):
        super().__init__(f"More than {limit} {value}.", step=step, peer=peer)
        self.limit = limit


class CallerLostError(ConnectionAbortedError):
    """An answer can't be sent on: the caller is gone, or doesn't read it."""


class HTTPRequestError(MangogaugeError):
    """A caller's request can't be served as it stands.

    Parameters
    ----------
    status : int
        The HTTP status that tells the caller.
    message : str
        What is wrong with the request.
    """

    def __init__(self, status, message, *, step="read request", peer=""):
        super().__init__(message, step=step, peer=peer)
        self.status = status
