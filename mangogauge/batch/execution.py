"""Start items where there is room, and settle what comes of them."""

import heapq
import itertools

import curio
import orjson

from ..gateway.sinks import MemorySink
from ..http import BufferBudget, ClientPool, HTTPError
from ..refusals import Refusal
from ..settings import RoomKind
from .fillers import FillerChooser
from .items import ItemError, ItemReader, Verdict, judge_answer, judge_refusal
from .load import LoadWatcher
from .packing import PACKED_LIMIT_BYTES, pack
from .room import FixedRoom, RoomLimits, SpareRoom
from .runs import ChunkRun, ReleaseRule, StartedItem

__all__ = ["Executor"]

IDLE_SECONDS = 0.02
ROOM_TICK_SECONDS = 0.05
# A host without a chunk looks this seldom: idle hosts must cost little.
RESTING_SECONDS = 0.25
RESTING_ROOM_TICK_SECONDS = 0.5
ROOM_PAUSE_SECONDS = 0.05
TICKS_PER_REPORT = 5
# What the answers of all running items may hold in memory.
BUFFERED_BYTES = 67_108_864
BACKOFF_LIMIT_SECONDS = 30.0
DEFAULT_WORK = 16
FAILURES = frozenset({Verdict.LATER, Verdict.AGAIN})
TOO_LARGE = ItemError("too_large", "The answer is too large to be kept.")
NO_ENDPOINT = ItemError("no_endpoint", "No endpoint served the item until it was due.")
CANCELLED = ItemError(
    "outcome_unknown", "The item was cancelled; it may have been run."
)


