"""Stored form of a key: its hash, client account and label."""

import hashlib
import secrets

import orjson
from attrs import asdict, field, frozen

__all__ = ["KeyRecord", "hash_key", "make_key"]

KEY_PREFIX = "mg-"
KEY_BYTES = 32


def make_key():
    """Return a new random key; it is shown to the operator only once."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key):
    """Return the hash under which `key` is stored.

    Notes
    -----
    Keys are long and random, so a fast hash is enough. A slow password hash would
    only delay each request.
    """
    return hashlib.sha256(key.encode()).hexdigest()


@frozen
class KeyRecord:
    """A granted key.

    Parameters
    ----------
    key_hash : str
    account : str
        Client account that the key authenticates.
    label : str
    granted_at : float
        Seconds since the Unix epoch.
    withdrawn_at : float
        Seconds since the Unix epoch; 0 while the key is valid.
    """

    key_hash = field()
    account = field()
    label = field(default="")
    granted_at = field(default=0.0)
    withdrawn_at = field(default=0.0)

    @property
    def key_id(self):
        """Short identifier for operators, which doesn't reveal the key."""
        return self.key_hash[:12]

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        return cls(**orjson.loads(data))

    def to_bytes(self):
        """Encode the record for the platform's store."""
        return orjson.dumps(asdict(self))
