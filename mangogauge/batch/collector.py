"""Remove what is past its retention, and uploads that were never finished.

One host at a time collects, the holder of a key that hangs on a lease.
"""

import curio
from returns.result import Failure, Success

from ..daemon.parts import HostPart
from ..store import Condition, Operation, Transaction
from ..telemetry import get_logger
from .files import FileRecord
from .jobs import Job
from .keys import (
    EXPIRY_PREFIX,
    INPUT_PREFIX,
    RESULTS_PREFIX,
    WORK_PREFIX,
    make_account_key,
    make_expiry_key,
    make_file_key,
    make_input_key,
    make_job_key,
    make_open_key,
)

__all__ = ["Collector"]

HOLDER_KEY = "collector"
KEYED_EXPIRY_PREFIX = "key-expiry/"
DELETES_PER_WRITE = 100
NOTES_PER_READ = 50
PAUSE_BETWEEN_WRITES = 0.05
ROUNDS_PER_RETENTION = 20
LONGEST_ROUND_SECONDS = 60.0
# An upload may take so long; its chunks are left alone for twice that.
UPLOAD_MARGIN = 2

log = get_logger("collector")


class Collector(HostPart):
    """Collects while this host holds the collector's lease.

    Parameters
    ----------
    host : str
    records : RecordStore
    clock : Clock
    random : random.Random
    """

    def __init__(self, host, records, clock, random):
        self._host = host
        self._records = records
        self._store = records.store
        self._clock = clock
        self._random = random
        self._settings = None
        self._lease = None
        self._uploads_settled = 0
        self._handlers = {"file": self._remove_file, "job": self._remove_job}

    def take_fleet(self, fleet):
        """Put newer settings in force."""
        self._settings = fleet.batch

    async def run(self):
        """Collect in rounds until cancelled."""
        while True:
            await curio.sleep(self._get_pause() * (0.5 + self._random.random()))
            if self._settings is not None and await self._holds_lease():
                await self._collect_expired()
                await self._collect_keyed()
                await self._collect_uploads()

    async def drain(self):
        """Let another host collect."""
        if self._lease is not None:
            await self._store.revoke_lease(self._lease)

    def _get_pause(self):
        if self._settings is None:
            return 1.0
        shortest = min(self._settings.retention_seconds, self._settings.upload_seconds)
        return min(LONGEST_ROUND_SECONDS, shortest / ROUNDS_PER_RETENTION)

    async def _holds_lease(self):
        if self._lease is not None:
            renewed = await self._store.renew_lease(self._lease)
            if not isinstance(renewed, Failure):
                self._lease = renewed.unwrap()
                return True
            self._lease = None
        held = await self._store.get(HOLDER_KEY)
        if isinstance(held, Failure) or held.unwrap() is not None:
            return False
        granted = await self._store.grant_lease(max(5, 3 * self._get_pause()))
        if isinstance(granted, Failure):
            return False
        lease = granted.unwrap()
        operation = Operation(HOLDER_KEY, self._host.encode(), lease.lease_id)
        taken = await self._store.transact(
            Transaction((Condition(HOLDER_KEY, 0),), (operation,))
        )
        if not isinstance(taken, Failure) and taken.unwrap().succeeded:
            self._lease = lease
        return self._lease is not None

    async def _collect_expired(self):
        listed = await self._store.list_prefix(EXPIRY_PREFIX, NOTES_PER_READ)
        for item in listed.value_or([]):
            _, end, kind, name = item.key.split("/", 3)
            if int(end, 16) > self._clock.read_calendar():
                return
            removed = await self._handlers[kind](name, item)
            if isinstance(removed, Failure):
                return
            log.info("removed", extra={"step": kind, "peer": name})

    async def _remove_file(self, file_id, note):
        found = await self._records.read(make_file_key(file_id))
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        if row is None:
            return await self._delete([note.key])
        file = FileRecord.from_bytes(row.payload)
        if file.expires_at > self._clock.read_calendar():
            # A job that uses it has put its end off.
            later = make_expiry_key(file.expires_at, "file", file_id)
            moved = (Operation(later, b"-"), Operation(note.key))
            return await self._store.transact(Transaction((), moved))
        # The record goes first: a job that is just being made of this file
        # names the record's revision, so either it or this write fails.
        removed = await self._store.transact(
            Transaction((Condition(row.key, row.revision),), (Operation(row.key),))
        )
        if isinstance(removed, Failure) or not removed.unwrap().succeeded:
            return Failure(removed)
        chunks = [make_input_key(file.upload_id, n) for n in range(len(file.counts))]
        return await self._delete([*chunks, f"uploads/{file.upload_id}", note.key])

    async def _remove_job(self, job_id, note):
        found = await self._records.read(make_job_key(job_id))
        if isinstance(found, Failure):
            return found
        keys = [note.key]
        if found.unwrap() is not None:
            job = Job.from_bytes(found.unwrap().payload)
            listed = make_account_key(job.account, job.created_at, job_id)
            keys = [make_open_key(job_id), listed, make_job_key(job_id), note.key]
        for prefix in (RESULTS_PREFIX, WORK_PREFIX):
            rows = await self._store.list_prefix(f"{prefix}{job_id}/", keys_only=True)
            if isinstance(rows, Failure):
                return rows
            keys = [row.key for row in rows.unwrap()] + keys
        return await self._delete(keys)

    async def _collect_keyed(self):
        """Remove the answers to keyed calls, a group for each note."""
        listed = await self._store.list_prefix(KEYED_EXPIRY_PREFIX, NOTES_PER_READ)
        for item in listed.value_or([]):
            if int(item.key.split("/")[1], 16) > self._clock.read_calendar():
                return
            if isinstance(
                await self._delete([*item.value.decode().split("\n"), item.key]),
                Failure,
            ):
                return

    async def _collect_uploads(self):
        """Remove chunks of uploads that were begun long ago and not finished."""
        margin = UPLOAD_MARGIN * self._settings.upload_seconds
        oldest = int(self._clock.read_calendar() - margin)
        if oldest <= 0:
            return
        # Ids start with the time: all that were begun before are settled.
        since = max(0, self._uploads_settled)
        listed = await self._store.list_prefix(
            INPUT_PREFIX, start_after=f"{INPUT_PREFIX}{since:08x}", keys_only=True
        )
        groups = {}
        for item in listed.value_or([]):
            upload_id = item.key.split("/")[1]
            if int(upload_id.partition("-")[0], 16) < oldest:
                groups.setdefault(upload_id, []).append(item.key)
        for upload_id, keys in groups.items():
            kept = await self._store.get(f"uploads/{upload_id}")
            if not isinstance(kept, Failure) and kept.unwrap() is None:
                # In order, the first chunk first: putting the file in force
                # names that chunk's revision.
                await self._delete(keys)
        if not isinstance(listed, Failure):
            self._uploads_settled = oldest - 1

    async def _delete(self, keys):
        for start in range(0, len(keys), DELETES_PER_WRITE):
            part = tuple(map(Operation, keys[start : start + DELETES_PER_WRITE]))
            done = await self._store.transact(Transaction((), part))
            if isinstance(done, Failure):
                return done
            await curio.sleep(PAUSE_BETWEEN_WRITES)
        return Success(None)
