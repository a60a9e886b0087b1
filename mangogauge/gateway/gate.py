"""The gate before the endpoints: who may start now, who waits, who is refused.

Engines admit whatever comes, in order of arrival. So that accounts share them
fairly, a host starts no more requests than its part of their slots, and keeps
the rest in fair queues of its own. Online requests never wait for batch: batch
starts only while slots are free and nobody else waits.
"""

import curio
from attrs import define, field

from ..daemon.parts import HostPart
from ..queueing.admission import estimate_wait
from ..queueing.fair import FairQueue, Ticket
from ..refusals import Refusal, RefusalCode
from .calls import Priority

__all__ = ["CapacityGate"]

ACCOUNT_QUEUE_LIMIT = 64
GROUP_QUEUE_LIMIT = 1024
LONGEST_WAIT_SECONDS = 10.0
UNKNOWN_SECONDS = 0.05
PUMP_SECONDS = 0.1
TYPICAL_SHARE = 0.5
SAFE_SHARE = 0.95


@define(eq=False)
class _Group:
    """Requests that compete for the same endpoints."""

    queues = field(factory=lambda: {priority: FairQueue() for priority in Priority})
    running = field(factory=lambda: dict.fromkeys(Priority, 0))


@define(eq=False)
class _Entry:
    """A call at the gate."""

    call = field()
    group = field()
    ticket = field(default=None)
    started = field(factory=curio.Event)
    started_at = field(default=0.0)
    too_late = field(default=False)


class CapacityGate(HostPart):
    """Lets calls start as the endpoints have room.

    Parameters
    ----------
    router : BalancedRouter
    view : MembershipView
    times : AnswerTimes
    clock : Clock
    """

    def __init__(self, router, view, times, clock):
        self._router = router
        self._view = view
        self._times = times
        self._clock = clock
        self._groups = {}
        self._weights = {}

    def take_fleet(self, fleet):
        """Put newer settings in force."""
        self._weights = {name: a.weight for name, a in fleet.accounts.items()}

    async def run(self):
        """Start waiting calls as room appears that no local call made."""
        while True:
            await curio.sleep(PUMP_SECONDS)
            for key, group in list(self._groups.items()):
                await self._pump(group)
                if not any(group.running.values()) and not _count_waiting(group):
                    del self._groups[key]

    async def enter(self, call, urgent=False):
        """Wait until `call` may start; return what `leave` needs.

        Parameters
        ----------
        call : Call
        urgent : bool, optional
            Whether it starts at once, as a retry whose first attempt waited.

        Raises
        ------
        Refusal
            If it can't start in time, or its account has too much waiting.
        """
        key = (call.route.kind, call.model or call.route.name)
        group = self._groups.setdefault(key, _Group())
        entry = _Entry(call, group)
        entry.ticket = self._make_ticket(entry)
        queue = group.queues[call.priority]
        if urgent or (not len(queue) and self._has_room(group, call)):
            queue.note_started(entry.ticket)
            self._start(entry)
            return entry
        self._check_admission(call, queue, entry.ticket)
        queue.add(entry.ticket)
        await self._wait(entry, queue)
        return entry

    async def leave(self, entry):
        """Note that the call no longer runs at an endpoint of this data centre."""
        call, group = entry.call, entry.group
        group.running[call.priority] -= 1
        seconds = self._clock.read_elapsed() - entry.started_at
        self._times.note(_find_class(call), seconds)
        group.queues[call.priority].correct(entry.ticket, seconds)
        await self._pump(group)

    def _make_ticket(self, entry):
        account = entry.call.account
        weight = self._weights.get(account, 1.0)
        cost = self._estimate_seconds(entry.call, TYPICAL_SHARE)
        return Ticket(account, weight, cost, entry)

    def _estimate_seconds(self, call, share):
        return self._times.estimate(_find_class(call), share) or UNKNOWN_SECONDS

    def _is_too_late(self, call, wait=0.0):
        """Return whether `call` would likely miss its deadline after `wait`."""
        left = call.deadline - self._clock.read_elapsed()
        return wait + self._estimate_seconds(call, SAFE_SHARE) > left

    def _check_admission(self, call, queue, ticket):
        slots = max(1.0, self._measure_room(call))
        weights = queue.sum_weights(call.account, ticket.weight)
        waiting = queue.count(call.account)
        wait = estimate_wait(waiting, ticket.weight, weights, slots, ticket.cost)
        if call.priority is Priority.BATCH:
            fits = waiting < ACCOUNT_QUEUE_LIMIT
        else:
            fits = wait <= LONGEST_WAIT_SECONDS and waiting < ACCOUNT_QUEUE_LIMIT
        fits = fits and len(queue) < GROUP_QUEUE_LIMIT
        if fits and not self._is_too_late(call, wait):
            return
        raise _refuse(wait)

    async def _wait(self, entry, queue):
        left = entry.call.deadline - self._clock.read_elapsed()
        try:
            async with curio.timeout_after(max(0.0, left)):
                await entry.started.wait()
        except curio.TaskTimeout:
            if queue.remove(entry.ticket):
                raise _refuse(entry.ticket.cost) from None
        except BaseException:
            # The caller has hung up, perhaps just as the call was started.
            if not queue.remove(entry.ticket) and not entry.too_late:
                await self.leave(entry)
            raise
        if entry.too_late:
            raise _refuse(entry.ticket.cost)

    async def _pump(self, group):
        for priority in Priority:
            queue = group.queues[priority]
            while len(queue):
                head = queue.peek().item
                if not self._has_room(group, head.call):
                    break
                entry = queue.take_next().item
                if self._is_too_late(entry.call):
                    # Running it would take a slot from one that can be met.
                    entry.too_late = True
                    queue.correct(entry.ticket, 0.0)
                else:
                    self._start(entry)
                await entry.started.set()

    def _start(self, entry):
        entry.started_at = self._clock.read_elapsed()
        entry.group.running[entry.call.priority] += 1

    def _has_room(self, group, call):
        room = self._measure_room(call)
        online = group.running[Priority.ONLINE]
        if call.priority is Priority.ONLINE:
            return online < room
        if len(group.queues[Priority.ONLINE]):
            return False
        return online + group.running[Priority.BATCH] < room

    def _measure_room(self, call):
        """Return how many calls this host may run at once.

        Notes
        -----
        At least its even part, so that nobody starves while counts are old;
        more while the other hosts use less than theirs.
        """
        slots, peers_running = self._router.measure_group(call)
        own = self._view.own.data_centre
        hosts = max(1, len(self._view.list_members(own)))
        return max(1.0, slots / hosts, slots - peers_running)


def _find_class(call):
    return ("whole", *call.timing_class)


def _count_waiting(group):
    return sum(len(queue) for queue in group.queues.values())


def _refuse(wait):
    return Refusal(
        RefusalCode.OVERLOADED,
        "This request can't be met in time.",
        retry_after=min(wait, LONGEST_WAIT_SECONDS),
        step="queue",
    )
