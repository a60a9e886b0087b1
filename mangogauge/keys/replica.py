"""Replica of all keys on a host."""

from returns.result import Failure, Success

from ..distribution.replica import Replica
from ..protocol import Method
from ..protocol.distribution_pb2 import FetchRequest, KeyItem, KeysReply
from .records import KeyRecord
from .store import KEYS_PREFIX

__all__ = ["KeyReplica"]

FETCH_METHOD = "/mangogauge.Distribution/FetchKeys"
PAGE_KEYS = 1000


class KeyReplica(Replica):
    """Keeps a `KeyRing` up to date from the platform and from peers.

    Parameters
    ----------
    records : RecordStore
    ring : KeyRing
    key_tasks : KeyTaskTracker
        Cancels the tasks of keys that are withdrawn.
    """

    name = "keys"

    def __init__(self, records, ring, key_tasks):
        self._records = records
        self._ring = ring
        self._key_tasks = key_tasks
        self._known_revision = 0
        self._loaded = False

    @property
    def position(self):
        """Revision of the store up to which all changes are known."""
        return self._known_revision

    @property
    def loaded(self):
        """Whether all keys have been read at least once."""
        return self._loaded

    async def read_platform(self, changed_at):
        """Read the keys that have changed since the last read.

        Parameters
        ----------
        changed_at : int
            Revision of the last change of any key, as known before this read.
        """
        start_after = ""
        while True:
            page = await self._records.list_prefix(
                KEYS_PREFIX, PAGE_KEYS, start_after, self._known_revision + 1
            )
            if isinstance(page, Failure):
                return page
            rows = page.unwrap()
            for row in rows:
                await self._store_record(row.payload, row.revision)
            if len(rows) < PAGE_KEYS:
                break
            start_after = rows[-1].key
        # Every write of a key also writes the change marker whose revision is
        # `changed_at`, so all writes up to it were visible when the pages were read.
        self._advance(changed_at)
        return Success(None)

    async def fetch(self, channel):
        """Fetch from a peer the keys that changed after this replica's position."""
        request = FetchRequest(after=self._known_revision)
        known_revision = 0
        async for reply in channel.stream(FETCH_METHOD, request, KeysReply):
            for item in reply.keys:
                await self._store_record(item.record, item.revision)
            known_revision = reply.through_revision
        self._advance(known_revision)

    def protocol_methods(self):
        """Return the method that peers call to fetch keys."""
        return [Method(FETCH_METHOD, FetchRequest, self._serve_fetch)]

    async def _serve_fetch(self, request, context):
        known_revision = self._known_revision
        newer = self._ring.list_after(request.after)
        for start in range(0, max(1, len(newer)), PAGE_KEYS):
            page = newer[start : start + PAGE_KEYS]
            items = [KeyItem(revision=r, record=k.to_bytes()) for k, r in page]
            await context.send(KeysReply(keys=items, through_revision=known_revision))

    def _advance(self, known_revision):
        self._known_revision = max(self._known_revision, known_revision)
        self._loaded = True

    async def _store_record(self, data, revision):
        record = KeyRecord.from_bytes(data)
        if self._ring.update(record, revision):
            await self._key_tasks.cancel_tasks(record.key_hash)
