"""Fair queue of the online requests that wait for a slot.

There may be more online requests than all endpoints together can run. A request
that can't start within its objective is refused at once with a time to retry after,
so that it doesn't take the slot of a request that still can. A client account that
sends most of the requests waits behind its own requests and doesn't delay those of
other accounts. Requests that resume a stream run at endpoints of one software version
only, and wait in a queue of their own, so that they don't delay those that can run at
any. Requests that are restricted to regions wait in fair order with all others, and are
passed over while there is no room in their regions.
"""

from operator import itemgetter

import curio
from attrs import define, field, frozen

from ..queueing import FairQueue, Ticket, estimate_wait
from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger
from .eligibility import ANYWHERE, describe_reasons

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
# The same for requests beyond the endpoints' limits, whose backlog may be longer.
MAX_LIMITED_RETRY_SECONDS = 4.0
COLD_REASON = " Some endpoints are cold."

log = get_logger("queue")


@frozen(order=True)
class _QueueKey:
    """What the requests of one queue have in common, in the order of service.

    Parameters
    ----------
    priority : int
    may_begin : bool
        Whether they may run at any version; what resumes a stream goes first.
    software : str
        Software version at which they may run; empty if `may_begin`.
    """

    priority = field()
    may_begin = field()
    software = field()

    @classmethod
    def of(cls, call):
        """Return the key of an `OnlineCall`."""
        software = _get_software(call)
        return cls(call.priority, software is None, software or "")


