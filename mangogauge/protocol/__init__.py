"""The protocol between mangogauge's own processes: gRPC's wire on curio.

Messages are protobuf; calls are HTTP/2 streams by `h2` in gRPC framing. See
``docs/design/protocol.md`` for why `grpclib` itself could not be used.
"""

from .channel import Channel, ChannelPool
from .errors import CallError, CallStatus, ChannelError
from .server import CallContext, Method, ProtocolServer

__all__ = [
    "CallContext",
    "CallError",
    "CallStatus",
    "Channel",
    "ChannelError",
    "ChannelPool",
    "Method",
    "ProtocolServer",
]
