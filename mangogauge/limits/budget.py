"""Budget of one host: its allocations and loans for all client accounts."""

import itertools

from attrs import define, field

from .allocations import HostAllocations
from .demand import DemandEstimate
from .ledger import AccountLedger
from .loans import NO_RESERVE, LoanGrant, LoanPlan, Reserve

__all__ = ["HostBudget"]

SHORT_LOAN_SECONDS = 0.25
PREFETCH_SECONDS = 0.3
STEADY_REQUESTS_PER_SECOND = 3.0
MAX_STEADY_LOAN_SECONDS = 2.0
HEADROOM_FACTOR = 1.2
MIN_RATE_INCREASE_SHARE = 0.1
BORROWER_DEMAND_SECONDS = 2.0
IDLE_REQUESTS_PER_SECOND = 0.01
MIN_RETURNED_TOKENS = 0.5
MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5


@define(eq=False)
class _Borrower:
    demand = field(default=0.0)
    seen_at = field(default=0.0)


@define(eq=False)
class _AccountState:
    ledger = field()
    demand = field()
    borrowers = field(factory=dict)
    waiting = field(default=0.0)
    backoff_until = field(default=0.0)
    reach = field(default=0.0)


class HostBudget:
    """Budgets of all accounts at one host.

    Parameters
    ----------
    clock : Clock
    name : str
        Name and incarnation of this host, ``name#incarnation``, for lenders.
    """

    def __init__(self, clock, name):
        self._clock = clock
        self.name = name
        self.allocations = HostAllocations()
        self.loan_seconds = 2.0
        self._accounts = {}
        self._removed = set()
        self._states = {}
        self._sequences = itertools.count(1)

    def set_accounts(self, accounts):
        """Set rates and bursts from ``{name: ClientAccount}``."""
        now = self._clock.read_elapsed()
        self._removed |= set(self._accounts) - set(accounts)
        self._accounts = dict(accounts)
        for name, state in self._states.items():
            # The ledger of a removed account is kept, without rate and burst: its
            # loans must be known if the account is added again.
            rate, burst = self._get_limits(name)
            state.ledger.set_limits(rate, burst, now)

    def has_account(self, account):
        """Return whether the account is configured."""
        return account in self._accounts

    def has_allocation(self, account):
        """Return whether this host has allocations that cover an account."""
        return bool(self.allocations.find(account))

    def take(self, account, cost, now):
        """Take `cost` tokens if available here; return whether they were taken."""
        return self._get_state(account).ledger.take(cost, now)

    def record_demand(self, account, cost):
        """Count a request in the account's demand."""
        now = self._clock.read_elapsed()
        self._get_state(account).demand.add(cost, now)

    def add_waiting_tokens(self, account, cost):
        """Add `cost` to the tokens that requests wait for; negative to subtract."""
        state = self._get_state(account)
        state.waiting = max(0.0, state.waiting + cost)

    def lacks_tokens(self, account, amount):
        """Return whether fewer than `amount` tokens are available here."""
        state = self._get_state(account)
        state.ledger.settle(self._clock.read_elapsed())
        return state.ledger.tokens < amount

    def get_backoff(self, account):
        """Return seconds to wait before asking lenders again; 0 if none."""
        now = self._clock.read_elapsed()
        return max(0.0, self._get_state(account).backoff_until - now)

    def estimate_wait(self, account, cost, is_last=False):
        """Estimate seconds until `cost` tokens accrue here and at the lenders asked.

        Infinite if neither this host nor they hold any of the rate. With `is_last`
        also what other requests wait for has to accrue.
        """
        now = self._clock.read_elapsed()
        state = self._get_state(account)
        rate, _ = state.ledger.get_held_shares(now)
        reach = min(1.0, max(rate, 0.0) + state.reach)
        accrual = reach * state.ledger.rate
        if accrual <= 0:
            return float("inf")
        needed = cost + state.waiting if is_last else cost
        return max(0.0, needed - state.ledger.tokens) / accrual

    def start_backoff(self, account, cost, reach):
        """Back off from lenders that don't have enough at present.

        Parameters
        ----------
        account : str
        cost : float
            Tokens that are needed.
        reach : float
            Share of the account's rate that the lenders asked hold.
        """
        state = self._get_state(account)
        state.reach = reach
        wait = self.estimate_wait(account, cost)
        wait = min(max(wait, MIN_BACKOFF_SECONDS), MAX_BACKOFF_SECONDS)
        state.backoff_until = self._clock.read_elapsed() + wait

    def get_burst(self, account):
        """Return the account's burst over the whole fleet."""
        return self._get_limits(account)[1]

    def plan_pooled_loan(self, account):
        """Return a `LoanPlan` for all that lenders can spare, or None.

        Notes
        -----
        For the coordinator of an account whose burst is so small that the shares of
        single hosts are too small to admit requests.
        """
        state = self._get_state(account)
        now = self._clock.read_elapsed()
        state.ledger.settle(now)
        if state.waiting <= state.ledger.tokens:
            return None
        seconds = min(self.loan_seconds, self.allocations.loan_seconds)
        demand = self._sum_demand(state, now)
        return LoanPlan(1.0, 1.0, state.ledger.burst, seconds, demand)

    def plan_short_loan(self, account):
        """Return a `LoanPlan` for just the tokens that requests wait for, or None."""
        state = self._get_state(account)
        ledger, now = state.ledger, self._clock.read_elapsed()
        ledger.settle(now)
        tokens = state.waiting - ledger.tokens
        if tokens <= 0 or ledger.burst <= 0:
            return None
        _, burst = ledger.get_held_shares(now)
        more_burst = max(0.0, min(1.0, state.waiting / ledger.burst) - max(burst, 0.0))
        demand = state.demand.read(now)
        return LoanPlan(0.0, more_burst, tokens, SHORT_LOAN_SECONDS, demand)

    def plan_loan(self, account):
        """Return a `LoanPlan` for present and expected requests, or None.

        Notes
        -----
        With steady demand the plan includes rate and tokens for the near future.
        """
        state = self._get_state(account)
        ledger, now = state.ledger, self._clock.read_elapsed()
        ledger.settle(now)
        if ledger.rate <= 0 or ledger.burst <= 0:
            return None
        demand = self._sum_demand(state, now)
        seconds = min(
            self.loan_seconds, self.allocations.loan_seconds, MAX_STEADY_LOAN_SECONDS
        )
        steady = demand >= STEADY_REQUESTS_PER_SECOND
        rate, burst = ledger.get_held_shares(now)
        more_rate = 0.0
        if steady:
            more_rate = min(
                1.0, max(0.0, demand * HEADROOM_FACTOR / ledger.rate - rate)
            )
        prefetched = min(demand * PREFETCH_SECONDS, ledger.burst) if steady else 0.0
        target = max(state.waiting, prefetched)
        tokens = max(0.0, target - ledger.tokens)
        if not self._is_worth_borrowing(state, more_rate, tokens, prefetched):
            return None
        more_burst = max(0.0, max(target, 1.0) / ledger.burst - burst, more_rate)
        seconds = seconds if steady else min(seconds, SHORT_LOAN_SECONDS)
        return LoanPlan(more_rate, min(1.0, more_burst), tokens, seconds, demand)

    def list_expiring_lenders(self, account, within):
        """Return lenders whose loans end within `within` seconds."""
        now = self._clock.read_elapsed()
        return self._get_state(account).ledger.list_lenders(now, within)

    def has_steady_demand(self, account):
        """Return whether demand is high enough to renew loans."""
        state = self._get_state(account)
        demand = self._sum_demand(state, self._clock.read_elapsed())
        return demand >= STEADY_REQUESTS_PER_SECOND

    def return_loan(self, account, lender):
        """Return the `LoanRequest` that ends a loan early, or None."""
        ledger = self._get_state(account).ledger
        now = self._clock.read_elapsed()
        ledger.settle(now)
        if ledger.tokens < MIN_RETURNED_TOKENS:
            return None
        return ledger.return_loan(lender, self.name, next(self._sequences), now)

    def describe(self):
        """Return the state of all accounts with a ledger, for operators."""
        now = self._clock.read_elapsed()
        return {name: self._describe(name, now) for name in list(self._states)}

    def describe_account(self, account):
        """Return the state of one account, also what it waits for, for the log."""
        state, now = self._get_state(account), self._clock.read_elapsed()
        more = {"waiting": state.waiting, "reach": round(state.reach, 4)}
        return {**self._describe(account, now), **more}

    def list_active(self):
        """Return accounts with recent demand."""
        now = self._clock.read_elapsed()
        return [
            name
            for name, state in self._states.items()
            if self._sum_demand(state, now) > IDLE_REQUESTS_PER_SECOND
        ]

    def make_request(self, account, lender, plan=None):
        """Return the `LoanRequest` to send to `lender`.

        Without a `plan` it only renews the loan.
        """
        state = self._get_state(account)
        now = self._clock.read_elapsed()
        state.ledger.settle(now)
        sequence = next(self._sequences)
        if plan is None:
            demand = self._sum_demand(state, now)
            plan = LoanPlan(0.0, 0.0, 0.0, self.loan_seconds, demand)
        return state.ledger.make_request(
            lender,
            self.name,
            sequence,
            rate=plan.rate,
            burst=plan.burst,
            tokens=plan.tokens,
            seconds=plan.seconds,
            demand=plan.demand,
        )

    def apply_grant(self, account, lender, grant, sent_at):
        """Apply a lender's `LoanGrant`; `grant` is None if there was no answer."""
        ledger = self._get_state(account).ledger
        if grant is None:
            ledger.cancel_request(lender)
            return
        ledger.apply_grant(lender, grant, sent_at, self._clock.read_elapsed())

    def record_borrower_demand(self, account, borrower, demand):
        """Record the demand of a borrower for which this host gathers loans."""
        now = self._clock.read_elapsed()
        self._get_state(account).borrowers[borrower] = _Borrower(demand, now)

    def lend(self, account, request, keep_reserve):
        """Answer a `LoanRequest`.

        Parameters
        ----------
        account : str
        request : LoanRequest
        keep_reserve : bool
            Whether to keep back what this host and its borrowers will soon need.
        """
        if account not in self._accounts:
            return LoanGrant(request.sequence)
        state = self._get_state(account)
        now = self._clock.read_elapsed()
        state.ledger.settle(now)
        reserve = self._compute_reserve(state, now, keep_reserve)
        longest = min(self.loan_seconds, self.allocations.loan_seconds)
        request = request.limit(longest, self._compute_fair_rate(state, request, now))
        spare = state.ledger.tokens - reserve.tokens
        if not keep_reserve and not request.rate and spare < request.tokens:
            # Fewer tokens than requested would not admit the waiting request.
            request = request.decline()
        grant = state.ledger.lend(request, now, reserve)
        return grant or LoanGrant(0)

    def _compute_reserve(self, state, now, prefetch):
        """Return the `Reserve` for waiting and, if `prefetch`, expected requests."""
        ledger = state.ledger
        if ledger.rate <= 0 or ledger.burst <= 0:
            return NO_RESERVE
        demand = self._sum_demand(state, now)
        if not prefetch or demand < STEADY_REQUESTS_PER_SECOND:
            return Reserve(0.0, state.waiting / ledger.burst, state.waiting)
        rate = demand * HEADROOM_FACTOR / ledger.rate
        tokens = state.waiting + demand * PREFETCH_SECONDS
        return Reserve(rate, tokens / ledger.burst, tokens)

    def _compute_fair_rate(self, state, request, now):
        """Return the further share of the rate that is fair to a borrower.

        When total demand exceeds the rate, shares are in proportion to demand.
        """
        if state.ledger.rate <= 0:
            return 0.0
        others = sum(
            borrower.demand
            for name, borrower in state.borrowers.items()
            if name != request.borrower
        )
        total = request.demand + others + state.demand.read(now)
        if total <= state.ledger.rate:
            return request.rate
        fair = request.demand / total
        return max(0.0, fair - state.ledger.get_lent_rate(request.borrower))

    def remove_idle_accounts(self):
        """Remove the state of idle accounts, whose new ledgers would be equal."""
        now = self._clock.read_elapsed()
        idle = [
            name
            for name, state in self._states.items()
            if name in self._accounts
            and not state.waiting
            and name not in self._removed
            and self._sum_demand(state, now) < IDLE_REQUESTS_PER_SECOND
            and state.ledger.is_idle(now)
        ]
        for name in idle:
            del self._states[name]

    def _get_state(self, account):
        state = self._states.get(account)
        now = self._clock.read_elapsed()
        allocations = self.allocations.find(account)
        if state is None:
            rate, burst = self._get_limits(account)
            ledger = AccountLedger(rate, burst, allocations, now)
            if account in self._removed:
                ledger.clear_tokens()
            state = self._states[account] = _AccountState(ledger, DemandEstimate(now))
        state.ledger.set_allocations(allocations, now)
        return state

    def _describe(self, account, now):
        state = self._get_state(account)
        state.ledger.settle(now)
        rate, burst = state.ledger.get_held_shares(now)
        return {
            "rate_share": round(rate, 4),
            "burst_share": round(burst, 4),
            "tokens": round(state.ledger.tokens, 3),
            "demand": round(self._sum_demand(state, now), 3),
        }

    def _get_limits(self, account):
        settings = self._accounts.get(account)
        return (settings.rate, settings.burst) if settings else (0.0, 0.0)

    def _sum_demand(self, state, now):
        """Return own demand plus that of borrowers beyond the rate lent to them."""
        unmet = 0.0
        for name, borrower in list(state.borrowers.items()):
            if now - borrower.seen_at > BORROWER_DEMAND_SECONDS:
                del state.borrowers[name]
                continue
            served = state.ledger.get_lent_rate(name) * state.ledger.rate
            freshness = 1 - (now - borrower.seen_at) / BORROWER_DEMAND_SECONDS
            unmet += max(0.0, borrower.demand * freshness - served)
        return state.demand.read(now) + unmet

    def _is_worth_borrowing(self, state, more_rate, tokens, prefetched):
        if state.waiting > state.ledger.tokens:
            return True
        needed = state.demand.read(self._clock.read_elapsed()) * HEADROOM_FACTOR
        if more_rate * state.ledger.rate > MIN_RATE_INCREASE_SHARE * max(needed, 1.0):
            return True
        return tokens > prefetched / 2
