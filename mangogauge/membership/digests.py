"""Short names of members in digests."""

from functools import lru_cache

import xxhash

__all__ = ["hash_name"]

CACHED_NAMES = 4096


@lru_cache(maxsize=CACHED_NAMES)
def hash_name(name):
    """Return 32 bits that stand for a member's name within a data centre.

    Notes
    -----
    Should two names ever share them, the peers send each other the states of
    both with each exchange, which costs bytes and does no harm.
    """
    return xxhash.xxh32_intdigest(name.encode())
