"""The keys that a host knows, looked up for each request."""

import hmac

from .records import hash_key

__all__ = ["KeyRing"]


class KeyRing:
    """Keys by hash."""

    def __init__(self):
        self._records = {}

    def __len__(self):
        return len(self._records)

    def replace(self, records):
        """Take `records` as all there are; return those that ended."""
        fresh = {record.key_hash: record for record in records}
        ended = [
            record
            for key_hash, record in self._records.items()
            if not record.withdrawn_at and not _is_good(fresh.get(key_hash))
        ]
        self._records = fresh
        return ended

    def find(self, key):
        """Return the `KeyRecord` of a good key, or None."""
        key_hash = hash_key(key)
        record = self._records.get(key_hash)
        if not _is_good(record):
            return None
        # The look-up already compared hashes; this comparison keeps the time
        # of the last step from telling anything about the stored one.
        if not hmac.compare_digest(record.key_hash, key_hash):
            return None
        return record

    def is_good(self, key_hash):
        """Return whether the key with this hash still works."""
        return _is_good(self._records.get(key_hash))


def _is_good(record):
    return record is not None and not record.withdrawn_at
