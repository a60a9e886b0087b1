"""Callers' keys: how they are made, stored, checked, granted and withdrawn."""

from .guard import KeyGuard, KeyWithdrawnCancel
from .records import KeyRecord, hash_key, make_key
from .replica import KeyReplica
from .ring import KeyRing
from .store import KeyStore, KeyWrite
from .trust import KeyTrust

__all__ = [
    "KeyGuard",
    "KeyRecord",
    "KeyReplica",
    "KeyRing",
    "KeyStore",
    "KeyTrust",
    "KeyWithdrawnCancel",
    "KeyWrite",
    "hash_key",
    "make_key",
]
