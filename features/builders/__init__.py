"""Builders of test data and of whole small deployments of real processes."""

from .balancer import BalancedLoad, Balancer, make_mixed_request
from .callers import Caller, CallerAnswer
from .processes import Process, wait_until
from .settings import make_base, make_overlay, make_section
from .streams import (
    StreamReader,
    join_stream,
    make_text,
    read_events,
    run_together,
)
from .world import World

__all__ = [
    "BalancedLoad",
    "Balancer",
    "Caller",
    "CallerAnswer",
    "Process",
    "StreamReader",
    "World",
    "join_stream",
    "make_base",
    "make_mixed_request",
    "make_overlay",
    "make_section",
    "make_text",
    "read_events",
    "run_together",
    "wait_until",
]
