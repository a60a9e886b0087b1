"""Key records known to a host, looked up for each request."""

import hmac

from attrs import define, field

from .records import hash_key

__all__ = ["KeyRing"]


@define
class _StoredKey:
    """A key record with its revision and last use."""

    record = field()
    revision = field()
    last_used = field(default=0.0)


class KeyRing:
    """Key records by hash.

    Parameters
    ----------
    clock : Clock
        Source of the time of each key's last use.
    """

    def __init__(self, clock):
        self._clock = clock
        self._keys = {}

    def __len__(self):
        return len(self._keys)

    def update(self, record, revision):
        """Store a record if it is newer; return whether this withdrew the key.

        Parameters
        ----------
        record : KeyRecord
        revision : int
            Revision of the store at which the record was written.
        """
        stored = self._keys.get(record.key_hash)
        if stored is None:
            self._keys[record.key_hash] = _StoredKey(record, revision)
            return bool(record.withdrawn_at)
        if stored.revision >= revision:
            return False
        newly_withdrawn = bool(record.withdrawn_at) and not stored.record.withdrawn_at
        stored.record = record
        stored.revision = revision
        return newly_withdrawn

    def find(self, key):
        """Return the `KeyRecord` of a known key, withdrawn or not, or None."""
        key_hash = hash_key(key)
        stored = self._keys.get(key_hash)
        # The lookup has already compared the hashes. This comparison takes constant
        # time, so that its duration reveals nothing about the stored hash.
        if stored is None or not hmac.compare_digest(stored.record.key_hash, key_hash):
            return None
        if not stored.record.withdrawn_at:
            stored.last_used = self._clock.read_calendar()
        return stored.record

    def list_after(self, revision):
        """Return ``[(KeyRecord, revision)]`` of records newer than `revision`."""
        return [
            (stored.record, stored.revision)
            for stored in self._keys.values()
            if stored.revision > revision
        ]

    def get_last_uses(self):
        """Return the last uses of keys: ``{key id: seconds since the Unix epoch}``."""
        return {
            stored.record.key_id: stored.last_used
            for stored in self._keys.values()
            if stored.last_used
        }
