"""Delete closed jobs from the store after their retention."""

import curio
from returns.result import Failure

from ..store import Operation, Transaction
from ..telemetry import get_logger
from .keys import (
    CANCELLED,
    CLOSED_PREFIX,
    make_job_prefix,
    make_work_key,
    split_closed_key,
)

__all__ = ["JobRetention"]

SWEEP_SECONDS = 30.0
# Requests of readers may still be in flight when the retention ends.
MARGIN_SECONDS = 30.0
KEYS_PER_WRITE = 30

log = get_logger("retention")


class JobRetention:
    """Deletes closed jobs from the store; only one host does so at a time.

    Parameters
    ----------
    store : Store
    feed : ChangeFeed
    members : MemberDirectory
    clock : Clock
    retention_seconds : float
        How long a job can be read after it was closed.
    """

    def __init__(self, store, feed, members, clock, retention_seconds):
        self._store = store
        self._feed = feed
        self._members = members
        self._clock = clock
        self._retention_seconds = retention_seconds

    async def run(self):
        """Sweep every `SWEEP_SECONDS` while this is the first host that runs items."""
        while True:
            await curio.sleep(SWEEP_SECONDS)
            if self._members.list_runners()[:1] == [self._members.own.name]:
                await self.sweep()

    async def sweep(self):
        """Delete all jobs whose retention has ended."""
        snapshot = await self._feed.read_snapshot(CLOSED_PREFIX)
        if isinstance(snapshot, Failure):
            log.warning("sweep failed", extra={"reason": str(snapshot.failure())})
            return
        cutoff = self._clock.read_calendar() - self._retention_seconds - MARGIN_SECONDS
        for item in snapshot.unwrap().items:
            closed_at, job_id = split_closed_key(item.key)
            if closed_at < cutoff and await self._delete_job(job_id):
                await self._delete_keys([item.key])
                log.info("job deleted", extra={"job": job_id})

    async def _delete_job(self, job_id):
        """Delete a job's keys; return whether all are deleted."""
        snapshot = await self._feed.read_snapshot(make_job_prefix(job_id))
        if isinstance(snapshot, Failure):
            return False
        keys = [item.key for item in snapshot.unwrap().items]
        keys.append(make_work_key(job_id, CANCELLED))
        for start in range(0, len(keys), KEYS_PER_WRITE):
            if not await self._delete_keys(keys[start : start + KEYS_PER_WRITE]):
                return False
        return True

    async def _delete_keys(self, keys):
        operations = [Operation(key) for key in keys]
        answer = await self._store.transact(Transaction((), operations))
        return not isinstance(answer, Failure)
