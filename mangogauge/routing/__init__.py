"""Which endpoint runs a call, and what happens when an attempt fails."""

from .balanced import BalancedRouter
from .budget import RetryBudget, RetryBudgets
from .choice import Router
from .progress import Progress
from .quarantine import Quarantine, Standing
from .retry import Decision, RetryPolicy
from .sharing import EndpointBoard
from .spill import SpillChooser
from .states import EndpointState, LoadReport
from .statuses import find_failure
from .timing import AnswerTimes

__all__ = [
    "AnswerTimes",
    "BalancedRouter",
    "Decision",
    "EndpointBoard",
    "EndpointState",
    "LoadReport",
    "Progress",
    "Quarantine",
    "RetryBudget",
    "RetryBudgets",
    "RetryPolicy",
    "Router",
    "SpillChooser",
    "Standing",
    "find_failure",
]
