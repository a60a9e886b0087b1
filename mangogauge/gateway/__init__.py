"""The callers' front: keys, routes, limits, dispatch, refusals."""

from .calls import Call, Priority
from .crashes import CrashWatch
from .dispatch import Dispatcher
from .forwarding import ForwardService
from .front import Front
from .refusals import Refusal, RefusalCode
from .resources import Resource
from .routes import RouteTable
from .sinks import ExchangeSink, MemorySink, Sink

__all__ = [
    "Call",
    "CrashWatch",
    "Dispatcher",
    "ExchangeSink",
    "ForwardService",
    "Front",
    "MemorySink",
    "Priority",
    "Refusal",
    "RefusalCode",
    "Resource",
    "RouteTable",
    "Sink",
]
