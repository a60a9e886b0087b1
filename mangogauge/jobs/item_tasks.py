"""Start items at endpoints, and interrupt them."""

from ..telemetry import get_logger
from .estimates import ItemPace

__all__ = ["ItemTasks"]

# After an unexpected error an item backs off as after this many interruptions.
ERROR_BACKOFF_COUNT = 3

log = get_logger("jobs")


class ItemTasks:
    """Runs one task for each running item.

    Parameters
    ----------
    item_runner : ItemRunner
    cancellation : CancellationCheck
    report_table : ReportTable
    notify : async callable
        Called after this host's own load has changed.
    clock : Clock

    Attributes
    ----------
    group : curio.TaskGroup or None
        Group in which the tasks run; None until `JobRunner` sets it.
    pace : ItemPace
        Learned from the items that end here.
    """

    def __init__(self, item_runner, cancellation, report_table, notify, clock):
        self._item_runner = item_runner
        self._cancellation = cancellation
        self._report_table = report_table
        self._notify = notify
        self._clock = clock
        self._tasks = {}
        self.group = None
        self.pace = ItemPace()

    def __len__(self):
        return len(self._tasks)

    def list_running(self):
        """Return the running items."""
        return list(self._tasks)

    async def start(self, item, route, endpoint, reason):
        """Start an item at an endpoint.

        Parameters
        ----------
        item : OwnedItem
        route : PrefixRoute
        endpoint : FleetEndpoint
        reason : StartReason
        """
        item.endpoint = endpoint.name
        item.started_at = self._clock.read_elapsed()
        item.events_at_start = len(item.event_texts)
        self._report_table.begin(endpoint.name, batch=True)
        log.info(
            "item started",
            extra={
                "request_id": item.item.item_id,
                "job": item.job.job_id,
                "endpoint": endpoint.name,
                "last_event": item.last_event,
                "load": self._report_table.measure(endpoint.name).total,
                "reason": reason.value,
                "remaining": round(item.estimate_remaining_seconds(self.pace), 3),
            },
        )
        await self._notify()
        task = await self.group.spawn(self._run, item, route, endpoint, daemon=True)
        self._tasks[item] = task

    async def preempt(self, item, reason, **details):
        """Interrupt a running item for online requests.

        Parameters
        ----------
        item : OwnedItem
        reason : str
            For the log.
        **details
            Further fields of the log line.
        """
        if item not in self._tasks:
            return
        log.info(
            "item gives way",
            extra={
                "request_id": item.item.item_id,
                "endpoint": item.endpoint,
                "reason": reason,
                "ran": round(self._clock.read_elapsed() - item.started_at, 3),
                "run_events": len(item.event_texts) - item.events_at_start,
                "events": len(item.event_texts),
                "prompt_bytes": len(item.body),
                "remaining": round(item.estimate_remaining_seconds(self.pace), 3),
                **details,
            },
        )
        await self.interrupt(item)

    async def interrupt(self, item):
        """Interrupt an item if it is running."""
        task = self._tasks.get(item)
        if task is not None:
            await task.cancel()

    async def interrupt_job(self, job):
        """Interrupt the running items of a job."""
        for item in [i for i in self._tasks if i.job is job]:
            await self.interrupt(item)

    async def _run(self, item, route, endpoint):
        is_from_start = not item.event_texts
        try:
            # The view of cancellations may have become too old since dispatch.
            if not self._cancellation.may_start(item.job):
                return
            await self._item_runner.run(item, route, endpoint)
            if item.item.item_id not in item.job.items:
                self._note_end(item, is_from_start)
        except Exception:
            log.exception("item failed", extra={"request_id": item.item.item_id})
            self._item_runner.pause(item, "internal error", ERROR_BACKOFF_COUNT)
        finally:
            item.endpoint = ""
            self._tasks.pop(item, None)
            self._report_table.end(endpoint.name, batch=True)
            await self._notify()

    def _note_end(self, item, is_from_start):
        """Learn from an item that has ended, if it was done."""
        tokens, events = item.item.tokens, len(item.event_texts)
        if not events:
            return
        self.pace.note_end(tokens, events)
        if is_from_start:
            self.pace.note_run(tokens, self._clock.read_elapsed() - item.started_at)
