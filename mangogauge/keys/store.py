"""Storage of keys on the platform."""

from attrs import evolve, field, frozen
from returns.result import Failure, Success

from ..distribution.replica import CHANGES_PREFIX
from ..store import Conflict, Operation, StoreRefusedError
from .records import KeyRecord, hash_key, make_key

__all__ = ["KEYS_PREFIX", "KeyStore", "KeyWrite"]

KEYS_PREFIX = "keys/"
CHANGES_KEY = CHANGES_PREFIX + "keys"


@frozen
class KeyWrite:
    """A grant or withdrawal that the platform has recorded.

    Parameters
    ----------
    record : KeyRecord
    revision : int
        Revision of the store that a host's replica must reach to know of the write.
    key : str
        The key itself after a grant, which isn't stored anywhere; otherwise empty.
    """

    record = field()
    revision = field()
    key = field(default="", repr=False)


class KeyStore:
    """Grants, withdraws and lists keys.

    Parameters
    ----------
    records : RecordStore
    clock : Clock
    """

    def __init__(self, records, clock):
        self._records = records
        self._clock = clock

    async def grant(self, account, label=""):
        """Create and record a key; return ``Success(KeyWrite)``, or a ``Failure``."""
        key = make_key()
        record = KeyRecord(hash_key(key), account, label, self._clock.read_calendar())
        written = await self._write(record, None)
        if isinstance(written, Failure):
            return written
        return Success(KeyWrite(record, written.unwrap().revision, key))

    async def list_all(self):
        """Return ``Success(list of KeyRecord)``, withdrawn ones included."""
        found = await self._records.list_prefix(KEYS_PREFIX)
        return found.map(lambda rows: [KeyRecord.from_bytes(r.payload) for r in rows])

    async def withdraw(self, key_id):
        """Withdraw a key; return ``Success(KeyWrite)``, or a ``Failure``.

        Parameters
        ----------
        key_id : str
            Identifier of the key, or an unambiguous prefix of it.
        """
        while True:
            found = await self._find(key_id)
            if isinstance(found, Failure):
                return found
            row = found.unwrap()
            record = KeyRecord.from_bytes(row.payload)
            if record.withdrawn_at:
                return Success(KeyWrite(record, row.revision))
            withdrawn_record = evolve(record, withdrawn_at=self._clock.read_calendar())
            written = await self._write(withdrawn_record, row)
            if isinstance(written, Failure):
                return written
            outcome = written.unwrap()
            # Revision 0 means that the write's outcome was determined by reading the
            # record back; the next iteration then finds the record's revision.
            if not isinstance(outcome, Conflict) and outcome.revision:
                return Success(KeyWrite(withdrawn_record, outcome.revision))

    async def _find(self, key_id):
        found = await self._records.list_prefix(KEYS_PREFIX + key_id, limit=2)
        if isinstance(found, Failure):
            return found
        rows = found.unwrap()
        if len(rows) != 1:
            count = "No" if not rows else "More than one"
            message = f"{count} key's id starts with {key_id!r}."
            return Failure(StoreRefusedError(message, step="find key"))
        return Success(rows[0])

    async def _write(self, record, previous):
        change = Operation(CHANGES_KEY, record.key_id.encode())
        return await self._records.write(
            KEYS_PREFIX + record.key_hash, record.to_bytes(), previous, extra=[change]
        )
