"""The store's contents in memory: revisions, leases and history.

Both `MemoryStore` and the platform's stand-in rest on it.
"""

from collections import deque

from attrs import define, evolve, field
from sortedcontainers import SortedDict

from .base import KeyValue, TransactionResult, WatchEvent

__all__ = ["Keyspace"]

HISTORY_EVENTS = 100_000


@define
class _LeaseState:
    seconds = field()
    expires = field()
    keys = field(factory=set)


class Keyspace:
    """Keys, values and leases with one revision for the whole.

    Parameters
    ----------
    clock : Clock
        Leases are counted by it.
    """

    def __init__(self, clock):
        self._clock = clock
        self._items = SortedDict()
        self._leases = {}
        self._next_lease = 1
        self.revision = 1
        self.history = deque(maxlen=HISTORY_EVENTS)

    def get_range(self, start, end, limit=0, min_mod_revision=0):
        """Return the keys from `start` up to, but without, `end`."""
        self.expire_leases()
        found = []
        for key in self._items.irange(start, end, inclusive=(True, False)):
            item = self._items[key]
            if item.mod_revision < min_mod_revision:
                continue
            found.append(item)
            if limit and len(found) >= limit:
                break
        return found

    def get(self, key):
        """Return one `KeyValue`, or None."""
        self.expire_leases()
        return self._items.get(key)

    def transact(self, transaction):
        """Apply `transaction` if its conditions hold."""
        self.expire_leases()
        if not all(self._holds(condition) for condition in transaction.conditions):
            found = [self._items.get(c.key) for c in transaction.conditions]
            current = [item for item in found if item is not None]
            return TransactionResult(False, self.revision, current)
        if any(o.lease and o.lease not in self._leases for o in transaction.operations):
            raise KeyError("requested lease not found")
        self.revision += 1
        for operation in transaction.operations:
            self._apply(operation)
        return TransactionResult(True, self.revision)

    def grant_lease(self, seconds):
        """Return the id of a new lease."""
        lease_id = self._next_lease
        self._next_lease += 1
        now = self._clock.read_elapsed()
        self._leases[lease_id] = _LeaseState(seconds, now + seconds)
        return lease_id

    def renew_lease(self, lease_id):
        """Return the seconds a renewed lease lives; 0 if it has lapsed."""
        self.expire_leases()
        state = self._leases.get(lease_id)
        if state is None:
            return 0
        state.expires = self._clock.read_elapsed() + state.seconds
        return state.seconds

    def revoke_lease(self, lease_id):
        """Delete a lease and the keys that hang on it."""
        state = self._leases.pop(lease_id, None)
        if state is None:
            return False
        self._delete_keys(state.keys)
        return True

    def expire_leases(self, everything=False):
        """Delete the keys of lapsed leases, or of all leases."""
        now = self._clock.read_elapsed()
        lapsed = [i for i, s in self._leases.items() if everything or s.expires <= now]
        for lease_id in lapsed:
            self.revoke_lease(lease_id)
        return len(lapsed)

    def read_history(self, start, end, start_revision):
        """Return events of keys within the range from `start_revision` on."""
        return [
            event
            for event in self.history
            if event.mod_revision >= start_revision and start <= event.key < end
        ]

    def _holds(self, condition):
        item = self._items.get(condition.key)
        return (item.mod_revision if item else 0) == condition.mod_revision

    def _apply(self, operation):
        old = self._items.get(operation.key)
        if operation.value is None:
            self._remove(old)
            return
        created = old.create_revision if old else self.revision
        self._detach(old)
        item = KeyValue(
            operation.key, operation.value, created, self.revision, operation.lease
        )
        self._items[operation.key] = item
        if operation.lease:
            self._leases[operation.lease].keys.add(operation.key)
        self.history.append(WatchEvent(item.key, item.value, self.revision))

    def _remove(self, item):
        if item is None:
            return
        self._detach(item)
        del self._items[item.key]
        self.history.append(WatchEvent(item.key, None, self.revision))

    def _detach(self, item):
        if item is not None and item.lease in self._leases:
            self._leases[item.lease].keys.discard(item.key)

    def _delete_keys(self, keys):
        if not keys:
            return
        self.revision += 1
        for key in list(keys):
            item = self._items.get(key)
            if item is not None:
                self._remove(evolve(item, lease=0))
