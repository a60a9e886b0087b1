"""Run this host's part of the batch jobs: claim, dispatch, preempt, commit."""

import curio

from ..supervision import keep_running
from ..telemetry import get_logger
from ..ticks import measure_to_tick, sleep_to_tick
from .claiming import JobClaimer
from .dispatch import ItemDispatcher
from .item_tasks import ItemTasks
from .keys import WORK_PREFIX
from .progress import ProgressWriter

__all__ = ["JobRunner"]

BUSY_TICK_SECONDS = 0.025
IDLE_TICK_SECONDS = 0.1
# Reports that arrive within this time of one another are handled together.
PREEMPT_DELAY_SECONDS = 0.01
# Interval whose expected peak is exported: about the time that an item runs.
FORECAST_SECONDS = 2.5
# Results of items that end within this time are committed together.
COMMIT_INTERVAL_SECONDS = 0.25
# Work that is lost with a host, against one write of the store for each interval.
CHECKPOINT_INTERVAL_SECONDS = 2.0

log = get_logger("jobs")


class JobRunner:
    """Runs batch jobs on this host.

    Parameters
    ----------
    host : str
    state : FleetState
    directory : JobDirectory
    cancellation : CancellationCheck
    claims : JobClaims
    item_runner : ItemRunner
    room : BatchRoom
    chooser : EndpointChooser
    streams : OriginFinder
    report_table : ReportTable
    notify : async callable
        Called after this host's own load has changed.
    clock : Clock
    metrics : ServingMetrics
    outlook : SlotOutlook, optional
        None if items start in any free slot.

    Attributes
    ----------
    claimer : JobClaimer
    tasks : ItemTasks
    """

    prefix = WORK_PREFIX

    def __init__(
        self,
        host,
        state,
        directory,
        cancellation,
        claims,
        item_runner,
        room,
        chooser,
        streams,
        report_table,
        notify,
        clock,
        metrics,
        outlook=None,
    ):
        self._state = state
        self._outlook = outlook
        self._report_table = report_table
        self._notify = notify
        self._clock = clock
        self._metrics = metrics
        self.tasks = ItemTasks(item_runner, cancellation, report_table, notify, clock)
        self.claimer = JobClaimer(
            host, state, directory, claims, report_table, self.tasks, clock
        )
        self._progress = ProgressWriter(self.claimer, claims, clock, metrics)
        self._dispatcher = ItemDispatcher(
            state,
            cancellation,
            item_runner,
            room,
            chooser,
            streams,
            report_table,
            self.tasks,
            clock,
            outlook,
        )
        self._wake_event = curio.Event()

    @property
    def waiting(self):
        """Number of items of this host's jobs that are not running."""
        return sum(
            not item.endpoint
            for job in self.claimer.list_jobs()
            for item in job.items.values()
        )

    @property
    def _is_active(self):
        """Whether jobs may run: the fleet is known, and `stop` wasn't called."""
        return not self.claimer.stopped and self._state.loaded

    @property
    def _hears_nobody(self):
        """Whether other hosts are registered, but none of them reports.

        Notes
        -----
        Without reports of online requests, this host could not preempt its items for
        them.
        """
        others = self._state.members.list_others()
        is_reporting = self._report_table.is_reporting
        return bool(others) and not any(is_reporting(m.name) for m in others)

    async def run(self):
        """Claim jobs, run their items and commit results until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            self.tasks.group = group
            for run in (
                self._claim_periodically,
                self._dispatch_periodically,
                self._commit_periodically,
                self._write_checkpoints,
            ):
                await group.spawn(keep_running, run.__qualname__, run)

    async def wake(self):
        """Check at once whether running items must be preempted."""
        if len(self.tasks):
            await self._wake_event.set()

    async def stop(self):
        """Interrupt running items, commit finished results, and release all claims."""
        self.claimer.stopped = True
        for item in self.tasks.list_running():
            await self.tasks.interrupt(item)
        await self._progress.write_checkpoint()
        for job in self.claimer.list_jobs():
            await self._progress.commit(job)
            if job.job_id in self.claimer.jobs:
                await self.claimer.release(job)

    async def _claim_periodically(self):
        while True:
            await sleep_to_tick(IDLE_TICK_SECONDS)
            if self._is_active:
                await self.claimer.claim_once()

    async def _dispatch_periodically(self):
        """Dispatch items at each tick; preempt also on reports in between.

        Notes
        -----
        Dozens of hosts report hundreds of times a second. Preemption checks only
        the few endpoints where items run, so it can follow the reports. Dispatch
        searches all endpoints for free slots, so it waits for the next tick.
        """
        dispatched_at = woken_at = self._clock.read_elapsed()
        while True:
            tick = BUSY_TICK_SECONDS if self.claimer.jobs else IDLE_TICK_SECONDS
            left = dispatched_at + tick - self._clock.read_elapsed()
            async with curio.ignore_after(measure_to_tick(max(0.0, left))):
                await self._wake_event.wait()
            if self._wake_event.is_set():
                left = woken_at + PREEMPT_DELAY_SECONDS - self._clock.read_elapsed()
                await curio.sleep(max(0.0, left))
                woken_at = self._clock.read_elapsed()
            self._wake_event.clear()
            if self._is_active:
                await self._preempt()
            if self._clock.read_elapsed() >= dispatched_at + tick:
                dispatched_at = self._clock.read_elapsed()
                await self.dispatch_once()

    async def _preempt(self):
        """Preempt the items in excess, or all items if no other host is heard."""
        if not self._hears_nobody:
            await self._dispatcher.preempt()
            return
        for item in self.tasks.list_running():
            await self.tasks.preempt(item, "no other host is heard")

    async def dispatch_once(self):
        """Reconcile the claimed jobs, dispatch items, and report waiting items."""
        if not self._is_active:
            return
        self._sample_demand()
        await self.claimer.reconcile()
        if not self._hears_nobody:
            await self._dispatcher.dispatch(self.claimer.list_jobs())
        await self._report_waiting()

    def _sample_demand(self):
        """Feed the forecasts, also while no items wait, and export their metrics.

        Notes
        -----
        A host that receives nothing from any other host knows only its own requests,
        which must not count as a fall in demand.
        """
        if self._outlook is None or self._hears_nobody or not self._outlook.sample():
            return
        for service, forecast in self._outlook.list_forecasts():
            self._metrics.note_forecast(
                service,
                forecast.level,
                self._outlook.predict_peak(service, FORECAST_SECONDS),
                forecast.error,
                forecast.period_seconds or 0.0,
            )

    async def _report_waiting(self):
        """Update the metrics, and notify other hosts if waiting items came or went."""
        waiting = self.waiting
        self._metrics.items_running.set(len(self.tasks))
        self._metrics.items_waiting.set(waiting)
        changed = bool(waiting) != bool(self._report_table.items_waiting)
        self._report_table.items_waiting = waiting
        if changed:
            await self._notify()

    async def _commit_periodically(self):
        while True:
            await sleep_to_tick(COMMIT_INTERVAL_SECONDS)
            await self._progress.write()

    async def _write_checkpoints(self):
        while True:
            await sleep_to_tick(CHECKPOINT_INTERVAL_SECONDS)
            if not self.claimer.stopped:
                await self._progress.write_checkpoint()
