"""Callers' keys: how they are made, stored, checked, granted and withdrawn."""

from .records import KeyRecord, hash_key, make_key
from .ring import KeyRing
from .store import KeyStore
from .watcher import KeyWatcher

__all__ = ["KeyRecord", "KeyRing", "KeyStore", "KeyWatcher", "hash_key", "make_key"]
