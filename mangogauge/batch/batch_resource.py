"""``/v1/batches``: submit jobs, look at them, cancel them."""

import re
from urllib.parse import parse_qs

import orjson
from returns.result import Success

from ..gateway.resources import Resource, send_json
from ..refusals import Refusal, RefusalCode
from .answers import show_job, take_read, take_write
from .chunks import sum_counts
from .files import FileRecord
from .items import list_needs
from .jobs import Job, compute_fingerprint
from .keys import make_identity

__all__ = ["BatchResource", "JobCounter"]

BATCHES_PATH = "/v1/batches"
KEY_HEADER = "idempotency-key"
DEFAULT_WINDOW = "24h"
WINDOW_PATTERN = re.compile(r"([1-9][0-9]{0,4})([smhd])")
UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
PAGE_LIMIT = 100
DEFAULT_PAGE = 20


class JobCounter:
    """Counts how far a job is.

    Parameters
    ----------
    chunks : ChunkStore
    """

    def __init__(self, chunks):
        self._chunks = chunks

    async def count(self, job):
        """Return ``Success(JobCounts)``."""
        if not job.is_open:
            return Success(job.done)
        work = await self._chunks.list_work(job.job_id)
        return work.map(lambda found: sum_counts(found.list_counts()))


class BatchResource(Resource):
    """Submit jobs, look at them, cancel them.

    Parameters
    ----------
    jobs : JobStore
    files : FileStore
    counter : JobCounter
    clock : Clock
    """

    name = "batches"

    def __init__(self, jobs, files, counter, clock):
        self._jobs = jobs
        self._files = files
        self._counter = counter
        self._clock = clock
        self._settings = None

    def set_settings(self, settings):
        """Take new `BatchSettings`."""
        self._settings = settings

    def matches(self, path):
        """Return whether `path` is about batches."""
        return path == BATCHES_PATH or path.startswith(BATCHES_PATH + "/")

    async def serve(self, exchange, account, request_id):
        """Serve a submission, a look-up, a list, or a cancel."""
        if exchange.path == BATCHES_PATH:
            await self._serve_collection(exchange, account, request_id)
            return
        job_id, *rest = exchange.path.removeprefix(BATCHES_PATH + "/").split("/")
        row = await self._find(account, job_id)
        job = Job.from_bytes(row.payload)
        if rest == ["cancel"] and exchange.method == "POST":
            job = take_write(await self._jobs.cancel(row)) or job
        elif rest or exchange.method != "GET":
            raise Refusal(RefusalCode.METHOD_FORBIDDEN, "There is no such action.")
        await self._send_job(exchange, job, request_id)

    async def _find(self, account, job_id):
        row = take_read(await self._jobs.read(job_id))
        if row is None or Job.from_bytes(row.payload).account != account:
            raise Refusal(RefusalCode.NOT_FOUND, "There is no such batch.")
        return row

    async def _send_job(self, exchange, job, request_id):
        counts = (await self._counter.count(job)).value_or(job.done)
        shown = show_job(job, counts, self._clock.read_calendar())
        await send_json(exchange, shown, request_id)

    async def _serve_collection(self, exchange, account, request_id):
        if exchange.method == "POST":
            job = await self._submit(exchange, account)
            await self._send_job(exchange, job, request_id)
            return
        query = parse_qs(exchange.query)
        limit = _read_limit(query.get("limit", [str(DEFAULT_PAGE)])[0])
        after = None
        if "after" in query:
            row = await self._find(account, query["after"][0])
            after = Job.from_bytes(row.payload)
        # One more than shown tells whether there are more.
        jobs = take_read(await self._jobs.list_account(account, limit + 1, after))
        now = self._clock.read_calendar()
        shown = []
        for job in jobs[:limit]:
            counts = take_read(await self._counter.count(job))
            shown.append(show_job(job, counts, now))
        value = {
            "object": "list",
            "data": shown,
            "first_id": shown[0]["id"] if shown else None,
            "last_id": shown[-1]["id"] if shown else None,
            "has_more": len(jobs) > limit,
        }
        await send_json(exchange, value, request_id)

    async def _submit(self, exchange, account):
        request = _read_submission(await exchange.read_body())
        file_row = take_read(
            await self._files.find(account, str(request["input_file_id"]))
        )
        if file_row is None:
            raise Refusal(RefusalCode.NOT_FOUND, "There is no such input file.")
        key = exchange.headers.get(KEY_HEADER, "")
        file = FileRecord.from_bytes(file_row.payload)
        job = self._make_job(request, file, key)
        lines = take_read(await self._files.read_chunk(file.upload_id, 0)) or ()
        accepted = take_write(await self._jobs.create(job, file_row, list_needs(lines)))
        if accepted is None:
            raise Refusal(RefusalCode.CONFLICT, "The input file has just changed.")
        if accepted.fingerprint != job.fingerprint:
            raise Refusal(
                RefusalCode.CONFLICT,
                "Another batch was submitted under this Idempotency-Key.",
            )
        return accepted

    def _make_job(self, request, file, key):
        if not file.counts:
            raise Refusal(RefusalCode.MALFORMED, "The input file has no items.")
        now = int(self._clock.read_calendar())
        window = request.get("completion_window", DEFAULT_WINDOW)
        due_at = now + _read_window(window)
        target, metadata = request["endpoint"], request.get("metadata") or {}
        return Job(
            job_id=make_identity("batch_", file.account, key),
            account=file.account,
            file_id=file.file_id,
            upload_id=file.upload_id,
            counts=file.counts,
            target=target,
            window=window,
            created_at=now,
            due_at=due_at,
            expires_at=due_at + int(self._settings.retention_seconds),
            fingerprint=compute_fingerprint(file.digest, target, window, metadata),
            metadata=metadata,
        )


def _read_submission(body):
    try:
        request = orjson.loads(body)
        request["input_file_id"], request["endpoint"]
    except (ValueError, KeyError, TypeError):
        raise Refusal(
            RefusalCode.MALFORMED, "input_file_id and endpoint are needed."
        ) from None
    return request


def _read_window(text):
    match = WINDOW_PATTERN.fullmatch(str(text))
    if match is None:
        raise Refusal(
            RefusalCode.MALFORMED, "completion_window must be like 24h, 90m or 7d."
        )
    return int(match[1]) * UNIT_SECONDS[match[2]]


def _read_limit(text):
    if not text.isdigit() or not 1 <= int(text) <= PAGE_LIMIT:
        raise Refusal(RefusalCode.MALFORMED, f"limit must be from 1 to {PAGE_LIMIT}.")
    return int(text)
