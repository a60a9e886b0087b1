"""Claim jobs and run their items."""

import curio
import orjson
from attrs import evolve
from returns.result import Failure

from ..daemon.parts import HostPart
from ..gateway.calls import Call, Priority
from ..gateway.refusals import Refusal
from ..gateway.routes import RouteTable
from ..gateway.sinks import MemorySink
from ..http import Headers, HTTPError
from ..platform import Conflict
from ..telemetry import get_logger
from .jobs import Job, JobState

__all__ = ["BatchRunner"]

POLL_SECONDS = 0.5
CLAIM_SECONDS = 10
ITEM_SECONDS = 600.0
CONCURRENCY = 8
CLAIMS_PREFIX = "claims/"

log = get_logger("batch")


class BatchRunner(HostPart):
    """Runs jobs on this host.

    Parameters
    ----------
    host : str
    records : RecordStore
    jobs : JobStore
    files : FileStore
    dispatcher : Dispatcher
    clock : Clock
    """

    def __init__(self, host, records, jobs, files, dispatcher, clock):
        self._host = host
        self._records = records
        self._jobs = jobs
        self._files = files
        self._dispatcher = dispatcher
        self._clock = clock
        self._routes = RouteTable()

    def take_fleet(self, fleet):
        """Put newer settings in force."""
        self._routes = RouteTable(fleet.routes.values())

    async def run(self):
        """Claim and run jobs until cancelled."""
        while True:
            await curio.sleep(POLL_SECONDS)
            rows = await self._jobs.list_all()
            if isinstance(rows, Failure):
                continue
            for row in rows.unwrap():
                job = Job.from_bytes(row.payload)
                if job.state is JobState.IN_PROGRESS and await self._claim(job):
                    await self._run_job(job, row)

    async def _claim(self, job):
        lease = await self._records.store.grant_lease(CLAIM_SECONDS)
        if isinstance(lease, Failure):
            return False
        claimed = await self._records.write(
            CLAIMS_PREFIX + job.job_id,
            self._host.encode(),
            lease=lease.unwrap().lease_id,
        )
        if isinstance(claimed, Failure):
            return False
        return not isinstance(claimed.unwrap(), Conflict)

    async def _run_job(self, job, row):
        record = (await self._files.find(job.account, job.input_file)).value_or(None)
        if record is None:
            return
        data = (await self._files.read_all(record)).value_or(None)
        if data is None:
            return
        lines = [line for line in data.splitlines() if line.strip()]
        results = [None] * len(lines)
        pending = iter(enumerate(lines))
        async with curio.TaskGroup() as group:
            for _ in range(CONCURRENCY):
                await group.spawn(self._run_items, job, pending, results)
        await self._finish(job, row, results)

    async def _run_items(self, job, pending, results):
        for index, line in pending:
            results[index] = await self._run_item(job, line)

    async def _run_item(self, job, line):
        item = orjson.loads(line)
        call = self._make_call(job, item)
        sink = MemorySink()
        answer = {"id": call.request_id, "custom_id": item["custom_id"]}
        try:
            await self._dispatcher.dispatch(call, sink)
        except (Refusal, HTTPError) as error:
            return {**answer, "response": None, "error": {"message": error.message}}
        response = {
            "status_code": sink.status,
            "request_id": call.request_id,
            "body": orjson.loads(sink.body),
        }
        return {**answer, "response": response, "error": None}

    def _make_call(self, job, item):
        body = item["body"]
        return Call(
            request_id=f"{job.job_id}-{item['custom_id']}",
            account=job.account,
            route=self._routes.find(item["url"]),
            method=item["method"],
            target=item["url"],
            headers=Headers([("Content-Type", "application/json")]),
            body=orjson.dumps(body),
            deadline=self._clock.read_elapsed() + ITEM_SECONDS,
            model=body.get("model", ""),
            priority=Priority.BATCH,
        )

    async def _finish(self, job, row, results):
        saved = await self._files.save(
            job.account, "output.jsonl", "batch_output", _iterate_lines(results)
        )
        if isinstance(saved, Failure):
            return
        good = sum(
            1 for r in results if (r["response"] or {}).get("status_code") == 200
        )
        ended = evolve(
            job,
            state=JobState.COMPLETED,
            output_file=saved.unwrap().file_id,
            total=len(results),
            completed=good,
            failed=len(results) - good,
        )
        await self._jobs.update(ended, row)
        log.info("job finished", extra={"job": job.job_id, "items": len(results)})


async def _iterate_lines(results):
    for result in results:
        yield orjson.dumps(result) + b"\n"
