"""HTTP/1.1 on both sides, by `h11` over curio sockets."""

from .buffers import BufferBudget
from .client import ClientConnection
from .connectors import Connector, DirectConnector
from .errors import (
    HTTPConnectError,
    HTTPEncodeError,
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
from .listeners import open_listener
from .pool import ClientPool, open_response
from .requests import make_request
from .responses import ClientResponse
from .server import HTTPServer
from .sockets import open_socket
from .tunnel import TunnelRefusedError, TunnelSocket

__all__ = [
    "BufferBudget",
    "ClientConnection",
    "ClientLimits",
    "ClientPool",
    "ClientResponse",
    "Connector",
    "DirectConnector",
    "EVENT_STREAM",
    "EventEndCheck",
    "Exchange",
    "HOP_BY_HOP_HEADERS",
    "HTTPConnectError",
    "HTTPEncodeError",
    "HTTPError",
    "HTTPLimitError",
    "HTTPReceiveError",
    "HTTPRequestError",
    "HTTPSendError",
    "HTTPServer",
    "Headers",
    "ServerLimits",
    "TunnelRefusedError",
    "TunnelSocket",
    "make_request",
    "open_listener",
    "open_response",
    "open_socket",
]
