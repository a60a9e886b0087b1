"""Files of callers in the platform's store, packed into chunks."""

import uuid

import orjson
import zstandard
from attrs import asdict, field, frozen
from returns.result import Failure, Success

__all__ = ["FileRecord", "FileStore"]

FILES_PREFIX = "files/"
CHUNK_BYTES = 900_000


@frozen
class FileRecord:
    """What is known of a file.

    Parameters
    ----------
    file_id, account, name, purpose : str
    size : int
        Bytes.
    chunks : int
        Number of chunks that it is kept in.
    created_at : int
        Seconds since the Unix epoch.
    """

    file_id = field()
    account = field()
    name = field()
    purpose = field()
    size = field()
    chunks = field()
    created_at = field()


class FileStore:
    """Save and read files.

    Parameters
    ----------
    records : RecordStore
    clock : Clock
    """

    def __init__(self, records, clock):
        self._records = records
        self._clock = clock

    async def save(self, account, name, purpose, pieces):
        """Save an asynchronous iterator of bytes; return ``Success(FileRecord)``."""
        file_id = f"file-{uuid.uuid4().hex}"
        buffer = bytearray()
        size = chunks = 0
        async for piece in pieces:
            buffer += piece
            size += len(piece)
            while len(buffer) >= CHUNK_BYTES:
                saved = await self._save_chunk(file_id, chunks, buffer[:CHUNK_BYTES])
                if isinstance(saved, Failure):
                    return saved
                del buffer[:CHUNK_BYTES]
                chunks += 1
        if buffer:
            saved = await self._save_chunk(file_id, chunks, buffer)
            if isinstance(saved, Failure):
                return saved
            chunks += 1
        now = int(self._clock.read_calendar())
        record = FileRecord(file_id, account, name, purpose, size, chunks, now)
        written = await self._records.write(
            f"{FILES_PREFIX}{file_id}/meta", orjson.dumps(asdict(record))
        )
        return written.map(lambda commit: record)

    async def find(self, account, file_id):
        """Return ``Success(FileRecord or None)``."""
        found = await self._records.read(f"{FILES_PREFIX}{file_id}/meta")
        return found.map(lambda row: _decode(row, account))

    async def read_chunk(self, file_id, number):
        """Return ``Success(bytes)`` of one chunk."""
        found = await self._records.read(f"{FILES_PREFIX}{file_id}/{number:06}")
        return found.map(lambda row: zstandard.decompress(row.payload))

    async def read_all(self, record):
        """Return ``Success(bytes)`` of the whole file."""
        pieces = []
        for number in range(record.chunks):
            chunk = await self.read_chunk(record.file_id, number)
            if isinstance(chunk, Failure):
                return chunk
            pieces.append(chunk.unwrap())
        return Success(b"".join(pieces))

    async def _save_chunk(self, file_id, number, data):
        packed = zstandard.compress(bytes(data))
        return await self._records.write(f"{FILES_PREFIX}{file_id}/{number:06}", packed)


def _decode(row, account):
    if row is None:
        return None
    record = FileRecord(**orjson.loads(row.payload))
    return record if record.account == account else None
