"""Structured logs and metrics."""

from .logs import configure_logs, get_logger
from .metrics import HostMetrics

__all__ = ["HostMetrics", "configure_logs", "get_logger"]
