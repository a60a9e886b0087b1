"""A store as the host of the scenarios of streams reads it."""

from collections import Counter, defaultdict

import curio
import orjson
from returns.result import Failure, Success

from mangogauge.store import KeyValue, Snapshot, StoreUnavailableError

__all__ = [
    "ENDPOINTS_PREFIX",
    "NO_NEWER_COPY",
    "READ_SECONDS",
    "VersionsFeed",
    "VersionsStore",
]

ENDPOINTS_PREFIX = "endpoints/"
# Age of the newer copy that another host has, if none has one.
NO_NEWER_COPY = float("inf")
SILENCE_SECONDS = 3600.0
READ_SECONDS = 0.02


class VersionsFeed:
    """A feed that counts how often each prefix is read.

    Attributes
    ----------
    items : dict of str to list of KeyValue
        By prefix.
    reads : Counter
        By prefix.
    silent : set of str
        Prefixes whose reads get no answer.
    away : bool
        Whether all reads fail at once.
    """

    def __init__(self):
        self.items = defaultdict(list)
        self.reads = Counter()
        self.silent = set()
        self.away = False

    async def read_snapshot(self, prefix, start_after=""):
        self.reads[prefix] += 1
        await curio.sleep(SILENCE_SECONDS if prefix in self.silent else READ_SECONDS)
        if self.away:
            return Failure(StoreUnavailableError("away"))
        return Success(Snapshot(self.items[prefix], 1))


class VersionsStore:
    """A store that holds the record of versions only."""

    def __init__(self):
        self.versions = []
        self.away = False

    async def get(self, key):
        if self.away:
            return Failure(StoreUnavailableError("away"))
        return Success(KeyValue(key, orjson.dumps(self.versions)))
