"""Online requests: from a caller's request to an endpoint's answer."""

from .attempt import AttemptFailure, EndpointAttempt
from .calls import IncomingRequest, OnlineCall
from .crashes import CrashWatch
from .dialect import AnswerKind, CallerDialect, EndpointDialect, EndpointOrder
from .dispatch import OnlineDispatcher
from .events import EventCutter, EventStream, StreamPiece
from .front import FleetFront
from .relay import AnswerRelay

__all__ = [
    "AnswerKind",
    "AnswerRelay",
    "AttemptFailure",
    "CallerDialect",
    "CrashWatch",
    "EndpointAttempt",
    "EndpointDialect",
    "EndpointOrder",
    "EventCutter",
    "EventStream",
    "FleetFront",
    "IncomingRequest",
    "OnlineCall",
    "OnlineDispatcher",
    "StreamPiece",
]
