"""A whole small fleet in one process, put through failures and verified."""

from .deployment import Deployment
from .scenario import DemoOptions, DemoReport, run_demo

__all__ = ["DemoOptions", "DemoReport", "Deployment", "run_demo"]
