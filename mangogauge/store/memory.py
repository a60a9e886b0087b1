"""A store within one process, for embedding and for tests."""

import curio
from returns.result import Failure, Success

from ..clock import SystemClock
from .base import ChangeFeed, Changes, Lease, Snapshot, Store, StoreRefusedError
from .keyspace import Keyspace

__all__ = ["MemoryStore"]

WATCH_INTERVAL = 0.01


class MemoryStore(Store, ChangeFeed):
    """A `Store` whose contents live in this process.

    Parameters
    ----------
    clock : Clock, optional
    limits : StoreLimits, optional
        By default there are none.
    """

    def __init__(self, clock=None, limits=None):
        self._clock = clock or SystemClock()
        self.limits = limits
        self.keyspace = Keyspace(self._clock)

    async def get(self, key):
        """Return ``Success(KeyValue or None)``."""
        return Success(self.keyspace.get(key))

    async def list_prefix(
        self, prefix, limit=0, start_after="", keys_only=False, min_mod_revision=0
    ):
        """Return ``Success(list of KeyValue)`` in order of keys."""
        start = start_after + "\0" if start_after else prefix
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return Success(self.keyspace.get_range(start, end, limit, min_mod_revision))

    async def transact(self, transaction):
        """Return ``Success(TransactionResult)``."""
        excess = self.limits and self.limits.find_excess(transaction)
        if excess:
            return Failure(excess)
        try:
            return Success(self.keyspace.transact(transaction))
        except KeyError as error:
            return Failure(StoreRefusedError(str(error), step="transact"))

    async def grant_lease(self, seconds):
        """Return ``Success(Lease)``."""
        now = self._clock.read_elapsed()
        return Success(
            Lease(self.keyspace.grant_lease(seconds), seconds, now + seconds)
        )

    async def renew_lease(self, lease):
        """Return ``Success(Lease)``, or a refusal if it has lapsed."""
        now = self._clock.read_elapsed()
        seconds = self.keyspace.renew_lease(lease.lease_id)
        if not seconds:
            return Failure(
                StoreRefusedError("The lease has lapsed.", step="renew lease")
            )
        return Success(Lease(lease.lease_id, seconds, now + seconds))

    async def revoke_lease(self, lease):
        """Return ``Success(None)``."""
        self.keyspace.revoke_lease(lease.lease_id)
        return Success(None)

    async def watch(self, prefix, start_revision=0):
        """Yield changes under `prefix` from `start_revision` on."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        following = start_revision or self.keyspace.revision + 1
        while True:
            for event in self.keyspace.read_history(prefix, end, following):
                yield event
            following = self.keyspace.revision + 1
            await curio.sleep(WATCH_INTERVAL)

    async def read_snapshot(self, prefix, start_after=""):
        """Return ``Success(Snapshot)``."""
        listed = await self.list_prefix(prefix, start_after=start_after)
        return listed.map(lambda items: Snapshot(items, self.keyspace.revision))

    async def read_changes(self, prefix, revision, wait_seconds):
        """Return ``Success(Changes)`` that followed `revision`."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        until = self._clock.read_elapsed() + wait_seconds
        while True:
            self.keyspace.expire_leases()
            events = self.keyspace.read_history(prefix, end, revision + 1)
            if events or self._clock.read_elapsed() >= until:
                return Success(Changes(events, self.keyspace.revision))
            await curio.sleep(WATCH_INTERVAL)
