"""Runs this host's part of the batch jobs: claim, run, give way, commit."""

import curio

from ..supervision import keep_running
from ..ticks import measure_to_tick, sleep_to_tick
from .claiming import JobHolder
from .dispatch import EndpointFiller
from .item_tasks import ItemStarter
from .keys import WORK_PREFIX
from .progress import ProgressWriter

__all__ = ["JobRunner"]

BUSY_TICK_SECONDS = 0.025
IDLE_TICK_SECONDS = 0.1
# Reports that come within this time after one are looked at together.
PREEMPT_DELAY_SECONDS = 0.01
# Results that end within this time are committed together.
COMMIT_INTERVAL_SECONDS = 0.25


class JobRunner:
    """Runs jobs on this host.

    Parameters
    ----------
    host : str
    state : FleetState
    work : WorkBoard
    ends : EndWatch
    claims : JobClaims
    items : ItemRunner
    room : BatchRoom
    chooser : EndpointChooser
    board : LoadBoard
    notify : async callable
        Called after this host's own counts have changed.
    clock : Clock
    metrics : ServingMetrics

    Attributes
    ----------
    holder : JobHolder
    starter : ItemStarter
    """

    prefix = WORK_PREFIX

    def __init__(
        self,
        host,
        state,
        work,
        ends,
        claims,
        items,
        room,
        chooser,
        board,
        notify,
        clock,
        metrics,
    ):
        self._state = state
        self._board = board
        self._notify = notify
        self._clock = clock
        self._metrics = metrics
        self.starter = ItemStarter(items, ends, board, notify, clock)
        self.holder = JobHolder(host, state, work, claims, board, self.starter, clock)
        self._progress = ProgressWriter(self.holder, claims, clock, metrics)
        self._filler = EndpointFiller(
            state, ends, items, room, chooser, board, self.starter, clock
        )
        self._wake_event = curio.Event()

    @property
    def waiting(self):
        """How many items of this host's jobs don't run."""
        return sum(
            not item.endpoint
            for job in self.holder.list_jobs()
            for item in job.items.values()
        )

    @property
    def _is_active(self):
        """Whether it runs jobs: it knows the fleet, and hasn't been stopped."""
        return not self.holder.stopped and self._state.loaded

    async def run(self):
        """Claim, run and commit until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            self.starter.group = group
            for run in (
                self._claim_periodically,
                self._fill_periodically,
                self._commit_periodically,
            ):
                await group.spawn(keep_running, run.__qualname__, run)

    async def wake(self):
        """Look again at once whether items have to give way."""
        if len(self.starter):
            await self._wake_event.set()

    async def stop(self):
        """Commit what is done, break off what runs, and give all claims back."""
        self.holder.stopped = True
        for item in self.starter.list_running():
            await self.starter.interrupt(item)
        for job in self.holder.list_jobs():
            await self._progress.commit(job)
            if job.job_id in self.holder.jobs:
                await self.holder.release(job)

    async def _claim_periodically(self):
        while True:
            await sleep_to_tick(IDLE_TICK_SECONDS)
            if self._is_active:
                await self.holder.claim_once()

    async def _fill_periodically(self):
        """Fill endpoints at each tick; give way also when reports come in between.

        Notes
        -----
        Dozens of hosts report hundreds of times a second. What they take shows
        at the endpoints where items run, which are few; what they leave free is
        looked for at all endpoints, and can wait for the next tick.
        """
        filled_at = woken_at = self._clock.read_elapsed()
        while True:
            tick = BUSY_TICK_SECONDS if self.holder.jobs else IDLE_TICK_SECONDS
            left = filled_at + tick - self._clock.read_elapsed()
            async with curio.ignore_after(measure_to_tick(max(0.0, left))):
                await self._wake_event.wait()
            if self._wake_event.is_set():
                left = woken_at + PREEMPT_DELAY_SECONDS - self._clock.read_elapsed()
                await curio.sleep(max(0.0, left))
                woken_at = self._clock.read_elapsed()
            self._wake_event.clear()
            if self._is_active:
                await self._filler.give_way()
            if self._clock.read_elapsed() >= filled_at + tick:
                filled_at = self._clock.read_elapsed()
                await self.fill_once()

    async def fill_once(self):
        """Look at the jobs, start what may, and tell the others what waits."""
        if not self._is_active:
            return
        await self.holder.reconcile()
        await self._filler.fill(self.holder.list_jobs())
        await self._report_waiting()

    async def _report_waiting(self):
        """Tell the other hosts whether items wait here."""
        waiting = self.waiting
        self._metrics.items_running.set(len(self.starter))
        self._metrics.items_waiting.set(waiting)
        changed = bool(waiting) != bool(self._board.items_waiting)
        self._board.items_waiting = waiting
        if changed:
            await self._notify()

    async def _commit_periodically(self):
        while True:
            await sleep_to_tick(COMMIT_INTERVAL_SECONDS)
            await self._progress.write()
