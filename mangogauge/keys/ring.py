"""The keys that a host knows, looked up for each request."""

import hmac

from attrs import define, field

from .records import hash_key

__all__ = ["KeyRing"]


@define
class _Held:
    """A key on the ring."""

    record = field()
    revision = field()
    last_used = field(default=0.0)


class KeyRing:
    """Keys by hash.

    Parameters
    ----------
    clock : Clock
        Stamps the last use of each key.
    """

    def __init__(self, clock):
        self._clock = clock
        self._held = {}

    def __len__(self):
        return len(self._held)

    def take(self, record, revision):
        """Take a record in if it is newer; return whether that ended the key.

        Parameters
        ----------
        record : KeyRecord
        revision : int
            Revision of the store at which the record was written.
        """
        held = self._held.get(record.key_hash)
        if held is None:
            self._held[record.key_hash] = _Held(record, revision)
            return bool(record.withdrawn_at)
        if held.revision >= revision:
            return False
        ended = bool(record.withdrawn_at) and not held.record.withdrawn_at
        held.record = record
        held.revision = revision
        return ended

    def find(self, key):
        """Return the `KeyRecord` of a known key, withdrawn or not, or None."""
        key_hash = hash_key(key)
        held = self._held.get(key_hash)
        # The look-up already compared hashes; this comparison keeps the time
        # of the last step from telling anything about the stored one.
        if held is None or not hmac.compare_digest(held.record.key_hash, key_hash):
            return None
        if not held.record.withdrawn_at:
            held.last_used = self._clock.read_calendar()
        return held.record

    def list_after(self, revision):
        """Return ``[(KeyRecord, revision)]`` of records newer than `revision`."""
        return [
            (held.record, held.revision)
            for held in self._held.values()
            if held.revision > revision
        ]

    def list_uses(self):
        """Return ``{key id: seconds since the Unix epoch}`` of used keys."""
        return {
            held.record.key_id: held.last_used
            for held in self._held.values()
            if held.last_used
        }
