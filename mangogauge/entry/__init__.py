"""Handling of online requests, from the caller's request to the endpoint's answer."""

from .admission import RequestAdmission
from .attempt import AttemptFailure, EndpointClient
from .calls import IncomingRequest, OnlineCall
from .crashes import CrashDetector
from .dialect import AnswerKind, CallerDialect, EndpointDialect, EndpointRequest
from .dispatch import OnlineDispatcher
from .events import EventParser, EventStream, StreamEvent
from .handler import CallerRequestHandler
from .relay import AnswerRelay

__all__ = [
    "AnswerKind",
    "AnswerRelay",
    "AttemptFailure",
    "CallerDialect",
    "CrashDetector",
    "EndpointClient",
    "EndpointDialect",
    "EndpointRequest",
    "EventParser",
    "EventStream",
    "CallerRequestHandler",
    "IncomingRequest",
    "OnlineCall",
    "OnlineDispatcher",
    "RequestAdmission",
    "StreamEvent",
]
