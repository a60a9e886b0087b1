"""Rate limiters that admit or refuse requests of client accounts."""

import itertools
import math
from abc import ABC, abstractmethod

import curio
from attrs import field, frozen

from ..telemetry import get_logger
from .bucket import TokenBucket

__all__ = ["Admission", "FleetLimiter", "Limiter", "LocalLimiter"]

MAX_RETRY_AFTER_SECONDS = 60.0
MIN_RETRY_AFTER_SECONDS = 0.05
UNANSWERED_RETRY_AFTER_SECONDS = 1.0
MAX_UNREADY_SECONDS = 10.0
# Longest wait of a request while no host that answers holds its account's budget: a
# slot that is handed over from one host to another has no owner for about this long.
HANDOVER_SECONDS = 0.6
HANDOVER_POLL_SECONDS = 0.1
# Requests wait for tokens that accrue in this time: a slot that has changed hands
# starts without any.
ACCRUAL_SECONDS = 0.1
MIN_PAUSE_SECONDS = 0.005
# Looks before tokens that are due count as not coming. A host that stands still between
# two of them has waited for long, and has not looked.
MIN_LOOKS = 3

log = get_logger("admissions")
limits_log = get_logger("limits")


@frozen
class Admission:
    """Decision about a request.

    Parameters
    ----------
    admitted : bool
    retry_after : float
        Seconds until budget is expected, if refused; infinite if never.
    """

    admitted = field()
    retry_after = field(default=0.0)


class Limiter(ABC):
    """Admits requests of client accounts within their rates and bursts."""

    @property
    def ready(self):
        """Whether the load balancer may send callers to this host."""
        return True

    @abstractmethod
    async def admit(self, account, cost=1.0):
        """Return an `Admission` for a request of the named client account."""

    @abstractmethod
    def set_accounts(self, accounts):
        """Set rates and bursts from ``{name: ClientAccount}``."""


class FleetLimiter(Limiter):
    """Limiter that keeps each account within its rate and burst over all hosts.

    Parameters
    ----------
    budget : HostBudget
    exchange : LoanExchange
    directory : LenderDirectory
    clock : Clock
    """

    def __init__(self, budget, exchange, directory, clock):
        self._budget = budget
        self._exchange = exchange
        self._directory = directory
        self._clock = clock
        self._started_at = clock.read_elapsed()

    @property
    def ready(self):
        """Whether budget is available, or `MAX_UNREADY_SECONDS` have passed."""
        if self._budget.allocations.held or self._directory.has_lenders:
            return True
        return self._clock.read_elapsed() > self._started_at + MAX_UNREADY_SECONDS

    async def admit(self, account, cost=1.0):
        """Return an `Admission`, after a short wait if lenders may have budget."""
        if not self._budget.has_account(account):
            return Admission(False, math.inf)
        self._budget.record_demand(account, cost)
        if self._take(account, cost):
            return Admission(True)
        if not self._budget.get_backoff(account):
            await self._exchange.borrow(account, cost)
            if self._take(account, cost):
                return Admission(True)
        if await self._await_budget(account, cost):
            return Admission(True)
        wait = self._budget.estimate_wait(account, cost)
        if wait == math.inf and self._directory.find_lenders(account):
            # There are lenders that have not answered yet and may do so soon.
            wait = UNANSWERED_RETRY_AFTER_SECONDS
        wait = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        return Admission(False, wait)

    def set_accounts(self, accounts):
        """Set rates and bursts."""
        self._budget.set_accounts(accounts)

    async def _await_budget(self, account, cost):
        """Wait while budget may come soon; return whether the request was admitted."""
        until = self._clock.read_elapsed() + HANDOVER_SECONDS
        for look in itertools.count():
            pause = self._compute_pause(account, cost)
            is_due = self._budget.estimate_wait(account, cost) < math.inf
            has_looked = look >= MIN_LOOKS or not is_due
            is_late = self._clock.read_elapsed() >= until
            if pause is None or (is_late and has_looked):
                break
            if await self._look_after(pause, account, cost):
                return True
        if look:
            # A client account beyond its rate is refused at the first look.
            self._log_lack(account, cost)
        return False

    async def _look_after(self, pause, account, cost):
        """Take budget here, or from lenders, after a pause; return whether it came."""
        self._budget.add_waiting_tokens(account, cost)
        try:
            await curio.sleep(pause)
        finally:
            self._budget.add_waiting_tokens(account, -cost)
        if self._take(account, cost):
            return True
        if self._budget.get_backoff(account):
            return False
        await self._exchange.borrow(account, cost)
        return self._take(account, cost)

    def _compute_pause(self, account, cost):
        """Return seconds until a waiting request looks again; None to refuse it.

        Notes
        -----
        Requests wait for tokens that accrue only as many as these will do for in time:
        those of an account beyond its rate are refused at once.
        """
        wait = self._budget.estimate_wait(account, cost)
        if wait == math.inf or self._exchange.is_asking(account):
            # What the lenders hold isn't known.
            return HANDOVER_POLL_SECONDS
        if self._budget.estimate_wait(account, cost, True) > ACCRUAL_SECONDS:
            return None
        return max(MIN_PAUSE_SECONDS, wait)

    def _take(self, account, cost):
        now = self._clock.read_elapsed()
        if not self._budget.take(account, cost, now):
            return False
        fields = {"client_account": account, "cost": cost, "elapsed": now}
        log.info("admitted", extra=fields)
        return True

    def _log_lack(self, account, cost):
        lenders = [lender.key for lender in self._directory.find_lenders(account)]
        state = self._budget.describe_account(account)
        fields = {"client_account": account, "cost": cost, "lenders": lenders, **state}
        limits_log.info("budget lacking", extra=fields)


class LocalLimiter(Limiter):
    """Limiter that admits from a fixed share of each budget, without loans.

    Parameters
    ----------
    clock : Clock
    share : float, optional
        This host's share of each account's rate and burst.
    """

    def __init__(self, clock, share=1.0):
        self._clock = clock
        self._share = share
        self._buckets = {}

    async def admit(self, account, cost=1.0):
        """Return an `Admission`."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return Admission(False, math.inf)
        if bucket.take(cost, self._clock.read_elapsed()):
            return Admission(True)
        return Admission(False, bucket.compute_wait(cost))

    def set_accounts(self, accounts):
        """Set rates and bursts."""
        now = self._clock.read_elapsed()
        for name in set(self._buckets) - set(accounts):
            del self._buckets[name]
        for name, account in accounts.items():
            rate, burst = account.rate * self._share, account.burst * self._share
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(rate, burst, now)
            else:
                bucket.set_limits(rate, burst, now)
