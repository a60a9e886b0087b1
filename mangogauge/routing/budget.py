"""Retry budgets: retries may be a part of recent successes, and no more."""

from collections import OrderedDict

__all__ = ["RetryBudget", "RetryBudgets"]

RETRIES_PER_SUCCESS = 0.1
RESERVE_RETRIES = 5.0
RESERVE_PER_SECOND = 0.2
MAX_RETRIES = 50.0
MAX_BUDGETS = 20_000


class RetryBudget:
    """Retries that are still allowed, earned by successes.

    Parameters
    ----------
    now : float
        Elapsed time in seconds.

    Notes
    -----
    A small reserve accrues by itself, so that an account with little traffic
    can still retry; it never grows beyond `RESERVE_RETRIES`.

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
        """Earn a part of a retry."""
        self._accrue(now)
        self.retries = min(MAX_RETRIES, self.retries + RETRIES_PER_SUCCESS)

    def take(self, now):
        """Spend one retry; return whether there was one."""
        self._accrue(now)
        if self.retries < 1:
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
        Largest number of budgets kept; the longest unused goes first.
    """

    def __init__(self, clock, limit=MAX_BUDGETS):
        self._clock = clock
        self._limit = limit
        self._budgets = OrderedDict()

    def __len__(self):
        return len(self._budgets)

    def note_success(self, account, route):
        """Note that a call was answered."""
        self._find(account, route).note_success(self._clock.read_elapsed())

    def take(self, account, route):
        """Spend one retry; return whether there was one."""
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
