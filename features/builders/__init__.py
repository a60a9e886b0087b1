"""Builders of test data and of whole small deployments of real processes."""

from .callers import Caller, CallerAnswer
from .processes import Process, wait_until
from .settings import make_base, make_overlay, make_section
from .world import World

__all__ = [
    "Caller",
    "CallerAnswer",
    "Process",
    "World",
    "make_base",
    "make_overlay",
    "make_section",
    "wait_until",
]
