"""Retry budgets: retries are limited to a share of recent successes."""

from collections import OrderedDict

__all__ = ["RetryBudget", "RetryBudgets"]

RETRIES_PER_SUCCESS = 0.1
RESERVE_RETRIES = 5.0
RESERVE_PER_SECOND = 0.2
MAX_RETRIES = 50.0
MAX_BUDGETS = 20_000


class RetryBudget:
    """Number of retries that are still allowed; successes add to it.

    Parameters
    ----------
    now : float
        Elapsed time in seconds.

    Notes
    -----
    A small reserve accrues over time, so that an account with little traffic
    can still retry; it is capped at `RESERVE_RETRIES`.

    Examples
    --------
    >>> budget = RetryBudget(now=0.0)
    >>> [budget.take(0.0) for _ in range(6)]
    [True, True, True, True, True, False]
    """

    def __init__(self, now):
        self.retries = RESERVE_RETRIES
        self._updated = now

    def note_success(self, now):
        """Add `RETRIES_PER_SUCCESS` to the budget."""
        self._accrue(now)
        self.retries = min(MAX_RETRIES, self.retries + RETRIES_PER_SUCCESS)

    def has_retry(self, now):
        """Return whether a retry is available."""
        self._accrue(now)
        return self.retries >= 1

    def take(self, now):
        """Spend one retry; return whether one was available."""
        if not self.has_retry(now):
            return False
        self.retries -= 1
        return True

    def _accrue(self, now):
        gained = max(0.0, now - self._updated) * RESERVE_PER_SECOND
        self._updated = now
        if self.retries < RESERVE_RETRIES:
            self.retries = min(RESERVE_RETRIES, self.retries + gained)


class RetryBudgets:
    """A `RetryBudget` for each client account and route in recent use.

    Parameters
    ----------
    clock : Clock
    limit : int, optional
        Largest number of budgets kept; the least recently used is dropped first.
    """

    def __init__(self, clock, limit=MAX_BUDGETS):
        self._clock = clock
        self._limit = limit
        self._budgets = OrderedDict()

    def __len__(self):
        return len(self._budgets)

    def note_success(self, account, route):
        """Record that a call was answered."""
        self._find(account, route).note_success(self._clock.read_elapsed())

    def has_retry(self, account, route):
        """Return whether a retry is available."""
        return self._find(account, route).has_retry(self._clock.read_elapsed())

    def take(self, account, route):
        """Spend one retry; return whether one was available."""
        return self._find(account, route).take(self._clock.read_elapsed())

    def _find(self, account, route):
        key = (account, route)
        budget = self._budgets.get(key)
        if budget is None:
            budget = RetryBudget(self._clock.read_elapsed())
            self._budgets[key] = budget
        self._budgets.move_to_end(key)
        if len(self._budgets) > self._limit:
            self._budgets.popitem(last=False)
        return budget
