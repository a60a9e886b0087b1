"""Online requests that wait for a slot: fair, short, and refused in time.

The load this answers: more online requests than all endpoints together can
run. What can't start within its objective is refused at once and told when to
come back, so that it doesn't take the slot of one that still can. A client account
that sends most of them waits behind its own, not before those of others.
"""

import curio
from attrs import define, field

from ..queueing import FairQueue, Ticket, estimate_wait
from ..refusals import Refusal, RefusalCode

__all__ = ["SlotQueue"]

# Part of a request's objective that it may spend waiting here.
WAITING_SHARE = 0.5
# Assumed time for which a request holds a slot, until some have ended.
FIRST_SECONDS = 0.5
SECONDS_WEIGHT = 0.1
# All client accounts have the same share of what there is.
ACCOUNT_WEIGHT = 1.0
LEAST_RETRY_SECONDS = 0.3
LONGEST_RETRY_SECONDS = 1.5


@define(eq=False)
class _Waiter:
    """A request that waits, and what it is given in the end."""

    service = field()
    excluded = field()
    may_repeat = field()
    priority = field()
    endpoint = field(default=None)
    decided = field(factory=curio.Event)

    @property
    def wishes(self):
        """What `EndpointChooser.choose` is asked."""
        return self.service, self.excluded, self.may_repeat


class SlotQueue:
    """Gives out slots to this host's online requests.

    Parameters
    ----------
    chooser : EndpointChooser
    board : ReportTable
    notify : async callable
        Called after this host's own counts have changed.
    clock : Clock
    random : random.Random
    """

    def __init__(self, chooser, board, notify, clock, random):
        self._chooser = chooser
        self._board = board
        self._notify = notify
        self._clock = clock
        self._random = random
        self._queues = {}
        self._seconds = FIRST_SECONDS
        self._joined = curio.Event()

    def __len__(self):
        return sum(len(queue) for queue in self._queues.values())

    async def acquire(self, call, service, excluded=()):
        """Return the endpoint at which the call may run now.

        Parameters
        ----------
        call : OnlineCall
        service : str
        excluded : collection of str
            Endpoints that were tried already.

        Raises
        ------
        Refusal
            If it can't start in time.
        """
        endpoint = None
        if not self._has_ahead(call.priority):
            endpoint = self._take(service, excluded, _may_repeat(call))
        if endpoint is None:
            endpoint = await self._wait(call, service, excluded)
        await self._notify()
        return endpoint

    async def release(self, endpoint, seconds):
        """Note that a call has ended that held a slot for `seconds`."""
        self._seconds += SECONDS_WEIGHT * (seconds - self._seconds)
        self._board.end(endpoint.name)
        await self._notify()
        await self.pump()

    async def wait_for_waiters(self):
        """Return once some request waits."""
        while not len(self):
            self._joined.clear()
            await self._joined.wait()

    async def pump(self):
        """Give free slots to those that wait."""
        for priority in sorted(self._queues):
            queue = self._queues[priority]
            while len(queue):
                waiter = queue.peek().item
                endpoint = self._take(*waiter.wishes)
                if endpoint is None:
                    return
                queue.take_next()
                waiter.endpoint = endpoint
                await waiter.decided.set()

    def _has_ahead(self, priority):
        return any(len(q) for rank, q in self._queues.items() if rank <= priority)

    def _take(self, service, excluded, may_repeat):
        endpoint = self._chooser.choose(service, excluded, may_repeat)
        if endpoint is not None:
            self._board.begin(endpoint.name)
        return endpoint

    async def _wait(self, call, service, excluded):
        bound = self._bound_wait(call)
        usable = self._chooser.list_usable(service, excluded)
        if not usable:
            raise self._refuse(RefusalCode.NO_ENDPOINT, "No endpoint can run this.")
        if self._estimate_wait(call, service) > bound:
            raise self._refuse(RefusalCode.OVERLOADED, "No slot is free soon enough.")
        waiter = _Waiter(service, excluded, _may_repeat(call), call.priority)
        ticket = Ticket(call.account, ACCOUNT_WEIGHT, self._seconds, waiter)
        queue = self._queues.setdefault(call.priority, FairQueue())
        queue.add(ticket)
        self._board.waiting = len(self)
        await self._joined.set()
        await self._notify()
        try:
            async with curio.ignore_after(bound):
                await waiter.decided.wait()
        except BaseException:
            # The caller has hung up, perhaps just as it was given a slot.
            if waiter.endpoint is not None:
                await self.release(waiter.endpoint, 0.0)
            raise
        finally:
            queue.remove(ticket)
            self._board.waiting = len(self)
        if waiter.endpoint is None:
            raise self._refuse(RefusalCode.OVERLOADED, "No slot became free in time.")
        return waiter.endpoint

    def _bound_wait(self, call):
        left = call.deadline - self._clock.read_elapsed()
        age = self._clock.read_elapsed() - call.received_at
        bound = call.route.objective * WAITING_SHARE - age
        return max(0.0, min(bound, left))

    def _estimate_wait(self, call, service):
        """Return the seconds until this request would start.

        Notes
        -----
        Only those count that are served before it: all of higher rank, and of its
        own rank as many of each client account as it has waiting itself.
        """
        hosts = self._board.count_waiting_hosts()
        slots = max(1.0, self._chooser.count_slots(service) / hosts)
        queue = self._queues.get(call.priority) or FairQueue()
        ahead = sum(len(q) for rank, q in self._queues.items() if rank < call.priority)
        own = estimate_wait(
            queue.count(call.account),
            ACCOUNT_WEIGHT,
            queue.sum_weights(call.account, ACCOUNT_WEIGHT),
            slots,
            self._seconds,
        )
        return own + ahead * self._seconds / slots

    def _refuse(self, code, message):
        spread = LONGEST_RETRY_SECONDS - LEAST_RETRY_SECONDS
        retry_after = LEAST_RETRY_SECONDS + spread * self._random.random()
        return Refusal(code, message, retry_after=retry_after, step="queue")


def _may_repeat(call):
    return call.repeatable and call.route.attempt_limit > 1
