"""Structured logs and metrics."""

from .logs import configure_logs, get_logger
from .metrics import HostMetrics
from .serving import ServingMetrics
from .stream import BoundedStreamHandler

__all__ = [
    "BoundedStreamHandler",
    "HostMetrics",
    "ServingMetrics",
    "configure_logs",
    "get_logger",
]
