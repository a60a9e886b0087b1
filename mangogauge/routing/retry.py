"""Retry policy: a decision table and a retry budget."""

import enum

from .progress import Progress

__all__ = ["Decision", "RetryPolicy"]

MIN_SECONDS_LEFT = 0.005
ATTEMPT_LIMIT = 4


class Decision(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    REFUSE = "refuse"


# (progress, whether the call is repeatable): decision
DECISIONS = {
    (Progress.NOT_SENT, True): Decision.RETRY,
    (Progress.NOT_SENT, False): Decision.RETRY,
    (Progress.NOT_RUN, True): Decision.RETRY,
    (Progress.NOT_RUN, False): Decision.RETRY,
    (Progress.MAYBE_RUN, True): Decision.RETRY,
    (Progress.MAYBE_RUN, False): Decision.REFUSE,
    (Progress.RUN, True): Decision.REFUSE,
    (Progress.RUN, False): Decision.REFUSE,
}

# An attempt that was never sent caused no load at an endpoint, so its retry is
# limited by the number of attempts only.
UNBUDGETED_PROGRESS = frozenset({Progress.NOT_SENT})


class RetryPolicy:
    """Decides whether failed attempts are retried.

    Parameters
    ----------
    budgets : RetryBudgets
    attempt_limit : int, optional
        Largest number of attempts for one call.
    """

    def __init__(self, budgets, attempt_limit=ATTEMPT_LIMIT):
        self.budgets = budgets
        self._attempt_limit = attempt_limit

    def decide(self, progress, call, attempts, time_left):
        """Return a `Decision`; a retry is charged to the call's budget.

        Parameters
        ----------
        progress : Progress
        call : Call
        attempts : int
            Attempts made so far.
        time_left : float
            Seconds until the caller's deadline.
        """
        if attempts >= self._attempt_limit or time_left < MIN_SECONDS_LEFT:
            return Decision.REFUSE
        decision = DECISIONS[progress, call.repeatable]
        if decision is Decision.REFUSE or progress in UNBUDGETED_PROGRESS:
            return decision
        if self.budgets.take(call.account, call.route.name):
            return Decision.RETRY
        return Decision.REFUSE

    def has_budget(self, call):
        """Return whether a retry of a call could be charged to its budget."""
        return self.budgets.has_retry(call.account, call.route.name)

    def note_success(self, call):
        """Record that a call was answered, which adds to its retry budget."""
        self.budgets.note_success(call.account, call.route.name)
