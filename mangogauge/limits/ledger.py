"""One host's budget of one client account: allocations, loans and tokens.

Over all hosts, the shares of rate and burst never add up to more than one, nor the
tokens to more than the burst. A lender stops using a share before it sends its reply.
It resumes using the share only when the loan has certainly ended at the borrower,
which counts the loan's duration from before it sent its request.
"""

import math

from attrs import define, field

from .bucket import TokenBucket
from .loans import NO_RESERVE, LoanGrant, LoanRequest

__all__ = ["LOAN_MARGIN_SECONDS", "AccountLedger"]

LOAN_MARGIN_SECONDS = 0.05
MIN_LOAN_SECONDS = 0.1
ROUNDING_TOLERANCE = 1e-9


@define(eq=False)
class _Loan:
    """State of a loan at the lender or at the borrower."""

    rate = field(default=0.0)
    burst = field(default=0.0)
    until = field(default=-math.inf)
    sequence = field(default=0)
    grant = field(default=None)


class AccountLedger:
    """Budget of one client account at one host.

    Parameters
    ----------
    rate, burst : float
        The account's rate in tokens per second and its burst in tokens, over the
        whole fleet.
    allocations : tuple of Allocation
    now : float
        Elapsed time in seconds.

    Notes
    -----
    A ledger may be created when its account is first used: an unused allocation has
    accrued tokens since its start.
    """

    def __init__(self, rate, burst, allocations, now):
        self.rate = rate
        self.burst = burst
        self._allocations = allocations
        self._borrowed = {}
        self._lent = {}
        self._settled_at = now
        tokens = sum(
            min(
                allocation.share * burst,
                allocation.share * rate * (now - allocation.since),
            )
            for allocation in allocations
            if allocation.is_valid(now)
        )
        self._bucket = TokenBucket(0.0, 0.0, now)
        self._update_bucket(now)
        self._bucket.tokens = min(tokens, self._bucket.burst)

    @property
    def tokens(self):
        """Tokens available when this ledger was last settled."""
        return self._bucket.tokens

    @property
    def lends(self):
        """Whether any loan to a borrower is running."""
        return bool(self._lent)

    def take(self, amount, now):
        """Take `amount` tokens if available; return whether they were taken."""
        self.settle(now)
        return self._bucket.take(amount, now)

    def compute_wait(self, amount, now):
        """Return seconds until `amount` tokens are available; infinite if never."""
        self.settle(now)
        return self._bucket.compute_wait(amount)

    def get_held_shares(self, now):
        """Return the shares of rate and burst that this host may use at `now`."""
        return self._sum_shares_at(now)

    def list_end_times(self):
        """Return the elapsed times at which allocations and loans end."""
        loans = [*self._lent.values(), *self._borrowed.values()]
        return [part.until for part in [*self._allocations, *loans]]

    def set_allocations(self, allocations, now):
        """Replace the allocations; new ones add no tokens accrued before `now`."""
        if allocations is self._allocations:
            return
        self.settle(now)
        self._allocations = allocations
        self._update_bucket(now)

    def set_limits(self, rate, burst, now):
        """Change the account's rate and burst."""
        self.settle(now)
        self.rate = rate
        self.burst = burst
        self._update_bucket(now)

    def clear_tokens(self):
        """Drop all tokens."""
        self._bucket.tokens = 0.0

    def is_idle(self, now):
        """Return whether the ledger has no loans and a full bucket, like a new one."""
        self.settle(now)
        if self._lent or self._borrowed:
            return False
        return self._bucket.tokens >= self._bucket.burst - ROUNDING_TOLERANCE

    def settle(self, now):
        """Apply the starts and ends of allocations and loans up to `now`, in order."""
        for end in sorted(self._list_change_times(now)):
            self._bucket.accrue(end)
            self._update_bucket(end)
        self._bucket.accrue(now)
        self._settled_at = max(self._settled_at, now)
        self._lent = _drop_ended(self._lent, now)
        self._borrowed = _drop_ended(self._borrowed, now)

    def lend(self, request, now, reserve=NO_RESERVE):
        """Answer a borrower's request.

        Parameters
        ----------
        request : LoanRequest
        now : float
        reserve : Reserve, optional
            What this host doesn't lend.

        Returns
        -------
        LoanGrant or None
            None if the request is older than the last one answered. A repeat of the
            last one gets the same answer.
        """
        self.settle(now)
        loan = self._lent.get(request.borrower) or _Loan()
        if request.sequence <= loan.sequence:
            return loan.grant if request.sequence == loan.sequence else None
        # The borrower ignores answers to earlier requests, so it can never use shares
        # that it doesn't state as held.
        loan.rate = min(loan.rate, request.held_rate)
        loan.burst = min(loan.burst, request.held_burst)
        loan.sequence = request.sequence
        self._lent[request.borrower] = loan
        previous_burst = loan.burst
        seconds = self._extend_loan(loan, request, reserve, now)
        room = request.room + (loan.burst - previous_burst) * self.burst
        tokens = self._withdraw_tokens(request, room, reserve.tokens, now)
        self._update_bucket(now)
        self._add_tokens(request.returned)
        reach = max(0.0, self._sum_shares_at(now)[0])
        loan.grant = LoanGrant(
            request.sequence, loan.rate, loan.burst, tokens, seconds, reach
        )
        return loan.grant

    def make_request(self, lender, borrower, sequence, **requested):
        """Return the `LoanRequest` to send to `lender`."""
        loan = self._borrowed.setdefault(lender, _Loan())
        loan.sequence = sequence
        room = self._bucket.burst - self._bucket.tokens
        return LoanRequest(
            borrower, sequence, loan.rate, loan.burst, room=room, **requested
        )

    def apply_grant(self, lender, grant, sent_at, now):
        """Apply the answer to the last request sent to `lender`; ignore others.

        Parameters
        ----------
        lender : str
        grant : LoanGrant
        sent_at : float
            Elapsed time before the request was sent.
        now : float
        """
        loan = self._borrowed.get(lender)
        if loan is None or grant.sequence != loan.sequence:
            return
        self.settle(now)
        loan.sequence = 0
        until = loan.until
        if grant.seconds:
            until = max(until, sent_at + grant.seconds)
        if until <= now:
            self._borrowed.pop(lender, None)
            self._update_bucket(now)
            return
        loan.rate, loan.burst, loan.until = grant.rate, grant.burst, until
        self._borrowed[lender] = loan
        self._update_bucket(now)
        self._add_tokens(grant.tokens)

    def return_loan(self, lender, borrower, sequence, now):
        """Stop using a loan; return the `LoanRequest` that returns it, or None.

        Notes
        -----
        None if the loan has ended, a request on it is pending, or its shares are
        needed for loans to others.
        """
        self.settle(now)
        loan = self._borrowed.pop(lender, None)
        if loan is None or loan.until <= now or loan.sequence:
            return None
        if not self._is_covered(now):
            self._borrowed[lender] = loan
            return None
        tokens = min(self._bucket.tokens, loan.burst * self.burst)
        self._bucket.tokens -= tokens
        self._update_bucket(now)
        return LoanRequest(borrower, sequence, returned=tokens)

    def cancel_request(self, lender):
        """Stop waiting for the answer of `lender`; a late one is ignored."""
        loan = self._borrowed.get(lender)
        if loan is not None:
            loan.sequence = 0

    def list_lenders(self, now, ending_within=math.inf):
        """Return lenders whose running loans end within `ending_within` seconds."""
        return [
            lender
            for lender, loan in self._borrowed.items()
            if now < loan.until <= now + ending_within
        ]

    def get_lent_rate(self, borrower):
        """Return the share of the rate that is lent to `borrower`."""
        loan = self._lent.get(borrower)
        return loan.rate if loan else 0.0

    def _extend_loan(self, loan, request, reserve, now):
        """Increase and extend a loan as far as possible; return its duration.

        The duration in seconds is halved until the shares are free for all of it; 0
        if even the shortest loan isn't possible.
        """
        _, free_burst = self._find_free_shares(loan, now, now + MIN_LOAN_SECONDS)
        wanted_burst = max(loan.burst, min(loan.burst + request.burst, free_burst))
        seconds = request.seconds
        while seconds >= MIN_LOAN_SECONDS:
            end = max(loan.until, now + seconds + LOAN_MARGIN_SECONDS)
            rate, burst = self._find_free_shares(loan, now, end)
            last = seconds / 2 < MIN_LOAN_SECONDS
            needed = loan.burst if last else wanted_burst
            if (
                rate >= loan.rate - ROUNDING_TOLERANCE
                and burst >= needed - ROUNDING_TOLERANCE
            ):
                spare = max(loan.rate, rate - reserve.rate)
                loan.rate = min(loan.rate + request.rate, spare)
                spare = max(loan.burst, burst - reserve.burst)
                loan.burst = min(loan.burst + request.burst, spare)
                loan.until = end
                return seconds
            seconds /= 2
        return 0.0

    def _find_free_shares(self, loan, now, end):
        """Return the shares of rate and burst free for `loan` from `now` to `end`."""
        times = [now]
        times += [
            allocation.until
            for allocation in self._allocations
            if now < allocation.until < end
        ]
        times += [b.until for b in self._borrowed.values() if now < b.until < end]
        sums = [self._sum_shares_at(time, without=loan) for time in times]
        return min(rate for rate, _ in sums), min(burst for _, burst in sums)

    def _withdraw_tokens(self, request, room, reserve, now):
        """Take the tokens that are transferred with a loan out of the bucket."""
        bucket = self._bucket
        # Tokens that no longer fit this bucket are transferred, up to the borrower's
        # room.
        excess = bucket.tokens - self._sum_shares_at(now)[1] * self.burst
        transferable = max(excess, min(request.tokens, bucket.tokens - reserve))
        tokens = max(0.0, min(transferable, room, bucket.tokens))
        bucket.tokens -= tokens
        return tokens

    def _add_tokens(self, tokens):
        bucket = self._bucket
        bucket.tokens = min(bucket.burst, bucket.tokens + tokens)

    def _is_covered(self, now):
        """Return whether all loans to others are covered, now and at any later time."""
        times = [now, *(end for end in self.list_end_times() if end > now)]
        return all(
            min(self._sum_shares_at(time)) >= -ROUNDING_TOLERANCE for time in times
        )

    def _list_change_times(self, now):
        times = {loan.until for loan in self._lent.values()}
        times |= {loan.until for loan in self._borrowed.values()}
        for allocation in self._allocations:
            times |= {allocation.since, allocation.until}
        return [time for time in times if self._settled_at < time <= now]

    def _update_bucket(self, now):
        rate, burst = self._sum_shares_at(now)
        self._bucket.set_limits(
            max(0.0, rate * self.rate), max(0.0, burst * self.burst), now
        )

    def _sum_shares_at(self, time, without=None):
        held = sum(
            allocation.share
            for allocation in self._allocations
            if allocation.is_valid(time)
        )
        rate = burst = held
        for loan in self._borrowed.values():
            if loan.until > time:
                rate, burst = rate + loan.rate, burst + loan.burst
        for loan in self._lent.values():
            if loan.until > time and loan is not without:
                rate, burst = rate - loan.rate, burst - loan.burst
        return rate, burst


def _drop_ended(loans, now):
    # A borrowed loan with a pending request is kept to match the answer.
    return {
        peer: loan
        for peer, loan in loans.items()
        if loan.until > now or (loan.sequence and loan.grant is None)
    }
