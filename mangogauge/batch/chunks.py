"""The state of a chunk, and the ledger that its owner keeps of it."""

import uuid

import orjson
from attrs import asdict, evolve, field, frozen

from .jobs import JobCounts

__all__ = ["ChunkLedger", "ChunkState", "sum_counts"]


@frozen
class ChunkState:
    """What is committed of a chunk.

    Parameters
    ----------
    epoch : int
        Grows with each claim; the number that fences earlier owners.
    owner : str
        Host of that claim.
    done, intended : int
        Bit sets of items: those that have a result, and those, of the ones
        that may not be repeated, that may have been run.
    groups : int
        Groups of results.
    counts : JobCounts
    """

    epoch = field(default=0)
    owner = field(default="")
    done = field(default=0)
    intended = field(default=0)
    groups = field(default=0)
    counts = field(factory=JobCounts)

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        value = orjson.loads(data)
        return cls(
            epoch=value["epoch"],
            owner=value["owner"],
            done=int(value["done"], 16),
            intended=int(value["intended"], 16),
            groups=value["groups"],
            counts=JobCounts(**value["counts"]),
        )

    def to_bytes(self):
        """Encode for the platform's store."""
        value = {**asdict(self), "done": f"{self.done:x}"}
        return orjson.dumps({**value, "intended": f"{self.intended:x}"})

    def is_finished(self, total):
        """Return whether all of `total` items have a result."""
        return self.done.bit_count() >= total

    def claim(self, owner):
        """Return the state after another claim."""
        return evolve(self, epoch=self.epoch + 1, owner=owner)


def sum_counts(counts):
    """Return the sum of several `JobCounts`."""
    total = {}
    for one in counts:
        for name, value in asdict(one).items():
            total[name] = total.get(name, 0) + value
    return JobCounts(**total)


class ChunkLedger:
    """Which items of a claimed chunk wait, run, and have a result.

    It takes one result for each item: that of the attempt it began last.
    Answers of earlier attempts, doubled ones, and those of items that have a
    result already are dropped.

    Parameters
    ----------
    total : int
        Items in the chunk.
    state : ChunkState
        As it was claimed.

    Examples
    --------
    >>> from mangogauge.batch.items import ItemResult
    >>> ledger = ChunkLedger(2, ChunkState())
    >>> first = ledger.begin(0)
    >>> second = ledger.begin(0)
    >>> ledger.accept(first, ItemResult(0, True, b"{}"))
    False
    >>> ledger.accept(second, ItemResult(0, True, b"{}"))
    True
    >>> ledger.accept(second, ItemResult(0, True, b"{}"))
    False
    """

    def __init__(self, total, state):
        self.total = total
        self.state = state
        self.results = {}
        self.wanted_intents = set()
        self.is_closing = False
        self._running = {}
        self._waiting = [i for i in reversed(range(total)) if not self._has(i)]

    @property
    def is_finished(self):
        """Whether every item's result is committed."""
        return self.state.is_finished(self.total)

    @property
    def has_all_results(self):
        """Whether every item has a result, committed or not."""
        return self.state.done.bit_count() + len(self.results) >= self.total

    @property
    def is_dirty(self):
        """Whether something waits to be committed."""
        unused = self.is_closing and self._find_unused_intents()
        return bool(self.results or self.wanted_intents or unused)

    @property
    def waiting_count(self):
        """Number of items that could be started."""
        return len(self._waiting)

    @property
    def running_count(self):
        """Number of items that run."""
        return len(self._running)

    def list_lost(self):
        """Return items that may have been run before, without a known outcome."""
        return [i for i in self._waiting if self.state.intended >> i & 1]

    def take_next(self):
        """Return the next item to start, or None."""
        while self._waiting:
            index = self._waiting.pop()
            if not self.has_result(index):
                return index
        return None

    def put_back(self, index):
        """Let an item be started once more."""
        self._running.pop(index, None)
        self._waiting.append(index)

    def stop(self, index):
        """Note that an item's attempt has ended without a result."""
        self._running.pop(index, None)

    def begin(self, index):
        """Note that an item starts; return the attempt's id."""
        self._running[index] = uuid.uuid4().hex
        return self._running[index]

    def accept(self, attempt_id, result):
        """Keep a result; return whether it is the item's one result."""
        index = result.index
        if self._running.get(index) != attempt_id or index in self.results:
            return False
        self._running.pop(index)
        if self._has(index):
            return False
        self.results[index] = result
        return True

    def settle(self, result):
        """Keep the result of an item that is not to be run."""
        self.results.setdefault(result.index, result)

    def has_result(self, index):
        """Return whether an item has a result, committed or not."""
        return self._has(index) or index in self.results

    def has_intent(self, index):
        """Return whether it is committed that the item may be run."""
        return bool(self.state.intended >> index & 1)

    def close(self):
        """Start nothing more, and let the next owner run what was not run.

        An item that has an intent, but neither a result nor an attempt that
        runs, was then certainly not run.
        """
        self.is_closing = True
        self.wanted_intents.clear()

    def make_next_state(self, results, intents):
        """Return the state once `results` and `intents` are committed."""
        done, intended = self.state.done, self.state.intended
        for result in results:
            done |= 1 << result.index
        for index in intents:
            intended |= 1 << index
        if self.is_closing:
            intended &= ~self._find_unused_intents()
        counts = sum_counts([self.state.counts, *map(_count_result, results)])
        groups = self.state.groups + bool(results)
        return evolve(
            self.state, done=done, intended=intended, groups=groups, counts=counts
        )

    def commit(self, state, results, intents):
        """Take in that the platform has `state`."""
        self.state = state
        for result in results:
            self.results.pop(result.index, None)
        self.wanted_intents -= set(intents)

    def _find_unused_intents(self):
        unused = self.state.intended & ~self.state.done
        for index in (*self.results, *self._running):
            unused &= ~(1 << index)
        return unused

    def _has(self, index):
        return bool(self.state.done >> index & 1)


def _count_result(result):
    size = len(result.line) + 1
    if result.good:
        return JobCounts(1, 0, size, 0, result.tokens)
    return JobCounts(0, 1, 0, size, result.tokens)
