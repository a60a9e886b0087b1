"""Files of callers in the platform's store, packed into chunks of lines."""

import hashlib

import curio
import orjson
from attrs import asdict, field, frozen
from returns.result import Failure, Success

from ..store import Condition, Conflict, Operation, StoreUnavailableError
from .keys import (
    make_expiry_key,
    make_file_key,
    make_identity,
    make_input_key,
    make_upload_id,
)
from .packing import LinePacker, unpack

__all__ = ["FileMismatch", "FileRecord", "FileStore", "UploadExpired", "UploadRequest"]

# Bounds the writes that one upload takes from the platform.
CHUNK_WRITE_INTERVAL = 0.01


@frozen
class UploadRequest:
    """What a caller uploads.

    Parameters
    ----------
    account, name, purpose : str
    key : str
        The caller's ``Idempotency-Key``; empty for none.
    """

    account = field()
    name = field()
    purpose = field()
    key = field(default="")


@frozen
class FileRecord:
    """What is known of a file.

    Parameters
    ----------
    file_id, account, name, purpose : str
    upload_id : str
        Names the chunks of lines.
    size : int
        Bytes.
    counts : tuple of int
        Lines in each chunk.
    digest : str
        Hash of the content.
    created_at, expires_at : int
        Seconds since the Unix epoch.
    """

    file_id = field()
    account = field()
    name = field()
    purpose = field()
    upload_id = field()
    size = field()
    counts = field(converter=tuple)
    digest = field()
    created_at = field()
    expires_at = field()

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        return cls(**orjson.loads(data))

    def to_bytes(self):
        """Encode for the platform's store."""
        return orjson.dumps(asdict(self))


@frozen
class FileMismatch:
    """Another content was uploaded under the same key before."""


@frozen
class UploadExpired:
    """The upload took too long, and its chunks may be gone."""


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

    async def save(self, describe, pieces, settings):
        """Save an asynchronous iterator of bytes.

        The file is in force by one write after all its chunks are there.

        Parameters
        ----------
        describe : callable
            Returns the `UploadRequest`, once all pieces have come.
        pieces : asynchronous iterator of bytes
        settings : BatchSettings

        Returns
        -------
        returns.result.Result
            ``Success`` of `FileRecord`, `FileMismatch` or `UploadExpired`.
        """
        # Refuses at once while the platform is away, before taking the body.
        probe = await self._records.store.get(make_file_key("probe"))
        if isinstance(probe, Failure):
            return Failure(_make_harmless(probe.failure()))
        started = self._clock.read_calendar()
        upload = _Upload(self._records, make_upload_id(started))
        packer = LinePacker(settings.chunk_items)
        async for piece in pieces:
            upload.note(piece)
            failed = await upload.write_all(packer.feed(piece))
            if failed is not None:
                return failed
        failed = await upload.write_all(packer.finish())
        if failed is not None:
            return failed
        if self._clock.read_calendar() - started > settings.upload_seconds:
            return Success(UploadExpired())
        record = upload.make_record(describe(), int(started), settings)
        return await self._put_in_force(record, upload)

    async def find(self, account, file_id):
        """Return ``Success(StoredRecord or None)``; decode with `FileRecord`."""
        found = await self._records.read(make_file_key(file_id))
        return found.map(lambda row: _check_account(row, account))

    async def read_chunk(self, upload_id, number):
        """Return ``Success(list of bytes)``, the lines of one chunk."""
        found = await self._records.read(make_input_key(upload_id, number))
        return found.map(lambda row: unpack(row.payload) if row else None)

    async def _put_in_force(self, record, upload):
        extra = [
            Operation(make_expiry_key(record.expires_at, "file", record.file_id), b"-"),
            Operation(f"uploads/{record.upload_id}", record.file_id.encode()),
        ]
        if upload.counts:
            # The collector of unfinished uploads deletes the first chunk first.
            first = make_input_key(record.upload_id, 0)
            extra.append(Condition(first, upload.first_revision))
        written = await self._records.write(
            make_file_key(record.file_id), record.to_bytes(), extra=extra
        )
        if isinstance(written, Failure):
            return written
        outcome = written.unwrap()
        if not isinstance(outcome, Conflict):
            return Success(record)
        if outcome.current is None:
            return Success(UploadExpired())
        earlier = FileRecord.from_bytes(outcome.current.payload)
        return Success(earlier if earlier.digest == record.digest else FileMismatch())


class _Upload:
    """Chunks of one upload under way."""

    def __init__(self, records, upload_id):
        self._records = records
        self.upload_id = upload_id
        self.counts = []
        self.first_revision = 0
        self._size = 0
        self._digest = hashlib.blake2b(digest_size=16)

    def note(self, piece):
        self._size += len(piece)
        self._digest.update(piece)

    async def write_all(self, packed):
        """Write chunks; return the failure if one can't be written."""
        for chunk in packed:
            key = make_input_key(self.upload_id, len(self.counts))
            written = await self._records.write(key, chunk.data)
            if isinstance(written, Failure):
                return Failure(_make_harmless(written.failure()))
            if not self.counts:
                self.first_revision = written.unwrap().revision
            self.counts.append(chunk.count)
            await curio.sleep(CHUNK_WRITE_INTERVAL)
        return None

    def make_record(self, request, now, settings):
        return FileRecord(
            file_id=make_identity("file-", request.account, request.key),
            account=request.account,
            name=request.name,
            purpose=request.purpose,
            upload_id=self.upload_id,
            size=self._size,
            counts=self.counts,
            digest=self._digest.hexdigest(),
            created_at=now,
            expires_at=now + int(settings.retention_seconds),
        )


def _make_harmless(error):
    # A chunk that did reach the platform is no file: nothing is in force.
    return StoreUnavailableError(error.message, step="write chunk", peer=error.peer)


def _check_account(row, account):
    if row is None or FileRecord.from_bytes(row.payload).account != account:
        return None
    return row
