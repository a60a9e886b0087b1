"""Routing of calls to endpoints, retries, and the quarantine of requests."""

from ..lazy import attach_lazily
from .budget import RetryBudget, RetryBudgets
from .choice import Router
from .progress import Progress
from .retry import Decision, RetryPolicy
from .states import EndpointState, LoadReport
from .timing import AnswerTimes

__all__ = [
    "AnswerTimes",
    "BalancedRouter",
    "Decision",
    "EndpointLoadExchange",
    "EndpointState",
    "LoadReport",
    "PeerChooser",
    "Progress",
    "Quarantine",
    "QuarantineStatus",
    "RetryBudget",
    "RetryBudgets",
    "RetryPolicy",
    "Router",
    "SpillChooser",
    "find_failure",
]

__getattr__ = attach_lazily(
    __name__,
    {
        "balanced": ("BalancedRouter",),
        "peers": ("PeerChooser",),
        "quarantine": ("Quarantine", "QuarantineStatus"),
        "sharing": ("EndpointLoadExchange",),
        "spill": ("SpillChooser",),
        "statuses": ("find_failure",),
    },
)
