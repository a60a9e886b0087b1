"""Keys in the platform's store."""

from attrs import evolve
from returns.result import Failure, Success

from ..platform import Conflict, StoreRefusedError
from .records import KeyRecord, hash_key, make_key

__all__ = ["KEYS_PREFIX", "KeyStore"]

KEYS_PREFIX = "keys/"


class KeyStore:
    """Grant, withdraw and list keys.

    Parameters
    ----------
    records : RecordStore
    clock : Clock
    """

    def __init__(self, records, clock):
        self._records = records
        self._clock = clock

    async def grant(self, account, label=""):
        """Return ``Success((key, KeyRecord))``; the key itself is not stored."""
        key = make_key()
        record = KeyRecord(hash_key(key), account, label, self._clock.read_calendar())
        written = await self._records.write(
            KEYS_PREFIX + record.key_hash, record.to_bytes()
        )
        return written.map(lambda commit: (key, record))

    async def list_all(self):
        """Return ``Success(list of KeyRecord)``, withdrawn ones included."""
        found = await self._records.list_prefix(KEYS_PREFIX)
        return found.map(lambda rows: [KeyRecord.from_bytes(r.payload) for r in rows])

    async def withdraw(self, key_id):
        """Record that a key no longer works; return ``Success(KeyRecord)``."""
        found = await self._records.list_prefix(KEYS_PREFIX + key_id)
        if isinstance(found, Failure):
            return found
        rows = found.unwrap()
        if len(rows) != 1:
            message = f"{len(rows)} keys start with {key_id!r}."
            return Failure(StoreRefusedError(message, step="withdraw key"))
        return await self._write_withdrawal(rows[0])

    async def _write_withdrawal(self, row):
        record = KeyRecord.from_bytes(row.payload)
        if record.withdrawn_at:
            return Success(record)
        ended = evolve(record, withdrawn_at=self._clock.read_calendar())
        written = await self._records.write(row.key, ended.to_bytes(), row)
        if isinstance(written, Failure):
            return written
        outcome = written.unwrap()
        if isinstance(outcome, Conflict):
            return await self.withdraw(record.key_hash)
        return Success(ended)
