"""``/v1/files`` and ``/v1/batches`` in the OpenAI shapes."""

import uuid

import orjson
from attrs import evolve
from python_multipart.multipart import MultipartParser, parse_options_header
from returns.result import Failure

from ..gateway.refusals import Refusal, RefusalCode
from ..gateway.resources import Resource, send_json
from ..http import Headers
from ..platform import Conflict
from .jobs import Job, JobState

__all__ = ["BatchResource", "FileResource"]

FILES_PATH = "/v1/files"
BATCHES_PATH = "/v1/batches"
DAY_SECONDS = 86_400


class FileResource(Resource):
    """Upload files and read them back.

    Parameters
    ----------
    files : FileStore
    """

    name = "files"

    def __init__(self, files):
        self._files = files

    def matches(self, path):
        """Return whether `path` is about files."""
        return path == FILES_PATH or path.startswith(FILES_PATH + "/")

    async def serve(self, exchange, account, request_id):
        """Serve an upload, a look-up, or a download."""
        if exchange.path == FILES_PATH and exchange.method == "POST":
            await self._upload(exchange, account, request_id)
            return
        parts = exchange.path.removeprefix(FILES_PATH + "/").split("/")
        record = take(await self._files.find(account, parts[0]))
        if record is None or exchange.method != "GET":
            raise Refusal(RefusalCode.NOT_FOUND, "There is no such file.")
        if parts[1:] == ["content"]:
            body = take(await self._files.read_all(record))
            headers = Headers([("Content-Type", "application/octet-stream")])
            headers.add("X-Request-Id", request_id)
            await exchange.respond(200, headers, body)
            return
        await send_json(exchange, _show_file(record), request_id)

    async def _upload(self, exchange, account, request_id):
        upload = _Upload(exchange.headers.get("content-type", ""))
        saved = await self._files.save(
            account, "input.jsonl", "batch", upload.iterate(exchange)
        )
        await send_json(exchange, _show_file(take(saved)), request_id)


class BatchResource(Resource):
    """Submit jobs, look at them, cancel them.

    Parameters
    ----------
    jobs : JobStore
    files : FileStore
    clock : Clock
    """

    name = "batches"

    def __init__(self, jobs, files, clock):
        self._jobs = jobs
        self._files = files
        self._clock = clock

    def matches(self, path):
        """Return whether `path` is about batches."""
        return path == BATCHES_PATH or path.startswith(BATCHES_PATH + "/")

    async def serve(self, exchange, account, request_id):
        """Serve a submission, a look-up, a list, or a cancel."""
        if exchange.path == BATCHES_PATH:
            await self._serve_collection(exchange, account, request_id)
            return
        parts = exchange.path.removeprefix(BATCHES_PATH + "/").split("/")
        row = take(await self._jobs.read(parts[0]))
        job = Job.from_bytes(row.payload) if row else None
        if job is None or job.account != account:
            raise Refusal(RefusalCode.NOT_FOUND, "There is no such batch.")
        if parts[1:] == ["cancel"] and exchange.method == "POST":
            job = await self._cancel(job, row)
        await send_json(exchange, _show_job(job), request_id)

    async def _serve_collection(self, exchange, account, request_id):
        if exchange.method == "POST":
            job = await self._submit(exchange, account)
            await send_json(exchange, _show_job(job), request_id)
            return
        rows = take(await self._jobs.list_all())
        jobs = [Job.from_bytes(row.payload) for row in rows]
        shown = [_show_job(job) for job in jobs if job.account == account]
        value = {"object": "list", "data": shown, "has_more": False}
        await send_json(exchange, value, request_id)

    async def _submit(self, exchange, account):
        try:
            request = orjson.loads(await exchange.read_body())
            input_file, target = request["input_file_id"], request["endpoint"]
        except (ValueError, KeyError, TypeError):
            raise Refusal(
                RefusalCode.MALFORMED, "input_file_id and endpoint are needed."
            ) from None
        if take(await self._files.find(account, input_file)) is None:
            raise Refusal(RefusalCode.NOT_FOUND, "There is no such input file.")
        now = int(self._clock.read_calendar())
        job = Job(f"batch_{uuid.uuid4().hex}", account, input_file, target, now)
        take(await self._jobs.create(job))
        return job

    async def _cancel(self, job, row):
        if job.state is not JobState.IN_PROGRESS:
            return job
        ended = evolve(job, state=JobState.CANCELLED)
        if isinstance(take(await self._jobs.update(ended, row)), Conflict):
            raise Refusal(RefusalCode.CONFLICT, "The batch has just changed.")
        return ended


class _Upload:
    """Take the field called ``file`` out of a multipart body, as it arrives."""

    def __init__(self, content_type):
        kind, options = parse_options_header(content_type)
        boundary = options.get(b"boundary")
        if kind != b"multipart/form-data" or not boundary:
            raise Refusal(
                RefusalCode.MALFORMED, "The body must be multipart/form-data."
            )
        self._pieces = []
        self._headers = []
        self._in_file = False
        callbacks = {
            "on_part_begin": self._headers.clear,
            "on_header_value": self._take_header_value,
            "on_headers_finished": self._take_headers,
            "on_part_data": self._take_data,
        }
        self._parser = MultipartParser(boundary, callbacks)

    async def iterate(self, exchange):
        """Yield the file's bytes."""
        async for piece in exchange.iterate_body():
            self._parser.write(piece)
            pieces, self._pieces = self._pieces, []
            for data in pieces:
                yield data

    def _take_header_value(self, data, start, end):
        self._headers.append(data[start:end])

    def _take_headers(self):
        self._in_file = any(b'name="file"' in value for value in self._headers)

    def _take_data(self, data, start, end):
        if self._in_file:
            self._pieces.append(data[start:end])


def take(result):
    """Return a result's value, or refuse because the platform is away."""
    if isinstance(result, Failure):
        raise Refusal(
            RefusalCode.PLATFORM_AWAY,
            "The platform's store does not answer.",
            executed="unknown",
            retry_after=2.0,
            step="platform",
            peer=result.failure().peer,
        )
    return result.unwrap()


def _show_file(record):
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.size,
        "created_at": record.created_at,
        "filename": record.name,
        "purpose": record.purpose,
        "status": "processed",
    }


def _show_job(job):
    return {
        "id": job.job_id,
        "object": "batch",
        "endpoint": job.target,
        "input_file_id": job.input_file,
        "output_file_id": job.output_file or None,
        "status": job.state.value,
        "created_at": job.created_at,
        "expires_at": job.created_at + DAY_SECONDS,
        "completion_window": "24h",
        "request_counts": {
            "total": job.total,
            "completed": job.completed,
            "failed": job.failed,
        },
    }
