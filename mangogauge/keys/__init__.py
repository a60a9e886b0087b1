"""Callers' API keys: creation, storage, authentication and withdrawal."""

from .records import KeyRecord, hash_key, make_key
from .replica import KeyReplica
from .ring import KeyRing
from .store import KeyStore, KeyWrite
from .task_tracker import KeyTaskTracker, KeyWithdrawnCancel
from .trust import KeyTrust

__all__ = [
    "KeyRecord",
    "KeyReplica",
    "KeyRing",
    "KeyStore",
    "KeyTaskTracker",
    "KeyTrust",
    "KeyWithdrawnCancel",
    "KeyWrite",
    "hash_key",
    "make_key",
]
