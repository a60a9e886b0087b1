"""Start items at endpoints, and break them off."""

from ..telemetry import get_logger

__all__ = ["ItemTasks"]

# How long an item takes for each of its tokens, until some have ended.
INITIAL_SECONDS_PER_TOKEN = 0.0025
SMOOTHING_FACTOR = 0.1
# An error that nobody foresaw makes an item wait as so many breaks do.
ERROR_BACKOFF_COUNT = 3

log = get_logger("jobs")


class ItemTasks:
    """Keeps a task for each item that runs.

    Parameters
    ----------
    item_runner : ItemRunner
    cancellation : CancellationCheck
    board : ReportTable
    notify : async callable
        Called after this host's own counts have changed.
    clock : Clock

    Attributes
    ----------
    group : curio.TaskGroup or None
        In which the tasks run; None until there is one.
    seconds_per_token : float
        Seconds that items take for each of their tokens.
    """

    def __init__(self, item_runner, cancellation, board, notify, clock):
        self._item_runner = item_runner
        self._cancellation = cancellation
        self._board = board
        self._notify = notify
        self._clock = clock
        self._tasks = {}
        self.group = None
        self.seconds_per_token = INITIAL_SECONDS_PER_TOKEN

    def __len__(self):
        return len(self._tasks)

    def list_running(self):
        """Return the items that run."""
        return list(self._tasks)

    async def start(self, item, route, endpoint):
        """Start an item at an endpoint."""
        item.endpoint = endpoint.name
        item.started_at = self._clock.read_elapsed()
        self._board.begin(endpoint.name, batch=True)
        log.info(
            "item started",
            extra={
                "request_id": item.item.item_id,
                "job": item.job.job_id,
                "endpoint": endpoint.name,
                "last_event": item.last_event,
                "load": self._board.measure(endpoint.name).total,
            },
        )
        await self._notify()
        task = await self.group.spawn(self._run, item, route, endpoint, daemon=True)
        self._tasks[item] = task

    async def interrupt(self, item):
        """Break an item off if it runs."""
        task = self._tasks.get(item)
        if task is not None:
            await task.cancel()

    async def interrupt_job(self, job):
        """Break off what runs of a job."""
        for item in [i for i in self._tasks if i.job is job]:
            await self.interrupt(item)

    async def _run(self, item, route, endpoint):
        is_from_start = not item.event_texts
        try:
            # Time may have passed since it was chosen.
            if not self._cancellation.may_start(item.job):
                return
            await self._item_runner.run(item, route, endpoint)
            if is_from_start and item.item.item_id not in item.job.items:
                self._update_seconds_per_token(item)
        except Exception:
            log.exception("item failed", extra={"request_id": item.item.item_id})
            self._item_runner.pause(item, "an error here", ERROR_BACKOFF_COUNT)
        finally:
            item.endpoint = ""
            self._tasks.pop(item, None)
            self._board.end(endpoint.name, batch=True)
            await self._notify()

    def _update_seconds_per_token(self, item):
        """Learn from an item that ran without a break how long items take."""
        seconds = self._clock.read_elapsed() - item.started_at
        measured = seconds / max(1, item.item.tokens)
        self.seconds_per_token += SMOOTHING_FACTOR * (measured - self.seconds_per_token)
