"""Admission of requests within the rates of their client accounts.

The load this answers: requests of an account within its rate come unevenly to many
hosts, each of which has a part of the rate. A short wait serves what a host alone would
have to refuse.
"""

import curio

from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger

__all__ = ["RequestAdmission"]

# Part of a request's objective for which it may wait for budget; the queue for slots
# may take half of the objective, this wait included.
MAX_WAIT_SHARE = 0.25
# A request that leaves less than this part of the longest time that its account's
# requests have lately left was refused before.
RETRY_TIMEOUT_SHARE = 0.95
# How long the longest time counts.
LONGEST_TIMEOUT_LIFETIME_SECONDS = 60.0

log = get_logger("front")


class RequestAdmission:
    """Lets requests wait for budget as long as they can still be served in time.

    Parameters
    ----------
    quota : SharedQuota
    line : QuotaLine
    notify : async callable
        Called after an admission, so that it is reported to the other hosts.
    is_waiting_enabled : callable
        Returns whether requests may wait at all.
    clock : Clock
    metrics : ServingMetrics
    """

    def __init__(self, quota, line, notify, is_waiting_enabled, clock, metrics):
        self._quota = quota
        self._line = line
        self._notify = notify
        self._is_waiting_enabled = is_waiting_enabled
        self._clock = clock
        self._metrics = metrics
        self._timeouts = LongestTimeouts(clock)

    async def admit(self, account, route, started_at, timeout):
        """Return when a request is admitted.

        Parameters
        ----------
        account : Account
        route : PrefixRoute
        started_at : float
            Elapsed time at which the request came.
        timeout : float
            Seconds from then that its caller waits.

        Raises
        ------
        Refusal
            If there is no budget soon enough.
        """
        if not account.rate:
            return
        is_retry = self._timeouts.is_shorter(account.name, timeout)
        max_wait = self._compute_max_wait(route, started_at, timeout)
        ticket = self._line.join(account, max_wait, is_retry)
        has_waited = ticket.admission is None
        if has_waited:
            await self._wait(ticket)
        if not ticket.admission.admitted:
            raise self._make_refusal(ticket, has_waited)
        await self._notify()

    async def _wait(self, ticket):
        try:
            while ticket.admission is None:
                await curio.sleep(self._line.measure_pause(ticket))
                # Another request's look may have admitted this one meanwhile.
                if ticket.admission is None:
                    self._line.look(ticket)
        except curio.CancelledError:
            self._metrics.budget_waits.labels("left").inc()
            raise
        finally:
            self._line.leave(ticket)
        outcome = "admitted" if ticket.admission.admitted else "refused"
        self._metrics.budget_waits.labels(outcome).inc()

    def _compute_max_wait(self, route, started_at, timeout):
        if not self._is_waiting_enabled():
            return 0.0
        age = self._clock.read_elapsed() - started_at
        return max(0.0, min(route.objective * MAX_WAIT_SHARE, timeout) - age)

    def _make_refusal(self, ticket, has_waited):
        account, retry_after = ticket.account, ticket.admission.retry_after
        self._metrics.budget_refusals.labels("wait" if has_waited else "arrival").inc()
        log.info(
            "budget lacking",
            extra={
                "client_account": account.name,
                "rate": account.rate,
                "burst": account.burst,
                "is_retry": ticket.is_retry,
                "retry_after": retry_after,
                "waiting": len(self._line),
                **self._quota.describe(account.name),
            },
        )
        return Refusal(
            RefusalCode.RATE_EXCEEDED,
            "The client account's rate is used up.",
            retry_after=retry_after,
            step="admit",
        )


class LongestTimeouts:
    """Recognizes retries by the time that their callers still wait.

    Parameters
    ----------
    clock : Clock

    Notes
    -----
    A caller that was refused retries at another host, which has no record of it, but
    its request leaves less time. A new request that is mistaken for a retry goes before
    others of its own account only.
    """

    def __init__(self, clock):
        self._clock = clock
        # By account, the longest timeout and the elapsed time at which it came.
        self._longest = {}

    def is_shorter(self, name, timeout):
        """Return whether a timeout is shorter than that of new requests; note it."""
        now = self._clock.read_elapsed()
        longest, noted_at = self._longest.get(name, (0.0, now))
        is_expired = now > noted_at + LONGEST_TIMEOUT_LIFETIME_SECONDS
        if timeout >= longest or is_expired:
            self._longest[name] = timeout, now
            return False
        return timeout < longest * RETRY_TIMEOUT_SHARE
