"""The callers' front: keys, routes, limits, dispatch, refusals."""

from ..refusals import Refusal, RefusalCode
from .calls import Call, Priority
from .crashes import CrashWatch
from .dispatch import Dispatcher
from .doorkeeper import Doorkeeper
from .forwarding import ForwardService
from .front import Front
from .gate import CapacityGate
from .models import ModelResource
from .resources import Resource
from .routes import RouteTable
from .sinks import ExchangeSink, MemorySink, Sink

__all__ = [
    "Call",
    "CapacityGate",
    "CrashWatch",
    "Dispatcher",
    "Doorkeeper",
    "ExchangeSink",
    "ForwardService",
    "Front",
    "MemorySink",
    "ModelResource",
    "Priority",
    "Refusal",
    "RefusalCode",
    "Resource",
    "RouteTable",
    "Sink",
]
