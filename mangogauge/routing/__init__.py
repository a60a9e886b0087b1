"""Which endpoint runs a call, and what happens when an attempt fails."""

from .budget import RetryBudget, RetryBudgets
from .choice import LeastLoadedRouter, Router
from .progress import Progress
from .retry import Decision, RetryPolicy
from .statuses import find_failure
from .timing import AnswerTimes

__all__ = [
    "AnswerTimes",
    "Decision",
    "LeastLoadedRouter",
    "Progress",
    "RetryBudget",
    "RetryBudgets",
    "RetryPolicy",
    "Router",
    "find_failure",
]
