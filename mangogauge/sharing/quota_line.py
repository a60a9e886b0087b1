"""Requests that wait for budget of their client accounts, in order of arrival.

A host has a part of an account's rate only, and what it may admit comes a moment later
than a request that is within the rate. A request waits for budget that is due soon, and
is refused at once if it isn't.
"""

from collections import deque

from attrs import define, field

from .quota import Admission

__all__ = ["QuotaLine", "QuotaTicket"]

# Most requests that wait at a host, of one account and of all.
MAX_WAITING_OF_ACCOUNT = 64
MAX_WAITING = 512
# Budget may come later than estimated, as others' admissions become known, or earlier.
MIN_PAUSE_SECONDS = 0.004
MAX_PAUSE_SECONDS = 0.02


@define(eq=False)
class QuotaTicket:
    """A request that asks for budget.

    Parameters
    ----------
    account : Account
    is_retry : bool
        Whether a host has refused it before.
    joined_at, wait_until : float
        Elapsed times.
    admission : Admission or None
        None while it waits.
    """

    account = field()
    is_retry = field()
    joined_at = field()
    wait_until = field()
    admission = field(default=None)


class QuotaLine:
    """Requests that wait at this host.

    Parameters
    ----------
    quota : SharedQuota
    measure_reporting : callable
        Returns the fraction of the hosts that are reporting, and their number.
    clock : Clock
    """

    def __init__(self, quota, measure_reporting, clock):
        self._quota = quota
        self._measure_reporting = measure_reporting
        self._clock = clock
        self._lines = {}
        self._waiting = 0

    def __len__(self):
        return self._waiting

    def join(self, account, max_wait, is_retry=False):
        """Admit or refuse a request, or let it wait; return its `QuotaTicket`.

        Parameters
        ----------
        account : Account
        max_wait : float
            Seconds that it may wait.
        is_retry : bool, optional
            Whether a host has refused it before: then it goes before others.
        """
        now = self._clock.read_elapsed()
        ticket = QuotaTicket(account, is_retry, now, now + max_wait)
        line = self._lines.get(account.name)
        if (is_retry or not line) and self._try_admit(ticket):
            return ticket
        ahead = len(line) if line else 0
        has_place = ahead < MAX_WAITING_OF_ACCOUNT and self._waiting < MAX_WAITING
        is_due = self._estimate_wait(ticket, ahead) <= max_wait
        if max_wait <= 0 or not has_place or not is_due:
            self._refuse(ticket)
            return ticket
        self._lines.setdefault(account.name, deque()).append(ticket)
        self._waiting += 1
        return ticket

    def measure_pause(self, ticket):
        """Return the seconds after which a waiting request should look again."""
        now = self._clock.read_elapsed()
        line = self._lines[ticket.account.name]
        wait = self._estimate_wait(ticket, line.index(ticket))
        pause = min(wait, ticket.wait_until - now, MAX_PAUSE_SECONDS)
        return max(MIN_PAUSE_SECONDS, pause)

    def look(self, ticket):
        """Admit those first in line; refuse a request that has waited too long.

        Notes
        -----
        A host that stands still has not looked meanwhile. So it looks once more before
        it refuses.
        """
        line = self._lines.get(ticket.account.name, ())
        while line and self._try_admit(line[0]):
            self._remove(line[0])
        if ticket.admission is None and self._clock.read_elapsed() >= ticket.wait_until:
            self._remove(ticket)
            self._refuse(ticket)

    def leave(self, ticket):
        """Remove a request that is no longer of use; do nothing if it doesn't wait."""
        if ticket.admission is None:
            self._remove(ticket)

    def _remove(self, ticket):
        line = self._lines[ticket.account.name]
        line.remove(ticket)
        self._waiting -= 1
        if not line:
            del self._lines[ticket.account.name]

    def _estimate_wait(self, ticket, ahead):
        return self._quota.estimate_wait(ticket.account, ahead, ticket.is_retry)

    def _try_admit(self, ticket):
        reporting = self._measure_reporting()
        if self._quota.try_admit(ticket.account, *reporting, ticket.is_retry):
            ticket.admission = Admission(True)
        return ticket.admission is not None

    def _refuse(self, ticket):
        retry_after = self._quota.promise(ticket.account)
        ticket.admission = Admission(False, retry_after)
