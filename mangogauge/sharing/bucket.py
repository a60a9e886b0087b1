"""Bucket of one client account, as one host knows it.

The load this answers: an account sends many times its rate through all hosts at once,
and each host learns of the others' admissions some tenths of a second later.
"""

from attrs import define, field

__all__ = ["AccountBucket", "compute_capacity"]

# Capacity of a bucket beyond the account's burst: other hosts' reports arrive a
# little late, and no account within its rate should be refused because of that.
SPARE_REQUESTS = 4.0
# Part of the capacity that a host may use at least, however few others are reporting:
# a host that has just started gets no reports yet.
MIN_CAPACITY_SHARE = 0.125
# Least number of requests that such a part of the capacity is sufficient for.
MIN_CAPACITY_REQUESTS = 2.0
# With less room than this an account is beyond its burst, and the hosts are paced.
PACED_ROOM_REQUESTS = 1.0
# Room above which hosts are no longer paced: that of an account within its rate.
UNPACED_ROOM_SECONDS = 0.5
MAX_UNPACED_ROOM_SHARE = 0.75
# A host that has refused a request in this time is paced on until room is plenty.
REFUSED_SECONDS = 1.0
MAX_REFUSED_ROOM_SHARE = 0.9
# Requests that may accrue to a host that has none to admit at the moment.
MAX_CREDIT_REQUESTS = 2.5
# Credit from which a new request and a retry are admitted. The difference is kept for
# callers that another host has told to retry.
MIN_CREDIT_REQUESTS = 1.5
MIN_RETRY_CREDIT_REQUESTS = 1.0
# Room that pacing aims at, so that reports that are late don't overdraw the bucket: so
# many requests, and those of so many seconds, but no more than a part of the capacity.
TARGET_ROOM_REQUESTS = 2.0
TARGET_ROOM_SECONDS = 0.1
MAX_TARGET_ROOM_SHARE = 0.5
# Time in which pacing corrects the difference from that room; longer than reports take.
CORRECTION_SECONDS = 0.5
MIN_CORRECTION_REQUESTS = 2.0
# Longest time for which a debt delays requests; what was admitted longer ago no longer
# counts against the bound of any 5 s.
MAX_DEBT_SECONDS = 5.0


