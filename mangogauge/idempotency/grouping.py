"""Group many small conditional writes into few transactions of the platform."""

import curio
from attrs import define, field, frozen
from returns.result import Failure, Success

from ..store import (
    Condition,
    Operation,
    StoreLostAnswerError,
    Transaction,
    encode_record,
)

__all__ = ["GroupWriter", "KeyWrite", "WriteOutcome"]

MAX_GROUP_WRITES = 40
MAX_GROUP_BYTES = 800_000
LOST_ANSWER_RETRIES = 8
LOST_ANSWER_PAUSE_SECONDS = 0.2
EXPIRY_PREFIX = "key-expiry/"


@frozen
class KeyWrite:
    """Compare-and-swap: write `payload` at `key` if its revision is `revision`.

    Parameters
    ----------
    key : str
    payload : bytes
        Unique to this write, so that reading the key back shows whether this write
        took effect; empty to delete the key.
    revision : int, optional
        Expected revision; 0 if the key must be absent.
    """

    key = field()
    payload = field()
    revision = field(default=0)


@frozen
class WriteOutcome:
    """Result of a `KeyWrite`.

    Parameters
    ----------
    written : bool
    revision : int
        Revision of the key; 0 if it is absent or unknown.
    current : bytes
        The stored payload if the write was refused.
    """

    written = field()
    revision = field(default=0)
    current = field(default=b"")


@define(eq=False)
class _PendingWrite:
    write = field()
    done = field(factory=curio.Event)
    result = field(default=None)


class GroupWriter:
    """Collects writes and sends them in groups.

    The first write after an idle period is sent at once; writes that follow within
    `interval` seconds share the next transaction.

    Parameters
    ----------
    records : RecordStore
    clock : Clock
    name : str
        Name of this host; part of the keys of expiry entries.

    Attributes
    ----------
    interval : float
        Least time between two transactions, in seconds.
    retention_seconds : float
        How long a created key is kept.
    calls, writes : int
        Number of groups that were sent, and of the writes in them.
    """

    def __init__(self, records, clock, name):
        self._records = records
        self._clock = clock
        self._name = name
        self._pending = []
        self._wake_event = curio.Event()
        self.interval = 0.1
        self.retention_seconds = 86_400.0
        self.calls = 0
        self.writes = 0

    async def write(self, write):
        """Return ``Success(WriteOutcome)``, or the store's failure."""
        pending = _PendingWrite(write)
        self._pending.append(pending)
        await self._wake_event.set()
        await pending.done.wait()
        return pending.result

    async def run(self):
        """Send groups until cancelled."""
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            while self._pending:
                group = self._take_group()
                await self._send(group)
                await curio.sleep(self.interval)

    def _take_group(self):
        """Remove and return pending writes to distinct keys that fit into one call."""
        group, remaining, keys, size = [], [], set(), 0
        for pending in self._pending:
            write = pending.write
            size += len(write.payload)
            fits = len(group) < MAX_GROUP_WRITES and (
                size <= MAX_GROUP_BYTES or not group
            )
            if fits and write.key not in keys:
                group.append(pending)
                keys.add(write.key)
            else:
                remaining.append(pending)
        self._pending = remaining
        return group

    async def _send(self, group):
        """Send a group; split it in halves while not all of its conditions hold."""
        answer = await self._transact(group)
        if isinstance(answer, Failure):
            await self._finish_all(group, answer)
        elif answer.unwrap().succeeded:
            outcome = WriteOutcome(True, answer.unwrap().revision)
            await self._finish_all(group, Success(outcome))
        elif len(group) > 1:
            middle = len(group) // 2
            await self._send(group[:middle])
            await self._send(group[middle:])
        else:
            await self._finish_all(group, await self._read_back(group[0].write))

    async def _transact(self, group):
        transaction = self._make_transaction([w.write for w in group])
        self.calls += 1
        self.writes += len(group)
        answer = await self._records.store.transact(transaction)
        # The first transaction may still take effect. The conditions let only one
        # of those that are sent succeed, and reading back shows whether one did.
        for _ in range(LOST_ANSWER_RETRIES):
            lost = isinstance(answer, Failure) and isinstance(
                answer.failure(), StoreLostAnswerError
            )
            if not lost:
                return answer
            await curio.sleep(LOST_ANSWER_PAUSE_SECONDS)
            repeated = await self._records.store.transact(transaction)
            answer = repeated if isinstance(repeated, Success) else answer
        return answer

    def _make_transaction(self, writes):
        conditions = [Condition(w.key, w.revision) for w in writes]
        operations = [_make_operation(w) for w in writes]
        created = [w.key for w in writes if w.payload and not w.revision]
        if created:
            expires_at = int(self._clock.read_calendar() + self.retention_seconds)
            # Named after one of the keys, so that repeating it is idempotent.
            expiry_key = f"{EXPIRY_PREFIX}{expires_at:010x}/{self._name}/{created[0]}"
            operations.append(Operation(expiry_key, "\n".join(created).encode()))
        return Transaction(conditions, operations)

    async def _read_back(self, write):
        found = await self._records.read(write.key)
        return found.map(lambda row: _compare_record(row, write))

    async def _finish_all(self, group, result):
        for pending in group:
            pending.result = result
            await pending.done.set()


def _make_operation(write):
    if not write.payload:
        return Operation(write.key)
    return Operation(write.key, encode_record(write.payload, ""))


def _compare_record(row, write):
    if row is None:
        return WriteOutcome(not write.payload)
    if row.payload == write.payload:
        return WriteOutcome(True, row.revision)
    return WriteOutcome(False, row.revision, row.payload)
