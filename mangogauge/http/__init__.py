"""HTTP/1.1 on both sides, by `h11` over curio sockets."""

from .client import ClientConnection, ClientResponse
from .errors import (
    HTTPConnectError,
    HTTPError,
    HTTPLimitError,
    HTTPReceiveError,
    HTTPRequestError,
    HTTPSendError,
)
from .eventends import EVENT_STREAM, EventEndCheck
from .exchange import Exchange
from .headers import HOP_BY_HOP_HEADERS, Headers
from .limits import ClientLimits, ServerLimits
from .pool import ClientPool, open_response
from .server import HTTPServer

__all__ = [
    "ClientConnection",
    "ClientLimits",
    "ClientPool",
    "ClientResponse",
    "EVENT_STREAM",
    "EventEndCheck",
    "Exchange",
    "HOP_BY_HOP_HEADERS",
    "HTTPConnectError",
    "HTTPError",
    "HTTPLimitError",
    "HTTPReceiveError",
    "HTTPRequestError",
    "HTTPSendError",
    "HTTPServer",
    "Headers",
    "ServerLimits",
    "open_response",
]