@define(eq=False)
class _Waiter:
    """A waiting request, and the endpoint that is assigned to it."""

    service = field()
    excluded = field()
    may_repeat = field()
    software = field()
    scope = field(default=ANYWHERE)
    endpoint = field(default=None)
    assigned = field(factory=curio.Event)

    @classmethod
    def of(cls, call, service, excluded):
        """Return the waiter of an `OnlineCall`."""
        software = _get_software(call)
        return cls(service, excluded, _may_repeat(call), software, call.scope)

    @property
    def choose_arguments(self):
        """Arguments of `EndpointChooser.choose`."""
        return (
            self.service,
            self.excluded,
            self.may_repeat,
            self.software,
            self.scope,
        )


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
        endpoint = await self.try_acquire(call, service, excluded)
        if endpoint is None:
            endpoint = await self._wait(call, _Waiter.of(call, service, excluded))
            await self._notify()
        return endpoint

    async def try_acquire(self, call, service, excluded=()):
        """Return the endpoint at which the call may run at once, or None.

        Parameters
        ----------
        call : OnlineCall
        service : str
        excluded : collection of str
            Names of endpoints that were tried already.
        """
        if self._has_waiting_ahead(call):
            return None
        endpoint = self._try_acquire(_Waiter.of(call, service, excluded))
        if endpoint is not None:
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
        for key, queue in sorted(self._queues.items(), key=itemgetter(0)):
            has_room = await self._assign_from(queue)
            if not has_room and key.may_begin:
                # No endpoint has room, of whichever version.
                return

    async def _assign_from(self, queue):
        """Assign free slots to a queue's requests; return whether some may be left.

        Requests for whose regions there is no room are passed over.
        """
        full = set()

        def accepts(ticket):
            return ticket.item.scope not in full

        while (ticket := queue.peek(accepts)) is not None:
            waiter = ticket.item
            endpoint = self._try_acquire(waiter)
            if endpoint is None and not waiter.scope.is_restricted:
                return False
            if endpoint is None:
                full.add(waiter.scope)
                continue
            queue.take_next(accepts)
            waiter.endpoint = endpoint
            await waiter.assigned.set()
        return True

    def _has_waiting_ahead(self, call):
        key = _QueueKey.of(call)
        return any(
            head.item.scope.includes(call.scope)
            for other, queue in self._queues.items()
            if other.software == key.software and other <= key
            for head in queue.list_heads()
        )

    def _try_acquire(self, waiter):
        endpoint = self._chooser.choose(*waiter.choose_arguments)
        if endpoint is not None:
            self._report_table.begin(endpoint.name)
            self._chooser.take(endpoint)
        return endpoint

    async def _wait(self, call, waiter):
        max_wait = self._compute_max_wait(call)
        self._check_usable(waiter)
        self._check_wait(call, waiter, max_wait)
        if self._chooser.has_cold(waiter.service, waiter.software):
            log.info(
                "request waits",
                extra={
                    "request_id": call.request_id,
                    "reason": "some endpoints are cold",
                },
            )
        flow = _get_flow(call)
        ticket = Ticket(flow, ACCOUNT_WEIGHT, self._hold_seconds, waiter)
        key = _QueueKey.of(call)
        queue = self._queues.setdefault(key, FairQueue())
        queue.add(ticket)
        self._report_table.waiting = len(self)
        await self._waiter_added.set()
        await self._notify()
        try:
            async with curio.ignore_after(max_wait):
                await waiter.assigned.wait()
            if waiter.endpoint is None and self._may_still_start(call):
                # This host may have stood still while slots became free.
                await self.assign_free_slots()
        except BaseException:
            # The caller disconnected, possibly just after a slot was assigned.
            if waiter.endpoint is not None:
                await self.release(waiter.endpoint, 0.0)
            raise
        finally:
            queue.remove(ticket)
            # Versions come and go; another queue may have taken the place of this one.
            if not len(queue) and self._queues.get(key) is queue:
                del self._queues[key]
            self._report_table.waiting = len(self)
        if waiter.endpoint is None:
            self._check_usable(waiter)
            cold = self._describe_cold(waiter)
            raise self._make_refusal(
                RefusalCode.OVERLOADED, f"No slot became free in time.{cold}"
            )
        return waiter.endpoint

    def _check_usable(self, waiter):
        """Refuse a call that no endpoint can run, and say why."""
        usable = self._chooser.list_usable(
            waiter.service,
            waiter.excluded,
            software=waiter.software,
            scope=waiter.scope,
        )
        if usable:
            return
        reasons = self._chooser.count_ineligible(waiter.service, waiter.scope)
        message = "No endpoint can run this"
        if reasons:
            message += f": {describe_reasons(reasons)}"
        raise self._make_refusal(RefusalCode.NO_ENDPOINT, f"{message}.")

    def _check_wait(self, call, waiter, max_wait):
        """Refuse a call at once that would wait for too long."""
        open_share = self._chooser.measure_open_share(
            waiter.service, self._hold_seconds, waiter.software, waiter.scope
        )
        wait = self._estimate_wait(call, waiter, open_share)
        if wait <= max_wait:
            return
        if open_share == 1.0:
            raise self._make_refusal(
                RefusalCode.OVERLOADED, "No slot is free soon enough."
            )
        raise self._make_refusal(
            RefusalCode.OVERLOADED,
            "The endpoints' limits allow no request soon enough."
            + self._describe_cold(waiter),
            max(MAX_RETRY_SECONDS, min(wait, MAX_LIMITED_RETRY_SECONDS)),
        )

    def _describe_cold(self, waiter):
        """Return the sentence of a refusal that names cold endpoints; may be empty."""
        if self._chooser.has_cold(waiter.service, waiter.software):
            return COLD_REASON
        return ""

    def _may_still_start(self, call):
        """Return whether a call would start within its objective and its deadline."""
        now = self._clock.read_elapsed()
        return now < min(call.received_at + call.route.objective, call.deadline)

    def _compute_max_wait(self, call):
        left = call.deadline - self._clock.read_elapsed()
        age = self._clock.read_elapsed() - call.received_at
        max_wait = call.route.objective * MAX_WAIT_SHARE - age
        return max(0.0, min(max_wait, left))

    def _estimate_wait(self, call, waiter, open_share):
        """Return the estimated seconds until this request would start.

        Notes
        -----
        Only requests that are served before it count: all of higher priority, and
        of its own priority as many of each client account as its own account has
        waiting.
        """
        hosts = self._report_table.count_waiting_hosts()
        all_slots = self._chooser.count_slots(
            waiter.service, waiter.software, waiter.scope
        )
        slots = max(1.0, all_slots / hosts) * open_share
        if not slots:
            return float("inf")
        queue = self._queues.get(_QueueKey.of(call)) or FairQueue()
        flow = _get_flow(call)
        ahead = sum(
            len(q)
            for other, q in self._queues.items()
            if other.priority < call.priority
        )
        own = estimate_wait(
            queue.count(flow),
            ACCOUNT_WEIGHT,
            queue.sum_weights(flow, ACCOUNT_WEIGHT),
            slots,
            self._hold_seconds,
        )
        return own + ahead * self._hold_seconds / slots

    def _make_refusal(self, code, message, max_retry=MAX_RETRY_SECONDS):
        spread = max_retry - MIN_RETRY_SECONDS
        retry_after = MIN_RETRY_SECONDS + spread * self._random.random()
        return Refusal(code, message, retry_after=retry_after, step="queue")


def _get_software(call):
    """Return the only software version at which a call may run, or None."""
    return None if call.origin is None else call.origin.software


def _get_flow(call):
    """Return what has a share of the queue: a client account, in one scope.

    Notes
    -----
    An account's requests of different scopes don't wait for each other's regions.
    """
    return (call.account, call.scope) if call.scope.is_restricted else call.account


def _may_repeat(call):
    return call.repeatable and call.route.attempt_limit > 1
