"""Loans between hosts: requests to lenders and service to borrowers."""

import curio

from ..daemon.parts import HostPart
from ..protocol import CallError, ChannelError, Method
from ..protocol.limits_pb2 import BorrowReply, BorrowRequest
from .loans import LoanGrant, LoanRequest

__all__ = ["LoanExchange"]

BORROW_METHOD = "/mangogauge.Limits/Borrow"
SMALL_BURST_PER_HOLDER = 4.0
CALL_TIMEOUT_SECONDS = 0.25
# Longest wait of a request for lenders. It covers the timeout of one lender that has
# just failed (`CALL_TIMEOUT_SECONDS`) and the answer of another.
MAX_WAIT_SECONDS = 0.5
GATHER_WAIT_SECONDS = 0.08
PREFETCH_INTERVAL_SECONDS = 0.25
RENEWAL_WINDOW_SECONDS = 0.6
CLEANUP_INTERVAL_SECONDS = 10.0
FAILED_LENDER_PAUSE_SECONDS = 1.0


class LoanExchange(HostPart):
    """Borrows budget from other hosts and lends to them.

    Parameters
    ----------
    budget : HostBudget
    directory : LenderDirectory
    channels : ChannelPool
    clock : Clock
    """

    def __init__(self, budget, directory, channels, clock):
        self._budget = budget
        self._directory = directory
        self._channels = channels
        self._clock = clock
        self._rounds = {}
        self._paused_until = {}
        self.call_count = 0

    def protocol_methods(self):
        """Return the method that borrowers call."""
        return [Method(BORROW_METHOD, BorrowRequest, self._serve_borrow)]

    async def run(self):
        """Prefetch budget for accounts with steady demand, until cancelled."""
        cleaned_up_at = self._clock.read_elapsed()
        while True:
            for account in self._budget.list_active():
                await self._prefetch(account)
            now = self._clock.read_elapsed()
            if now >= cleaned_up_at + CLEANUP_INTERVAL_SECONDS:
                cleaned_up_at = now
                self._budget.remove_idle_accounts()
            await curio.sleep(PREFETCH_INTERVAL_SECONDS)

    def is_asking(self, account):
        """Return whether lenders are being asked for an account's budget."""
        return account in self._rounds

    async def borrow(self, account, amount, seconds=MAX_WAIT_SECONDS):
        """Wait, for a bounded time, until lenders have been asked for budget.

        Parameters
        ----------
        account : str
        amount : float
            Tokens that the caller needs.
        seconds : float, optional
            Longest wait in seconds.
        """
        self._budget.add_waiting_tokens(account, amount)
        try:
            async with curio.ignore_after(seconds):
                ended = await self._start_round(account)
                await ended.wait()
        finally:
            self._budget.add_waiting_tokens(account, -amount)

    async def _start_round(self, account):
        """Return an event that is set once the current round of requests has ended."""
        ended = self._rounds.get(account)
        if ended is None:
            ended = self._rounds[account] = curio.Event()
            await curio.spawn(self._run_round, account, ended, daemon=True)
        return ended

    async def _run_round(self, account, ended):
        try:
            await self._ask_lenders(account)
        finally:
            del self._rounds[account]
            await ended.set()

    async def _ask_lenders(self, account):
        planner = self._choose_planner(account)
        reach = 0.0
        for lender in self._list_lenders(account):
            plan = planner(account)
            if plan is None:
                return
            grant = await self._request_loan(account, lender, plan)
            reach += grant.reach if grant else 0.0
            if grant and self._is_coordinated_by(account, lender):
                # The coordinator has already asked all others.
                break
        if planner(account) is not None:
            self._budget.start_backoff(account, 1.0, reach)

    def _choose_planner(self, account):
        if self._is_coordinator(account):
            return self._budget.plan_pooled_loan
        if self._rank_small_account(account):
            return self._budget.plan_short_loan
        return self._budget.plan_loan

    def _is_coordinator(self, account):
        """Return whether this host coordinates a small account's budget."""
        ranked = self._rank_small_account(account)
        return bool(ranked) and ranked[0].key == self._budget.name

    def _rank_small_account(self, account):
        """Return a small account's holders, coordinator first; empty if not small.

        An account is small if its burst leaves each holder fewer than
        `SMALL_BURST_PER_HOLDER` tokens.
        """
        ranked = self._directory.rank_holders(account)
        if self._budget.get_burst(account) < SMALL_BURST_PER_HOLDER * len(ranked):
            return self._exclude_paused(ranked)
        return []

    async def _prefetch(self, account):
        if account in self._rounds:
            return
        ending = self._budget.list_expiring_lenders(account, RENEWAL_WINDOW_SECONDS)
        small = bool(self._rank_small_account(account))
        if ending:
            await self._renew_or_return(account, ending, small)
        elif not small and not self._budget.get_backoff(account):
            if self._budget.plan_loan(account) is not None:
                await self._start_round(account)

    async def _renew_or_return(self, account, ending, small):
        """Renew expiring loans that are still needed and return the others."""
        needed = (
            self._is_coordinator(account)
            if small
            else self._budget.has_steady_demand(account)
        )
        finish = self._request_loan if needed else self._return_loan
        lenders = {lender.key: lender for lender in self._list_lenders(account)}
        for key in ending:
            if key in lenders:
                await curio.spawn(finish, account, lenders[key], daemon=True)

    def _list_lenders(self, account):
        """Return lenders in the order in which to ask them.

        A small account's coordinator comes first.
        """
        ranked = self._rank_small_account(account)
        if not ranked:
            return self._exclude_paused(self._directory.find_lenders(account))
        return [lender for lender in ranked if lender.key != self._budget.name]

    def _exclude_paused(self, lenders):
        if not self._paused_until:
            return lenders
        now = self._clock.read_elapsed()
        return [
            lender
            for lender in lenders
            if self._paused_until.get(lender.address, now) <= now
        ]

    def _is_coordinated_by(self, account, lender):
        ranked = self._rank_small_account(account)
        return bool(ranked) and ranked[0] == lender

    async def _request_loan(self, account, lender, plan=None):
        """Request or renew a loan; return the `LoanGrant`, or None if unanswered."""
        request = self._budget.make_request(account, lender.key, plan)
        sent_at = self._clock.read_elapsed()
        grant = await self._send(account, lender, request)
        self._budget.apply_grant(account, lender.key, grant, sent_at)
        return grant

    async def _return_loan(self, account, lender):
        """Return a loan that is no longer needed, with its remaining tokens."""
        request = self._budget.return_loan(account, lender.key)
        if request is not None:
            await self._send(account, lender, request)

    async def _send(self, account, lender, request):
        gather = not self._budget.has_allocation(account) or self._is_coordinated_by(
            account, lender
        )
        message = _encode_request(account, request, gather)
        self.call_count += 1
        try:
            reply = await self._channels.get(lender.address).call(
                BORROW_METHOD, message, BorrowReply, CALL_TIMEOUT_SECONDS
            )
            return _decode_grant(reply)
        except (ChannelError, CallError):
            pause = self._clock.read_elapsed() + FAILED_LENDER_PAUSE_SECONDS
            self._paused_until[lender.address] = pause
            return None

    async def _serve_borrow(self, message, context):
        account, request = message.client_account, _decode_request(message)
        if message.gather and self._budget.has_account(account):
            self._budget.record_borrower_demand(
                account, request.borrower, request.demand
            )
            if self._should_gather(account, request.tokens):
                await self.borrow(account, request.tokens, GATHER_WAIT_SECONDS)
        # The coordinator of a small account may borrow everything, so no reserve is
        # kept, whatever the demand at this host.
        keep_reserve = not message.gather and not self._rank_small_account(account)
        grant = self._budget.lend(account, request, keep_reserve)
        await context.send(_encode_grant(grant))

    def _should_gather(self, account, tokens):
        return (
            self._may_gather(account)
            and self._budget.lacks_tokens(account, tokens)
            and not self._budget.get_backoff(account)
        )

    def _may_gather(self, account):
        ranked = self._rank_small_account(account)
        if ranked:
            return ranked[0].key == self._budget.name
        return self._budget.has_allocation(account)


