"""Loans between hosts: asks lenders when budget is short, and serves borrowers."""

import curio

from ..daemon.parts import HostPart
from ..protocol import CallError, ChannelError, Method
from ..protocol.limits_pb2 import BorrowReply, BorrowRequest
from .loans import LoanGrant, LoanRequest

__all__ = ["LoanExchange"]

BORROW_METHOD = "/mangogauge.Limits/Borrow"
SMALL_TOKENS = 4.0
CALL_TIMEOUT = 0.25
# A caller waits this long for lenders at most, and no longer than they take; it
# covers one lender that has just gone (`CALL_TIMEOUT`) and another's answer.
WAIT_SECONDS = 0.5
OWNER_WAIT_SECONDS = 0.08
PREFETCH_INTERVAL = 0.25
RENEWAL_WINDOW = 0.6
SWEEP_SECONDS = 10.0
FAILURE_PAUSE_SECONDS = 1.0


class LoanExchange(HostPart):
    """Borrows for its host and lends to others.

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
        """Borrow ahead for accounts with steady demand, until cancelled."""
        swept_at = self._clock.read_elapsed()
        while True:
            for account in self._budget.list_active():
                await self._borrow_ahead(account)
            now = self._clock.read_elapsed()
            if now >= swept_at + SWEEP_SECONDS:
                swept_at = now
                self._budget.sweep()
            await curio.sleep(PREFETCH_INTERVAL)

    async def borrow(self, account, amount, seconds=WAIT_SECONDS):
        """Wait, for a bounded time, for budget that lenders may have.

        Parameters
        ----------
        account : str
        amount : float
            Tokens that the caller needs.
        seconds : float, optional
            Longest wait.
        """
        self._budget.add_waiting(account, amount)
        try:
            async with curio.ignore_after(seconds):
                ended = await self._start_round(account)
                await ended.wait()
        finally:
            self._budget.add_waiting(account, -amount)

    async def _start_round(self, account):
        """Return an event that is set when the round of asking has ended."""
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
        plan = self._choose_plan(account)
        reach = 0.0
        for lender in self._list_lenders(account):
            wanted = plan(account)
            if wanted is None:
                return
            grant = await self._ask(account, lender, wanted)
            reach += grant.reach if grant else 0.0
            if grant and self._asks_home(account, lender):
                # The home has asked all others.
                break
        if plan(account) is not None:
            self._budget.note_short(account, 1.0, reach)

    def _choose_plan(self, account):
        if self._is_home(account):
            return self._budget.plan_collecting
        if self._rank_small(account):
            return self._budget.plan_floating
        return self._budget.plan_borrowing

    def _is_home(self, account):
        """Return whether this host collects a small account's budget."""
        ranked = self._rank_small(account)
        return bool(ranked) and ranked[0].key == self._budget.name

    def _rank_small(self, account):
        """Return an account's holders, its home first; none if it isn't small."""
        ranked = self._directory.rank_all(account)
        if self._budget.get_burst(account) < SMALL_TOKENS * len(ranked):
            return self._without_paused(ranked)
        return []

    async def _borrow_ahead(self, account):
        if account in self._rounds:
            return
        ending = self._budget.list_ending(account, RENEWAL_WINDOW)
        small = bool(self._rank_small(account))
        if ending:
            await self._end_or_renew(account, ending, small)
        elif not small and not self._budget.get_refusal(account):
            if self._budget.plan_borrowing(account) is not None:
                await self._start_round(account)

    async def _end_or_renew(self, account, ending, small):
        """Renew loans that are still needed; give the others back."""
        needed = self._is_home(account) if small else self._budget.is_steady(account)
        settle = self._ask if needed else self._give_back
        lenders = {lender.key: lender for lender in self._list_lenders(account)}
        for key in ending:
            if key in lenders:
                await curio.spawn(settle, account, lenders[key], daemon=True)

    def _list_lenders(self, account):
        """Return whom to ask, in order; a small account's home comes first."""
        ranked = self._rank_small(account)
        if not ranked:
            return self._without_paused(self._directory.find_lenders(account))
        return [lender for lender in ranked if lender.key != self._budget.name]

    def _without_paused(self, lenders):
        if not self._paused_until:
            return lenders
        now = self._clock.read_elapsed()
        return [
            lender
            for lender in lenders
            if self._paused_until.get(lender.address, now) <= now
        ]

    def _asks_home(self, account, lender):
        ranked = self._rank_small(account)
        return bool(ranked) and ranked[0] == lender

    async def _ask(self, account, lender, wanted=None):
        """Ask one lender, to renew a loan at least; return a `LoanGrant` or None."""
        request = self._budget.make_request(account, lender.key, wanted)
        sent_at = self._clock.read_elapsed()
        grant = await self._send(account, lender, request)
        self._budget.take_grant(account, lender.key, grant, sent_at)
        return grant

    async def _give_back(self, account, lender):
        """End a loan that is no longer needed, with the tokens left of it."""
        request = self._budget.give_back(account, lender.key)
        if request is not None:
            await self._send(account, lender, request)

    async def _send(self, account, lender, request):
        gather = not self._budget.covers(account) or self._asks_home(account, lender)
        message = _encode_request(account, request, gather)
        self.call_count += 1
        try:
            reply = await self._channels.get(lender.address).call(
                BORROW_METHOD, message, BorrowReply, CALL_TIMEOUT
            )
            return _decode_grant(reply)
        except (ChannelError, CallError):
            pause = self._clock.read_elapsed() + FAILURE_PAUSE_SECONDS
            self._paused_until[lender.address] = pause
            return None

    async def _serve_borrow(self, message, context):
        account, request = message.client_account, _decode_request(message)
        if message.gather and self._budget.knows(account):
            self._budget.note_borrower(account, request.borrower, request.demand)
            if self._is_worth_gathering(account, request.tokens):
                await self.borrow(account, request.tokens, OWNER_WAIT_SECONDS)
        # A small account's home may have all, whatever comes in elsewhere.
        reserve = not message.gather and not self._rank_small(account)
        grant = self._budget.lend(account, request, reserve)
        await context.send(_encode_grant(grant))

    def _is_worth_gathering(self, account, tokens):
        return (
            self._gathers(account)
            and self._budget.lacks(account, tokens)
            and not self._budget.get_refusal(account)
        )

    def _gathers(self, account):
        ranked = self._rank_small(account)
        if ranked:
            return ranked[0].key == self._budget.name
        return self._budget.covers(account)


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
