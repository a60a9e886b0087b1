"""The batch specification's actions over the real `RecordStore`.

The rules are the actions of `specification.batch`. A lease may end at any time,
so a claim is always possible.
"""

import curio
import orjson
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mangogauge.clock import ManualClock
from mangogauge.store import Commit, RecordStore, records

from .stores import Fate, LossyStore

CHUNK = "chunk"
ITEMS = 3
EPOCHS_BEFORE_CANCEL = 3
HOSTS = st.integers(0, 1)
ITEM_SETS = st.sets(st.integers(0, ITEMS - 1), min_size=1)
FATES = st.lists(st.sampled_from(Fate), max_size=3)


class BatchMachine(RuleBasedStateMachine):
    """Two hosts claim, run and commit one chunk over a store that loses answers."""

    fenced = True

    def __init__(self):
        super().__init__()
        records.SETTLE_INTERVAL = 0
        self.kernel = curio.Kernel()
        self.store = LossyStore(ManualClock())
        self.records = RecordStore(self.store)
        self.held = {}
        self.ran = {0: set(), 1: set()}
        self.confirmed = set()
        self.cancelled = False
        self._write({"epoch": 0, "results": [], "cancelled": False}, None)

    @rule(host=HOSTS, fates=FATES)
    def claim(self, host, fates):
        chunk, stored = self._read()
        if chunk["cancelled"]:
            return
        fresh = {**chunk, "epoch": chunk["epoch"] + 1}
        if self._write(fresh, stored, fates):
            self.held[host] = (fresh["epoch"], self._read()[1])
            self.ran[host] = set()

    @rule(host=HOSTS, items=ITEM_SETS, fates=FATES)
    def run_and_commit(self, host, items, fates):
        if host not in self.held:
            return
        self.ran[host] |= items
        epoch, seen = self.held[host]
        chunk, current = self._read()
        if self.fenced:
            if chunk["epoch"] != epoch:
                del self.held[host]
                return
            current, chunk = seen, orjson.loads(seen.payload)
        done = {item for item, _ in chunk["results"]}
        items = self.ran[host] - done if self.fenced else self.ran[host]
        results = chunk["results"] + [[item, epoch] for item in sorted(items)]
        if self._write({**chunk, "results": results}, current, fates):
            self.confirmed |= items
            self.held[host] = (epoch, self._read()[1])
        else:
            self.held.pop(host)

    @rule(fates=FATES)
    def cancel(self, fates):
        chunk, stored = self._read()
        if chunk["epoch"] < EPOCHS_BEFORE_CANCEL:
            return
        if self._write({**chunk, "cancelled": True}, stored, fates):
            self.cancelled = True

    @rule()
    def deliver_late(self):
        self.kernel.run(self.store.deliver_late)

    @rule(host=HOSTS)
    def die(self, host):
        self.held.pop(host, None)

    @invariant()
    def no_item_completes_twice(self):
        items = [item for item, _ in self._read()[0]["results"]]
        assert len(items) == len(set(items)), items

    @invariant()
    def no_result_is_lost(self):
        assert self.confirmed <= {item for item, _ in self._read()[0]["results"]}

    @invariant()
    def a_cancelled_job_stays_so(self):
        assert self._read()[0]["cancelled"] or not self.cancelled

    def teardown(self):
        self.kernel.run(shutdown=True)

    def _read(self):
        stored = self.kernel.run(self.records.read, CHUNK).unwrap()
        return orjson.loads(stored.payload), stored

    def _write(self, value, previous, fates=()):
        self.store.fates = list(fates)
        written = self.kernel.run(
            self.records.write, CHUNK, orjson.dumps(value), previous
        )
        self.store.fates = []
        return isinstance(written.unwrap(), Commit)


class UnfencedBatchMachine(BatchMachine):
    """The mutation "commit without epoch": hosts commit on a fresh revision."""

    fenced = False