def _encode_request(account, request, gather):
    name, _, incarnation = request.borrower.rpartition("#")
    return BorrowRequest(
        borrower=name,
        incarnation=int(incarnation),
        client_account=account,
        sequence=request.sequence,
        held_rate=request.held_rate,
        held_burst=request.held_burst,
        returned=request.returned,
        room=request.room,
        rate=request.rate,
        burst=request.burst,
        tokens=request.tokens,
        demand=request.demand,
        seconds=request.seconds,
        gather=gather,
    )


def _decode_request(message):
    return LoanRequest(
        borrower=f"{message.borrower}#{message.incarnation}",
        sequence=message.sequence,
        held_rate=message.held_rate,
        held_burst=message.held_burst,
        rate=message.rate,
        burst=message.burst,
        tokens=message.tokens,
        seconds=message.seconds,
        demand=message.demand,
        returned=message.returned,
        room=message.room,
    )


def _encode_grant(grant):
    return BorrowReply(
        sequence=grant.sequence,
        rate=grant.rate,
        burst=grant.burst,
        tokens=grant.tokens,
        seconds=grant.seconds,
        reach=grant.reach,
    )


def _decode_grant(reply):
    return LoanGrant(
        reply.sequence,
        reply.rate,
        reply.burst,
        reply.tokens,
        reply.seconds,
        reply.reach,
    )
