"""Fair queue of the online requests that wait for a slot.

There may be more online requests than all endpoints together can run. A request
that can't start within its objective is refused at once with a time to retry after,
so that it doesn't take the slot of a request that still can. A client account that
sends most of the requests waits behind its own requests and doesn't delay those of
other accounts.
"""

import curio
from attrs import define, field

from ..queueing import FairQueue, Ticket, estimate_wait
from ..refusals import Refusal, RefusalCode

__all__ = ["SlotQueue"]

# Share of a request's objective that it may spend in the queue.
MAX_WAIT_SHARE = 0.5
# Initial estimate of the time for which a request holds a slot.
INITIAL_HOLD_SECONDS = 0.5
HOLD_EWMA_WEIGHT = 0.1
# All client accounts have equal shares.
ACCOUNT_WEIGHT = 1.0
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 1.5


@define(eq=False)
class _Waiter:
    """A waiting request, and the endpoint that is assigned to it."""

    service = field()
    excluded = field()
    may_repeat = field()
    priority = field()
    endpoint = field(default=None)
    assigned = field(factory=curio.Event)

    @property
    def choose_arguments(self):
        """Arguments of `EndpointChooser.choose`."""
        return self.service, self.excluded, self.may_repeat


class SlotQueue:
    """Assigns slots to this host's online requests.

    Parameters
    ----------
    chooser : EndpointChooser
    report_table : ReportTable
    notify : async callable
        Called after this host's own counts have changed.
    clock : Clock
    random : random.Random
    """

    def __init__(self, chooser, report_table, notify, clock, random):
        self._chooser = chooser
        self._report_table = report_table
        self._notify = notify
        self._clock = clock
        self._random = random
        self._queues = {}
        self._hold_seconds = INITIAL_HOLD_SECONDS
        self._waiter_added = curio.Event()

    def __len__(self):
        return sum(len(queue) for queue in self._queues.values())

    async def acquire(self, call, service, excluded=()):
        """Wait for a slot and return the endpoint at which the call may run.

        Parameters
        ----------
        call : OnlineCall
        service : str
        excluded : collection of str
            Names of endpoints that were tried already.

        Raises
        ------
        Refusal
            If no endpoint can run it, or it can't start in time.
        """
        endpoint = None
        if not self._has_waiting_ahead(call.priority):
            endpoint = self._try_acquire(service, excluded, _may_repeat(call))
        if endpoint is None:
            endpoint = await self._wait(call, service, excluded)
        await self._notify()
        return endpoint

    async def release(self, endpoint, seconds):
        """Release the slot of a call that held it for `seconds`."""
        self._hold_seconds += HOLD_EWMA_WEIGHT * (seconds - self._hold_seconds)
        self._report_table.end(endpoint.name)
        await self._notify()
        await self.assign_free_slots()

    async def wait_until_nonempty(self):
        """Wait until at least one request is queued."""
        while not len(self):
            self._waiter_added.clear()
            await self._waiter_added.wait()

    async def assign_free_slots(self):
        """Assign free slots to waiting requests, by priority and fair order."""
        for priority in sorted(self._queues):
            queue = self._queues[priority]
            while len(queue):
                waiter = queue.peek().item
                endpoint = self._try_acquire(*waiter.choose_arguments)
                if endpoint is None:
                    return
                queue.take_next()
                waiter.endpoint = endpoint
                await waiter.assigned.set()

    def _has_waiting_ahead(self, priority):
        return any(len(q) for other, q in self._queues.items() if other <= priority)

    def _try_acquire(self, service, excluded, may_repeat):
        endpoint = self._chooser.choose(service, excluded, may_repeat)
        if endpoint is not None:
            self._report_table.begin(endpoint.name)
        return endpoint

    async def _wait(self, call, service, excluded):
        max_wait = self._compute_max_wait(call)
        usable = self._chooser.list_usable(service, excluded)
        if not usable:
            raise self._make_refusal(
                RefusalCode.NO_ENDPOINT, "No endpoint can run this."
            )
        if self._estimate_wait(call, service) > max_wait:
            raise self._make_refusal(
                RefusalCode.OVERLOADED, "No slot is free soon enough."
            )
        waiter = _Waiter(service, excluded, _may_repeat(call), call.priority)
        ticket = Ticket(call.account, ACCOUNT_WEIGHT, self._hold_seconds, waiter)
        queue = self._queues.setdefault(call.priority, FairQueue())
        queue.add(ticket)
        self._report_table.waiting = len(self)
        await self._waiter_added.set()
        await self._notify()
        try:
            async with curio.ignore_after(max_wait):
                await waiter.assigned.wait()
        except BaseException:
            # The caller disconnected, possibly just after a slot was assigned.
            if waiter.endpoint is not None:
                await self.release(waiter.endpoint, 0.0)
            raise
        finally:
            queue.remove(ticket)
            self._report_table.waiting = len(self)
        if waiter.endpoint is None:
            raise self._make_refusal(
                RefusalCode.OVERLOADED, "No slot became free in time."
            )
        return waiter.endpoint

    def _compute_max_wait(self, call):
        left = call.deadline - self._clock.read_elapsed()
        age = self._clock.read_elapsed() - call.received_at
        max_wait = call.route.objective * MAX_WAIT_SHARE - age
        return max(0.0, min(max_wait, left))

    def _estimate_wait(self, call, service):
        """Return the estimated seconds until this request would start.

        Notes
        -----
        Only requests that are served before it count: all of higher priority, and
        of its own priority as many of each client account as its own account has
        waiting.
        """
        hosts = self._report_table.count_waiting_hosts()
        slots = max(1.0, self._chooser.count_slots(service) / hosts)
        queue = self._queues.get(call.priority) or FairQueue()
        ahead = sum(
            len(q) for other, q in self._queues.items() if other < call.priority
        )
        own = estimate_wait(
            queue.count(call.account),
            ACCOUNT_WEIGHT,
            queue.sum_weights(call.account, ACCOUNT_WEIGHT),
            slots,
            self._hold_seconds,
        )
        return own + ahead * self._hold_seconds / slots

    def _make_refusal(self, code, message):
        spread = MAX_RETRY_SECONDS - MIN_RETRY_SECONDS
        retry_after = MIN_RETRY_SECONDS + spread * self._random.random()
        return Refusal(code, message, retry_after=retry_after, step="queue")


def _may_repeat(call):
    return call.repeatable and call.route.attempt_limit > 1
