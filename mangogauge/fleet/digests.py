"""Digests by which hosts compare their copies of the store."""

import xxhash

__all__ = ["digest_values"]


def digest_values(values):
    """Return a hexadecimal digest of values that does not depend on their order."""
    texts = sorted(map(repr, values))
    return xxhash.xxh3_64_hexdigest("\n".join(texts).encode())