class Executor:
    """Runs the items of the chunks that a host owns.

    Parameters
    ----------
    parts : BatchParts
    share : FairShare
    may_start : callable
        Whether an item may be started now.
    is_sound : callable
        Whether a host, by name, seems to live and to reach the platform.
    """

    def __init__(self, parts, share, may_start, is_sound):
        self._parts = parts
        self._share = share
        self._may_start = may_start
        self._is_sound = is_sound
        self._settings = None
        self._reader = None
        self._runs = {}
        self._stopped = False
        self._woken = curio.Event()
        self._group = None
        self._rooms = {
            RoomKind.SPARE: SpareRoom(parts.clock, RoomLimits(0)),
            RoomKind.FIXED: FixedRoom(RoomLimits(0)),
        }
        self._room = self._rooms[RoomKind.SPARE]
        self._loads = LoadWatcher(ClientPool())
        self._buffers = BufferBudget(BUFFERED_BYTES)
        self._fillers = FillerChooser(parts.view)
        self._assigned = frozenset()
        self._has_gained = False
        self._endpoints = {}
        self._started = itertools.count()
        self.pending_bytes = 0

    @property
    def is_hungry(self):
        """Whether there are fewer items to start than room to run them."""
        ledgers = [run.chunk.ledger for run in self._runs.values()]
        waiting = sum(
            ledger.waiting_count for ledger in ledgers if not ledger.is_closing
        )
        return waiting < self._settings.concurrency

    def take_fleet(self, fleet):
        """Put newer settings in force."""
        self._settings = fleet.batch
        self._reader = ItemReader(fleet, self._parts.clock)
        self._endpoints = fleet.endpoints
        self._room = self._rooms[fleet.batch.room]
        self._room.limits = RoomLimits(
            fleet.batch.concurrency,
            fleet.batch.spare_share,
            fleet.batch.load_lag,
            fleet.batch.fixed_items,
        )

    def add(self, chunk, lines):
        """Run the items of a chunk."""
        now = self._parts.clock.read_elapsed()
        self._runs[chunk] = ChunkRun(chunk, lines, now, now)

    def remove(self, chunk):
        """Forget a chunk that is finished."""
        self._runs.pop(chunk, None)

    async def drop(self, chunk):
        """Start nothing more of a chunk, and cancel what runs of it."""
        run = self._runs.pop(chunk, None)
        chunk.ledger.wanted_intents.clear()
        if run is not None:
            await _cancel([started.task for started in run.tasks.values()])

    async def stop_repeatable(self, chunk):
        """Cancel a chunk's running items that may be run again."""
        run = self._runs.get(chunk)
        if run is not None:
            started = [s for s in run.tasks.values() if s.repeatable]
            await _cancel([s.task for s in started])

    def can_run(self, entry):
        """Return whether this host fills an endpoint that an open job needs.

        Hosts that don't leave the job to those that do. Items that can't run
        anywhere need no endpoint, and what is past due ends anyhow.
        """
        probes = [self._reader.make_probe(need) for need in entry.needs]
        if not probes or None in probes:
            return True
        if self._parts.clock.read_calendar() > entry.due_at:
            return True
        return any(map(self._room.fills_place, probes))

    def list_releasable(self, is_crowded):
        """Return chunks to give back; see `ReleaseRule`.

        Parameters
        ----------
        is_crowded : bool
            Whether this host can't claim another chunk.
        """
        now = self._parts.clock.read_elapsed()
        own = self._parts.view.own.data_centre
        rule = ReleaseRule(self._room, self._reader, now, own)
        return rule.choose(self._runs.values(), is_crowded)

    def is_running(self, chunk):
        """Return whether items of a chunk run."""
        run = self._runs.get(chunk)
        return run is not None and bool(run.tasks)

    def take_gain(self):
        """Return whether this host fills more endpoints since the last call."""
        has_gained, self._has_gained = self._has_gained, False
        return has_gained

    def has_taken_over(self, host):
        """Return whether this host fills an endpoint that another has lost."""
        return not self._assigned.isdisjoint(self._fillers.list_lost(host))

    def stop_starting(self):
        """Start nothing more at all."""
        self._stopped = True

    async def wait_idle(self):
        """Wait until nothing runs."""
        while any(run.tasks for run in self._runs.values()):
            await curio.sleep(IDLE_SECONDS)

    def note_commit(self):
        """Count anew what waits to be committed."""
        self.pending_bytes = sum(
            len(result.line)
            for run in self._runs.values()
            for result in run.chunk.ledger.results.values()
        )

    def settle_failure(self, chunk, index, error):
        """Give an item that is not to be run its result."""
        item = self._read(self._runs[chunk], index)
        chunk.ledger.settle(item.make_failure(index, error))
        self._count(chunk, "failed")

    async def run(self):
        """Start items until cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            while True:
                if not await self._start_next(group):
                    idle = IDLE_SECONDS if self._runs else RESTING_SECONDS
                    async with curio.ignore_after(idle):
                        await self._woken.wait()
                    self._woken.clear()

    async def watch_room(self):
        """Follow what online requests leave, and give way, until cancelled."""
        while True:
            members = self._parts.view.list_members()
            # A host that can't claim chunks fills nothing, unless none can.
            members = [m for m in members if self._is_sound(m.name)] or members
            self._fillers.refresh(members)
            self._assign()
            if self._runs:
                await self._loads.ask_all(self._room.list_assigned(), self._room)
            await self._adjust_room()

    def _assign(self):
        endpoints, fillers = self._endpoints, self._fillers
        own = self._parts.host
        assigned = {n for n, e in endpoints.items() if fillers.choose(e) == own}
        handed_over = {n for n, e in endpoints.items() if fillers.is_handed_over(e)}
        self._has_gained = self._has_gained or not assigned <= self._assigned
        self._assigned = frozenset(assigned)
        self._room.set_endpoints(endpoints, assigned, handed_over)

    async def _adjust_room(self):
        for _ in range(TICKS_PER_REPORT):
            for name in self._endpoints:
                self._room.note_running(name, self._parts.router.count_running(name))
            for name, count in self._room.decide().items():
                await self._give_way(name, count)
            if not self._runs:
                await curio.sleep(RESTING_ROOM_TICK_SECONDS)
                return
            await curio.sleep(ROOM_TICK_SECONDS)

    async def _give_way(self, endpoint, count):
        """Cancel the items that started last at an endpoint."""
        started = [
            s
            for run in self._runs.values()
            for s in run.tasks.values()
            if s.endpoint == endpoint and s.repeatable
        ]
        started.sort(key=lambda s: s.number)
        await _cancel([s.task for s in started[-count:]])

    async def _start_next(self, group):
        """Start one item; return whether one was started or settled."""
        if self._stopped or not self._runs or not self._may_start():
            return False
        for run in self._list_runs():
            self._wake_delayed(run)
            index = self._take_index(run)
            if index is not None and await self._start(group, run, index):
                return True
        return False

    def _list_runs(self):
        """Return runs that may start items, the most urgent first."""
        runs = [run for run in self._runs.values() if run.chunk.can_start]
        rank = self._share.get_rank({run.chunk.job.account for run in runs})
        runs.sort(key=lambda r: (rank(r.chunk.job.account), r.chunk.job.due_at))
        return runs

    def _wake_delayed(self, run):
        now = self._parts.clock.read_elapsed()
        while run.delayed and run.delayed[0][0] <= now:
            run.chunk.ledger.put_back(heapq.heappop(run.delayed)[1])

    def _take_index(self, run):
        ledger = run.chunk.ledger
        for index in run.intending:
            if ledger.has_intent(index):
                run.intending.remove(index)
                return index
        if len(run.intending) + len(run.tasks) >= self._settings.concurrency:
            return None
        return ledger.take_next()

    async def _start(self, group, run, index):
        ledger = run.chunk.ledger
        item = self._read(run, index)
        if item.error is not None:
            self.settle_failure(run.chunk, index, item.error)
            return True
        if not item.call.repeatable and not ledger.has_intent(index):
            ledger.wanted_intents.add(index)
            run.intending.append(index)
            return True
        endpoint = self._room.take(item.call)
        if endpoint is None:
            return self._pass_over(run, index, item)
        run.started_at = self._parts.clock.read_elapsed()
        item.call.endpoint = endpoint
        attempt_id = ledger.begin(index)
        work = _estimate_work(run.lines[index])
        self._share.charge(run.chunk.job.account, work)
        task = await group.spawn(
            self._run_item, run, index, item, attempt_id, work, daemon=True
        )
        run.tasks[index] = StartedItem(
            task, item.call.repeatable, endpoint, next(self._started)
        )
        return True

    def _pass_over(self, run, index, item):
        """Let others go first while an item has no room; end it if none comes."""
        late = self._parts.clock.read_calendar() > run.chunk.job.due_at
        if late and not self._room.has_place(item.call):
            run.chunk.ledger.settle(item.make_failure(index, NO_ENDPOINT))
            return True
        due = self._parts.clock.read_elapsed() + ROOM_PAUSE_SECONDS
        heapq.heappush(run.delayed, (due, index))
        return False

    async def _run_item(self, run, index, item, attempt_id, work):
        ledger, call, room = run.chunk.ledger, item.call, self._room
        sink = MemorySink(self._buffers)
        try:
            verdict, error = await self._dispatch(call, sink)
            result = item.make_result(index, sink) if verdict is Verdict.DONE else None
        except curio.CancelledError:
            if call.repeatable:
                ledger.put_back(index)
            else:
                self._keep(run, attempt_id, item.make_failure(index, CANCELLED))
            raise
        finally:
            sink.close()
            room.give(call.endpoint)
            run.tasks.pop(index, None)
        room.note_outcome(call.endpoint, verdict not in FAILURES)
        if verdict not in FAILURES:
            run.worked_at = self._parts.clock.read_elapsed()
        if verdict is Verdict.DONE:
            self._share.charge(run.chunk.job.account, result.tokens - work)
            self._keep(run, attempt_id, result, item)
        else:
            self._settle_failed(run, index, item, attempt_id, verdict, error)
        await self._woken.set()

    async def _dispatch(self, call, sink):
        """Run a call; return a `Verdict` and the `ItemError` if it failed."""
        try:
            await self._parts.dispatcher.dispatch(call, sink)
        except Refusal as refusal:
            error = ItemError(refusal.code.value.code, refusal.message)
            return judge_refusal(refusal, call.repeatable), error
        except HTTPError as broken:
            error = ItemError("outcome_unknown", broken.message)
            return Verdict.AGAIN if call.repeatable else Verdict.FAILED, error
        error = ItemError("endpoint_failed", f"The endpoint answered {sink.status}.")
        return judge_answer(sink.status, call.repeatable), error

    def _settle_failed(self, run, index, item, attempt_id, verdict, error):
        """Try again later, or give the item its error as its result."""
        run.failures[index] += verdict is Verdict.AGAIN
        late = self._parts.clock.read_calendar() > run.chunk.job.due_at
        final = (
            verdict is Verdict.FAILED
            or run.failures[index] >= self._settings.attempts
            or (late and verdict is Verdict.LATER)
        )
        if final:
            self._keep(run, attempt_id, item.make_failure(index, error))
            return
        run.chunk.ledger.stop(index)
        run.delays[index] += 1
        pause = self._settings.backoff_seconds * 2 ** min(run.delays[index] - 1, 16)
        pause = min(pause, BACKOFF_LIMIT_SECONDS) * (0.5 + self._parts.random.random())
        due = self._parts.clock.read_elapsed() + pause
        heapq.heappush(run.delayed, (due, index))

    def _keep(self, run, attempt_id, result, item=None):
        if len(result.line) > PACKED_LIMIT_BYTES and item is not None:
            if len(pack([result.line])) > PACKED_LIMIT_BYTES:
                result = item.make_failure(result.index, TOO_LARGE)
        if run.chunk.ledger.accept(attempt_id, result):
            self.pending_bytes += len(result.line)
            self._count(run.chunk, "completed" if result.good else "failed")

    def _read(self, run, index):
        chunk = run.chunk
        return self._reader.read(chunk.job, chunk.number, index, run.lines[index])

    def _count(self, chunk, outcome):
        self._parts.metrics.batch_items.labels(chunk.job.account, outcome).inc()


async def _cancel(tasks):
    for task in tasks:
        await task.cancel(blocking=False)
    for task in tasks:
        await task.wait()


def _estimate_work(line):
    """Return the tokens that an item may take, before it has run."""
    try:
        return int(orjson.loads(line)["body"]["max_tokens"])
    except (ValueError, KeyError, TypeError):
        return DEFAULT_WORK
