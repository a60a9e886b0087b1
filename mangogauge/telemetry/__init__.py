"""Structured logs and metrics."""

from .logs import configure_logs, get_logger
from .metrics import HostMetrics
from .serving import ServingMetrics

__all__ = ["HostMetrics", "ServingMetrics", "configure_logs", "get_logger"]
