"""Whether a failed attempt is tried again: a small table and a budget."""

import enum

from .progress import Progress

__all__ = ["Decision", "RetryPolicy"]

MIN_SECONDS_LEFT = 0.005
ATTEMPT_LIMIT = 4


class Decision(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    REFUSE = "refuse"


# (progress, whether the call may be repeated) -> decision
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

# An attempt that was never sent has loaded no endpoint, so that its retry is
# bounded by the number of attempts alone.
UNBUDGETED_PROGRESS = frozenset({Progress.NOT_SENT})


class RetryPolicy:
    """Decide on failed attempts.

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
        """Return a `Decision`; a retry is paid from the call's budget.

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

    def note_success(self, call):
        """Note that a call was answered, which earns a part of a retry."""
        self.budgets.note_success(call.account, call.route.name)
