"""Empty hosts that operators want to take away, and tell when that is done.

What lasts is in the platform's store, so a host is empty as soon as it has given
its claims back; one that is gone already is empty as it is.
"""

from attrs import define, field
from returns.result import Failure

from ..store import Transaction
from ..telemetry import get_logger
from ..ticks import sleep_to_tick

__all__ = ["RetirementController"]

POLL_SECONDS = 0.2
# How long a host has to be missing before others tell that it is empty.
MISSING_SECONDS = 2.0

log = get_logger("retirement")


@define(eq=False)
class _Retirement:
    """One host's emptying, as far as this host has seen it."""

    request = field()
    missing_since = field(default=None)
    reported_running = field(default=False)


class RetirementController:
    """Carries out operators' orders to empty hosts.

    Parameters
    ----------
    store : Store
    source : FleetSource
    members : MemberDirectory
    clock : Clock
    drain : async callable
        Gives away what this host holds.
    """

    def __init__(self, store, source, members, clock, drain):
        self._store = store
        self._source = source
        self._members = members
        self._clock = clock
        self._drain = drain
        self._pending = {}
        self._done = set()

    def add_request(self, request):
        """Take a `RetirementRequest`."""
        if request.host not in self._pending and request.host not in self._done:
            log.info("retirement asked for", extra={"member": request.host})
            self._pending[request.host] = _Retirement(request)

    async def run(self):
        """Carry out orders until cancelled."""
        while True:
            await sleep_to_tick(POLL_SECONDS)
            for retirement in list(self._pending.values()):
                await self._advance(retirement)

    async def _advance(self, retirement):
        host = retirement.request.host
        if host == self._members.own.name:
            if not retirement.reported_running:
                retirement.reported_running = await self._report(host, done=False)
            await self._drain()
        elif not self._should_report_missing(retirement):
            return
        if await self._report(host, done=True):
            del self._pending[host]
            self._done.add(host)
            log.info("retirement done", extra={"member": host})

    def _should_report_missing(self, retirement):
        """Return whether this host should tell of one that is gone."""
        if self._members.get(retirement.request.host) is not None:
            retirement.missing_since = None
            return False
        now = self._clock.read_elapsed()
        if retirement.missing_since is None:
            retirement.missing_since = now
        runners = self._members.list_runners()
        is_first = runners[:1] == [self._members.own.name]
        return is_first and now >= retirement.missing_since + MISSING_SECONDS

    async def _report(self, host, done):
        report = self._source.make_retirement_report(host, done)
        answer = await self._store.transact(Transaction((), (report,)))
        if isinstance(answer, Failure):
            log.warning(
                "retirement not reported",
                extra={"member": host, "reason": str(answer.failure())},
            )
        return not isinstance(answer, Failure)
