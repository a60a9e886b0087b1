"""Which endpoint runs a call, and what happens when an attempt fails."""

from .choice import LeastLoadedRouter, Router
from .progress import Progress
from .retry import Decision, RetryPolicy

__all__ = ["Decision", "LeastLoadedRouter", "Progress", "RetryPolicy", "Router"]
