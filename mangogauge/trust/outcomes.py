"""Outcomes of the recent requests to an endpoint."""

import enum
from collections import deque

from attrs import field, frozen

__all__ = ["NO_EVIDENCE", "Evidence", "Outcome", "OutcomeWindow"]

WINDOW_SECONDS = 6.0
BUCKET_SECONDS = 0.5


class Outcome(enum.Enum):
    """Outcome of one attempt, as evidence on the endpoint."""

    ANSWERED = "answered"
    # The endpoint reported a failure, or refused although it had a free slot.
    FAILED = "failed"
    # Silence or a broken connection, caused by the endpoint or the network.
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
        """Number of all outcomes."""
        return self.answered + self.failed + self.cut

    @property
    def bad(self):
        """Number of outcomes that count against the endpoint."""
        return self.failed + self.cut

    def __add__(self, other):
        return Evidence(
            self.answered + other.answered,
            self.failed + other.failed,
            self.cut + other.cut,
        )


NO_EVIDENCE = Evidence()


class OutcomeWindow:
    """Outcomes of the last `WINDOW_SECONDS` seconds.

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
        # Pairs of a bucket's number and its counts by outcome, oldest first.
        self._buckets = deque()

    def note(self, outcome, now):
        """Count an outcome at an elapsed time in seconds."""
        number = now // BUCKET_SECONDS
        if not self._buckets or self._buckets[-1][0] != number:
            self._expire(now)
            self._buckets.append((number, dict.fromkeys(Outcome, 0)))
        self._buckets[-1][1][outcome] += 1

    def forget(self, outcome):
        """Remove all outcomes of one kind."""
        for _, counts in self._buckets:
            counts[outcome] = 0

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
