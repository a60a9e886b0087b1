"""A store that loses answers, is unavailable, or has stale copies."""

import curio
from returns.result import Failure, Success

from features.machines.stores import LossyStore
from mangogauge.clock import ManualClock
from mangogauge.store import Snapshot, StoreRefusedError, StoreUnavailableError

__all__ = ["FixedClaimer", "TickingClock", "UnreliableStore"]


class UnreliableStore(LossyStore):
    """A lossy store that can also be unavailable, and counts its calls."""

    def __init__(self, clock):
        super().__init__(clock)
        self.unavailable = False
        self.calls = 0
        # State that reads from copies return; None for the newest state.
        self.stale_copy = None
        # Writes of keys with this prefix are refused.
        self.refused_prefix = None
        self.refused = 0
        # Seconds that each write takes.
        self.delay = 0.0

    async def transact(self, transaction):
        self.calls += 1
        if self.delay:
            await curio.sleep(self.delay)
        if self.unavailable:
            return Failure(StoreUnavailableError("unavailable", step="transact"))
        if self._refuses(transaction):
            answer = Failure(StoreRefusedError("no such key", step="transact"))
        else:
            answer = await super().transact(transaction)
        if isinstance(answer, Failure):
            self.refused += isinstance(answer.failure(), StoreRefusedError)
        return answer

    def _refuses(self, transaction):
        return self.refused_prefix is not None and any(
            operation.key.startswith(self.refused_prefix)
            for operation in transaction.operations
        )

    async def get(self, key):
        self.calls += 1
        return await super().get(key)

    async def read_snapshot(self, prefix, start_after=""):
        self.calls += 1
        return await super().read_snapshot(prefix, start_after)

    async def get_constant(self, key):
        found = (self.stale_copy or self.keyspace).get(key)
        return Success(found) if found is not None else await self.get(key)

    async def read_copy(self, prefix, start_after=""):
        keyspace = self.stale_copy or self.keyspace
        items = keyspace.get_range(start_after or prefix, prefix[:-1] + "0")
        return Success(Snapshot(items, keyspace.revision))


class FixedClaimer:
    """Claimer of a fixed set of jobs, until they are closed or lost."""

    stopped = False

    def __init__(self, jobs):
        self.jobs = {job.job_id: job for job in jobs}

    def list_jobs(self):
        return list(self.jobs.values())

    def drop(self, job):
        del self.jobs[job.job_id]

    async def abandon(self, job):
        self.drop(job)


class TickingClock(ManualClock):
    """Advances by 10 ms each time it is read, as if the reading code took time."""

    def read_elapsed(self):
        self.advance(0.01)
        return super().read_elapsed()
