"""Records: values whose writes are settled even when an answer is lost.

Every write carries an id. The record keeps the ids of the last few writes, so
a writer that got no answer reads the key back and learns for certain whether
its write took effect, also when others have written since.
"""

import uuid

import curio
import xxhash
from attrs import field, frozen
from returns.result import Failure, Success

from ..protocol.records_pb2 import Record
from .base import (
    Condition,
    Operation,
    StoreError,
    StoreLostAnswerError,
    Transaction,
)

__all__ = ["Commit", "Conflict", "RecordStore", "StoredRecord", "encode_record"]

WRITE_IDS_KEPT = 16
SETTLE_INTERVAL = 0.2


@frozen
class StoredRecord:
    """A record read back.

    Parameters
    ----------
    key : str
    payload : bytes
    revision : int
        Revision of last change; what the next write names.
    write_id : str
    write_ids : tuple of str
        This write's id and those before it, newest first.
    lease : int
    """

    key = field()
    payload = field()
    revision = field()
    write_id = field()
    write_ids = field(default=())
    lease = field(default=0)


@frozen
class Commit:
    """The write took effect, at this revision of the store.

    Notes
    -----
    `revision` is 0 when the write was settled by reading back after later
    writes had followed it.
    """

    revision = field()
    write_id = field()


@frozen
class Conflict:
    """The key had changed, so nothing was written; `current` is what is there."""

    current = field()


class RecordStore:
    """Read and write records in a `Store`.

    Parameters
    ----------
    store : Store
    settle_timeout : float, optional
        Seconds spent on finding out about a write whose answer was lost.
    """

    def __init__(self, store, settle_timeout=6.0):
        self.store = store
        self._settle_timeout = settle_timeout

    async def read(self, key):
        """Return ``Success(StoredRecord or None)``."""
        return (await self.store.get(key)).bind(_decode_optional)

    async def list_prefix(self, prefix, limit=0, start_after="", min_mod_revision=0):
        """Return ``Success(list of StoredRecord)``."""
        found = await self.store.list_prefix(
            prefix, limit, start_after, min_mod_revision=min_mod_revision
        )
        return found.bind(_decode_all)

    async def write(self, key, payload, previous=None, lease=0, extra=()):
        """Write a record if the key is still as it was read.

        Parameters
        ----------
        key : str
        payload : bytes
        previous : StoredRecord, optional
            What was read; None if the key must be absent.
        lease : int, optional
            Lease that the key hangs on.
        extra : iterable of (Condition or Operation), optional
            More conditions and operations of the same transaction.

        Returns
        -------
        returns.result.Result
            ``Success(Commit)``, ``Success(Conflict)``, or ``Failure`` with a
            `StoreError`; a `StoreLostAnswerError` means that even reading
            back did not tell whether the write took effect.
        """
        write_id = uuid.uuid4().hex
        transaction = _make_transaction(key, payload, previous, lease, extra, write_id)
        answer = await self.store.transact(transaction)
        if isinstance(answer, Failure):
            if not isinstance(answer.failure(), StoreLostAnswerError):
                return answer
            return await self._settle(key, write_id, transaction)
        result = answer.unwrap()
        if result.succeeded:
            return Success(Commit(result.revision, write_id))
        return await self._report_conflict(key, write_id)

    async def remove(self, record):
        """Delete a record if it is still as it was read."""
        transaction = Transaction(
            (Condition(record.key, record.revision),), (Operation(record.key),)
        )
        return await self.store.transact(transaction)

    async def _report_conflict(self, key, write_id):
        current = await self.read(key)
        return current.map(lambda record: _judge_conflict(record, write_id))

    async def _settle(self, key, write_id, transaction):
        # A request whose answer was lost may still be on its way, so an
        # unchanged key proves nothing. Sending the same transaction again
        # decides: its condition lets at most one of the two take effect.
        try:
            async with curio.timeout_after(self._settle_timeout):
                return await self._settle_by_repeating(key, write_id, transaction)
        except curio.TaskTimeout:
            return Failure(
                StoreLostAnswerError(
                    f"Whether the write {write_id} took effect is unknown.",
                    step="settle write",
                    peer=key,
                )
            )

    async def _settle_by_repeating(self, key, write_id, transaction):
        while True:
            answer = await self.store.transact(transaction)
            if isinstance(answer, Success):
                result = answer.unwrap()
                if result.succeeded:
                    return Success(Commit(result.revision, write_id))
                current = await self.read(key)
                if isinstance(current, Success):
                    return Success(_judge_conflict(current.unwrap(), write_id))
            await curio.sleep(SETTLE_INTERVAL)


def encode_record(payload, write_id, previous=None):
    """Return a record's bytes, for an operation beside the one that is settled.

    Parameters
    ----------
    payload : bytes
    write_id : str
    previous : StoredRecord, optional
        What it follows.
    """
    earlier = previous.write_ids[: WRITE_IDS_KEPT - 1] if previous else ()
    record = Record(
        write_id=write_id,
        earlier_write_ids=earlier,
        checksum=xxhash.xxh3_64_intdigest(payload),
        payload=payload,
    )
    return record.SerializeToString()


def _make_transaction(key, payload, previous, lease, extra, write_id):
    revision = previous.revision if previous else 0
    conditions = [Condition(key, revision)]
    conditions += [part for part in extra if isinstance(part, Condition)]
    operations = [Operation(key, encode_record(payload, write_id, previous), lease)]
    operations += [part for part in extra if isinstance(part, Operation)]
    return Transaction(conditions, operations)


def _judge_conflict(record, write_id):
    if record is not None and write_id in record.write_ids:
        revision = record.revision if record.write_id == write_id else 0
        return Commit(revision, write_id)
    return Conflict(record)


def _decode_optional(item):
    if item is None:
        return Success(None)
    return _decode(item)


def _decode(item):
    record = Record.FromString(item.value)
    if xxhash.xxh3_64_intdigest(record.payload) != record.checksum:
        return Failure(
            StoreError("The checksum does not match.", step="read", peer=item.key)
        )
    return Success(
        StoredRecord(
            key=item.key,
            payload=record.payload,
            revision=item.mod_revision,
            write_id=record.write_id,
            write_ids=(record.write_id, *record.earlier_write_ids),
            lease=item.lease,
        )
    )


def _decode_all(items):
    records = []
    for item in items:
        decoded = _decode(item)
        if isinstance(decoded, Failure):
            return decoded
        records.append(decoded.unwrap())
    return Success(records)
