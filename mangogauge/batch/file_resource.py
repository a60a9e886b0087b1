"""``/v1/files``: upload files and read files and results back."""

from python_multipart.exceptions import FormParserError

from ..gateway.resources import Resource, send_json
from ..http import Headers
from ..refusals import Refusal, RefusalCode
from ..store import StoreError
from .answers import show_file, show_result_file, take_read, take_write
from .files import FileMismatch, FileRecord, UploadExpired, UploadRequest
from .packing import LineTooLongError
from .uploads import MultipartUpload

__all__ = ["FileResource"]

FILES_PATH = "/v1/files"
KEY_HEADER = "idempotency-key"
REFUSALS = {
    FileMismatch: (
        RefusalCode.CONFLICT,
        "Another content was uploaded under this Idempotency-Key.",
    ),
    UploadExpired: (RefusalCode.DEADLINE_EXCEEDED, "The upload took too long."),
}


class FileResource(Resource):
    """Upload files and read them back.

    Parameters
    ----------
    files : FileStore
    results : ResultReader
    counter : JobCounter
    """

    name = "files"

    def __init__(self, files, results, counter):
        self._files = files
        self._results = results
        self._counter = counter
        self._settings = None

    def set_settings(self, settings):
        """Take new `BatchSettings`."""
        self._settings = settings

    def matches(self, path):
        """Return whether `path` is about files."""
        return path == FILES_PATH or path.startswith(FILES_PATH + "/")

    async def serve(self, exchange, account, request_id):
        """Serve an upload, a look-up, or a download."""
        if exchange.path == FILES_PATH and exchange.method == "POST":
            await self._upload(exchange, account, request_id)
            return
        if exchange.method != "GET":
            raise Refusal(RefusalCode.METHOD_FORBIDDEN, "Files can only be read.")
        parts = exchange.path.removeprefix(FILES_PATH + "/").split("/")
        wants_content = parts[1:] == ["content"]
        row = take_read(await self._files.find(account, parts[0]))
        if row is not None:
            record = FileRecord.from_bytes(row.payload)
            pieces = self._iterate_input(record)
            shown = show_file(record)
        else:
            file = take_read(await self._results.find(account, parts[0]))
            if file is None:
                raise Refusal(RefusalCode.NOT_FOUND, "There is no such file.")
            pieces = self._results.iterate(file)
            counts = take_read(await self._counter.count(file.job))
            shown = show_result_file(file, counts)
        if not wants_content:
            await send_json(exchange, shown, request_id)
            return
        await _send_pieces(exchange, pieces, request_id)

    async def _upload(self, exchange, account, request_id):
        upload = MultipartUpload(exchange.headers.get("content-type", ""))
        key = exchange.headers.get(KEY_HEADER, "")

        def describe():
            return UploadRequest(account, upload.name, upload.purpose, key)

        try:
            saved = await self._files.save(
                describe, upload.iterate(exchange), self._settings
            )
        except FormParserError as error:
            message = f"The form can't be read: {error}."
            raise Refusal(RefusalCode.MALFORMED, message) from error
        except LineTooLongError as error:
            message = "A line of the file is too long."
            raise Refusal(RefusalCode.TOO_LARGE, message) from error
        outcome = take_write(saved)
        if type(outcome) in REFUSALS:
            raise Refusal(*REFUSALS[type(outcome)])
        await send_json(exchange, show_file(outcome), request_id)

    async def _iterate_input(self, record):
        for number in range(len(record.counts)):
            lines = await self._files.read_chunk(record.upload_id, number)
            yield b"\n".join(take_read(lines)) + b"\n"


async def _send_pieces(exchange, pieces, request_id):
    """Stream an answer; one that breaks off ends without its last chunk."""
    headers = Headers([("Content-Type", "application/octet-stream")])
    headers.add("X-Request-Id", request_id)
    headers.add("Transfer-Encoding", "chunked")
    await exchange.start_response(200, headers)
    try:
        async for piece in pieces:
            await exchange.send_data(piece)
    except StoreError as error:
        raise ConnectionAbortedError(str(error)) from error
    await exchange.finish()
