"""A store for features of batch jobs: lossy, away, or with copies that are old."""

from returns.result import Failure, Success

from features.machines.stores import LossyStore
from mangogauge.clock import ManualClock
from mangogauge.store import Snapshot, StoreUnavailableError

__all__ = ["TickingClock", "UnreliableStore"]


class UnreliableStore(LossyStore):
    """A lossy store that can also be away, and counts its calls."""

    def __init__(self, clock):
        super().__init__(clock)
        self.unavailable = False
        self.calls = 0
        # What reads that a copy may answer see; None for the newest state.
        self.stale_copy = None

    async def transact(self, transaction):
        self.calls += 1
        if self.unavailable:
            return Failure(StoreUnavailableError("away", step="transact"))
        return await super().transact(transaction)

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


class TickingClock(ManualClock):
    """Goes on a little each time it is read, as a clock does."""

    def read_elapsed(self):
        self.advance(0.01)
        return super().read_elapsed()
