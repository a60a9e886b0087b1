"""Whether a failed attempt is tried again: a small table and a budget."""

import enum

from .progress import Progress

__all__ = ["Decision", "RetryPolicy"]

MINIMUM_TIME_LEFT = 0.005
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


class RetryPolicy:
    """Decide on failed attempts.

    Parameters
    ----------
    attempt_limit : int, optional
        Largest number of attempts for one call.
    """

    def __init__(self, attempt_limit=ATTEMPT_LIMIT):
        self._attempt_limit = attempt_limit

    def decide(self, progress, repeatable, attempts, time_left):
        """Return a `Decision`.

        Parameters
        ----------
        progress : Progress
        repeatable : bool
        attempts : int
            Attempts made so far.
        time_left : float
            Seconds until the caller's deadline.
        """
        if attempts >= self._attempt_limit or time_left < MINIMUM_TIME_LEFT:
            return Decision.REFUSE
        return DECISIONS[progress, repeatable]