@define
class AccountBucket:
    """Leaky bucket of all hosts' requests of one account.

    While only some of the hosts are reporting, these use their share of the rate and of
    the capacity. So an admission costs more than one request, as if the others admitted
    as many.

    An account that is beyond its burst is paced: each host that has requests of it
    accrues an equal part of the rate, and admits a request for each one accrued. So
    hosts that see the same room at the same moment don't all take it.

    Parameters
    ----------
    level : float
        Requests admitted by all hosts that have not yet leaked out at the rate.
    updated_at : float
        Elapsed time of the level.

    Attributes
    ----------
    share : float
        Fraction of the hosts that are reporting.
    contenders : float
        Reporting hosts that have requests of the account, this one included.
    credit : float
        Requests that have accrued to this host while paced.
    is_paced : bool
    refused_at : float
        Elapsed time at which this host last refused one.
    promised_until : float
        Elapsed time at which the last of the callers that were told to retry has
        budget.
    own_count : int
        Requests that this host has admitted since its start.
    admitted_at : float
        Elapsed time at which this host last admitted one.
    paced_until : float
        Elapsed time until which the hosts are paced in any case.
    contenders_due_at : float
        Elapsed time from which `contenders` is out of date.
    """

    level = field()
    updated_at = field()
    share = field(default=1.0)
    contenders = field(default=1.0)
    credit = field(default=0.0)
    is_paced = field(default=False)
    refused_at = field(default=float("-inf"))
    promised_until = field(default=float("-inf"))
    own_count = field(default=0)
    admitted_at = field(default=0.0)
    paced_until = field(default=float("-inf"))
    contenders_due_at = field(default=float("-inf"))

    def update(self, account, now):
        """Let the level leak, and credit accrue, up to now."""
        seconds = now - self.updated_at
        if self.is_paced:
            cap = max(MAX_CREDIT_REQUESTS, self.measure_room(account) / self.contenders)
            accrued = seconds * self._compute_credit_rate(account)
            self.credit = max(self.credit, min(cap, self.credit + accrued))
        leaked = seconds * account.rate * self.share * self._compute_cost(account)
        self.level = max(0.0, self.level - leaked)
        self.updated_at = now

    def start_paced(self, until, random):
        """Pace a host that doesn't know yet what the others have admitted."""
        self.is_paced, self.paced_until = True, until
        self.credit = MIN_CREDIT_REQUESTS + random.random()

    def pace(self, account, now, random):
        """Begin or end pacing, depending on the room that is left."""
        room = self.measure_room(account)
        if not self.is_paced and room < PACED_ROOM_REQUESTS:
            self.is_paced = True
            # The hosts begin at the same time, and must not all admit one together.
            self.credit = MIN_RETRY_CREDIT_REQUESTS - 0.5 + random.random()
            return
        if now >= self.paced_until and room >= self._compute_unpaced_room(account, now):
            self.is_paced = False

    def measure_room(self, account):
        """Return how many requests these hosts may admit; negative for a debt."""
        return (compute_capacity(account) - self.level) / self._compute_cost(account)

    def may_take(self, account, is_retry):
        """Return whether this host may admit a request, or a retry, now."""
        if self.measure_room(account) < 1.0:
            return False
        return not self._has_to_share or self.credit >= _get_min_credit(is_retry)

    def take(self, account, now):
        """Count a request that this host admits."""
        self.charge(account, 1)
        if self._has_to_share:
            self.credit -= 1.0
        self.own_count += 1
        self.admitted_at = now

    def charge(self, account, count):
        """Count requests that reporting hosts have admitted."""
        cost = self._compute_cost(account)
        debt = max(SPARE_REQUESTS, MAX_DEBT_SECONDS * account.rate * self.share) * cost
        most = compute_capacity(account) + debt
        self.level = max(self.level, min(self.level + count * cost, most))

    def charge_silent(self, account, count, seconds):
        """Count requests of a host from which nothing arrived for some seconds.

        Notes
        -----
        The rate that was reserved for the silent hosts is deducted. With what is left
        they have filled their share of the capacity at most.
        """
        reserved = seconds * account.rate * (1.0 - self.share)
        level = self.level + max(0.0, count - reserved)
        self.level = max(self.level, min(level, compute_capacity(account)))

    def estimate_wait(self, account, ahead, is_retry):
        """Return the seconds until this host may admit a request.

        Parameters
        ----------
        account : Account
        ahead : int
            Requests that wait here before it.
        is_retry : bool
        """
        missing = ahead + 1.0
        rate = account.rate * self.share
        wait = max(0.0, missing - self.measure_room(account)) / rate
        if not self._has_to_share:
            return wait
        # What the debt delays is included in the rate at which credit accrues.
        credit_rate = self._compute_credit_rate(account) or rate / self.contenders
        missing_credit = ahead + _get_min_credit(is_retry) - self.credit
        return max(wait, missing_credit / credit_rate)

    def promise(self, account, now, max_seconds, random):
        """Return the seconds after which a caller that is refused should retry.

        Notes
        -----
        Each host spaces the callers that it refuses by the time in which its part of
        the rate accrues. So the callers of all hosts together return at the rate.
        """
        self.refused_at = now
        rate = account.rate * self.share
        ready_at = now + max(0.0, 1.0 - self.measure_room(account)) / rate
        spacing = self.contenders / rate
        told_at = max(ready_at, self.promised_until)
        told_at += spacing * random.uniform(0.5, 1.5)
        if told_at > now + max_seconds:
            return max_seconds * random.uniform(0.75, 1.25)
        self.promised_until = told_at
        return told_at - now

    @property
    def _has_to_share(self):
        return self.is_paced and self.contenders > 1.0

    def _compute_unpaced_room(self, account, now):
        capacity = compute_capacity(account) / self._compute_cost(account)
        if now < self.refused_at + REFUSED_SECONDS:
            return capacity * MAX_REFUSED_ROOM_SHARE
        room = SPARE_REQUESTS + account.rate * UNPACED_ROOM_SECONDS
        return min(room, capacity * MAX_UNPACED_ROOM_SHARE)

    def _compute_cost(self, account):
        """Return what an admission here adds to the level."""
        most = max(1.0, compute_capacity(account) / MIN_CAPACITY_REQUESTS)
        return min(1.0 / self.share, 1.0 / MIN_CAPACITY_SHARE, most)

    def _compute_credit_rate(self, account):
        """Return how many requests accrue to this host in a second."""
        rate = account.rate * self.share
        capacity = compute_capacity(account) / self._compute_cost(account)
        target = TARGET_ROOM_REQUESTS + rate * TARGET_ROOM_SECONDS
        target = min(target, capacity * MAX_TARGET_ROOM_SHARE)
        excess = self.measure_room(account) - target
        range_ = max(MIN_CORRECTION_REQUESTS, rate * CORRECTION_SECONDS)
        return rate * max(0.0, 1.0 + excess / range_) / self.contenders


def compute_capacity(account):
    """Return how many requests of an account its bucket holds."""
    return max(1.0, account.burst) + SPARE_REQUESTS


def _get_min_credit(is_retry):
    return MIN_RETRY_CREDIT_REQUESTS if is_retry else MIN_CREDIT_REQUESTS
