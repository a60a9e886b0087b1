"""Hashes that replace members' names in digests."""

from functools import lru_cache

import xxhash

__all__ = ["hash_name"]

CACHED_NAMES = 4096


@lru_cache(maxsize=CACHED_NAMES)
def hash_name(name):
    """Return a 32-bit hash that identifies a member within a data centre.

    Notes
    -----
    If two names have the same hash, peers send each other the states of both members
    with each exchange, which costs bytes but does no harm.
    """
    return xxhash.xxh32_intdigest(name.encode())
