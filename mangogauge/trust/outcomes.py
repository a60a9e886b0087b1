"""What became of the requests that were sent to an endpoint lately."""

import enum
from collections import deque

from attrs import field, frozen

__all__ = ["NO_EVIDENCE", "Evidence", "Outcome", "OutcomeWindow"]

WINDOW_SECONDS = 6.0
BUCKET_SECONDS = 0.5


class Outcome(enum.Enum):
    """What became of one sending, as far as it tells of the endpoint."""

    ANSWERED = "answered"
    # The endpoint itself said that it failed, or refused though it had room.
    FAILED = "failed"
    # Silence or a broken connection: the endpoint, or what lies before it.
    CUT = "cut"


@frozen
class Evidence:
    """Counts of outcomes.

    Parameters
    ----------
    answered, failed, cut : int
    """

    answered = field(default=0)
    failed = field(default=0)
    cut = field(default=0)

    @property
    def total(self):
        """All of them."""
        return self.answered + self.failed + self.cut

    @property
    def bad(self):
        """Those that speak against the endpoint."""
        return self.failed + self.cut

    def __add__(self, other):
        return Evidence(
            self.answered + other.answered,
            self.failed + other.failed,
            self.cut + other.cut,
        )


NO_EVIDENCE = Evidence()


class OutcomeWindow:
    """Outcomes of the last seconds.

    Examples
    --------
    >>> window = OutcomeWindow()
    >>> window.note(Outcome.FAILED, 0.0)
    >>> window.note(Outcome.ANSWERED, 4.0)
    >>> window.sum_up(5.0)
    Evidence(answered=1, failed=1, cut=0)
    >>> window.sum_up(7.0)
    Evidence(answered=1, failed=0, cut=0)
    """

    def __init__(self):
        # Rows of a bucket's number and its counts, the oldest first.
        self._buckets = deque()

    def note(self, outcome, now):
        """Count an outcome at an elapsed time in seconds."""
        number = now // BUCKET_SECONDS
        if not self._buckets or self._buckets[-1][0] != number:
            self._expire(now)
            self._buckets.append((number, dict.fromkeys(Outcome, 0)))
        self._buckets[-1][1][outcome] += 1

    def sum_up(self, now):
        """Return the `Evidence` of the window that ends at an elapsed time."""
        self._expire(now)
        if not self._buckets:
            return NO_EVIDENCE
        return Evidence(
            *(
                sum(counts[outcome] for _, counts in self._buckets)
                for outcome in Outcome
            )
        )

    def _expire(self, now):
        oldest = (now - WINDOW_SECONDS) // BUCKET_SECONDS
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()
