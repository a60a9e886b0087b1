"""The batch specification's actions over the real `ChunkStore`.

Two hosts claim, run and commit the chunks of one job over a store that loses
answers; leases end at any time, and hosts go on with what they held.
"""

import curio
from attrs import evolve
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mangogauge.batch.chunks import ChunkState
from mangogauge.batch.commits import ChunkStore, CommitOutcome
from mangogauge.batch.items import ItemResult
from mangogauge.batch.jobs import Job, JobState
from mangogauge.batch.keys import RESULTS_PREFIX, make_job_key, make_state_key
from mangogauge.batch.packing import unpack
from mangogauge.clock import ManualClock
from mangogauge.store import Conflict, Operation, RecordStore, records

from .stores import Fate, LossyStore

JOB_ID = "job"
CHUNKS = 2
ITEMS = 3
LEASE_SECONDS = 10
HOSTS = st.integers(0, 1)
CHUNK = st.integers(0, CHUNKS - 1)
ITEM_SETS = st.sets(st.integers(0, ITEMS - 1), min_size=1)
FATES = st.lists(st.sampled_from(Fate), max_size=3)


class ChunkMachine(RuleBasedStateMachine):
    """No item completes twice, no committed result is lost, a cancel stands."""

    record_store = RecordStore

    def __init__(self):
        super().__init__()
        records.SETTLE_INTERVAL = 0
        self.kernel = curio.Kernel()
        self.clock = ManualClock()
        self.store = LossyStore(self.clock)
        self.records = self.record_store(self.store)
        self.chunks = [ChunkStore(self.records, f"host{n}") for n in range(2)]
        self.owned = {0: {}, 1: {}}
        self.leases = {}
        self.confirmed = set()
        self.cancelled = False
        self.job = Job(
            JOB_ID, "desk", "f", "u", [ITEMS] * CHUNKS, "/v1", "24h", 0, 9, 9, ""
        )
        self._run(self.records.write, make_job_key(JOB_ID), self.job.to_bytes())
        self.seen = {}
        for host in self.owned:
            self.look(host)

    @rule(host=HOSTS)
    def look(self, host):
        self.seen[host] = self._run(self.records.read, make_job_key(JOB_ID))

    @rule(host=HOSTS, chunk=CHUNK, fates=FATES)
    def claim(self, host, chunk, fates):
        row = self.seen[host]
        state = self._run(self.records.read, make_state_key(JOB_ID, chunk))
        if state and ChunkState.from_bytes(state.payload).is_finished(ITEMS):
            return
        job = Job.from_bytes(row.payload)
        if job.state is not JobState.IN_PROGRESS:
            return
        lease = self._take_lease(host)
        store = self.chunks[host]
        owned = self._run(store.claim, row, job, chunk, state, lease, fates=fates)
        if owned is not None:
            assert not self.cancelled
            self.owned[host][chunk] = owned

    @rule(host=HOSTS, chunk=CHUNK, items=ITEM_SETS)
    def run_items(self, host, chunk, items):
        owned = self.owned[host].get(chunk)
        if owned is None:
            return
        ledger = owned.ledger
        for item in items:
            line = f"{host}/{ledger.state.epoch}/{item}".encode()
            ledger.accept(ledger.begin(item), ItemResult(item, True, line))

    @rule(host=HOSTS, fates=FATES)
    def commit(self, host, fates):
        dirty = [c for c in self.owned[host].values() if c.ledger.is_dirty]
        if not dirty:
            return
        waiting = {c: set(c.ledger.results) for c in dirty}
        self.store.fates = list(fates)
        store = self.chunks[host]
        outcomes = self.kernel.run(store.commit(dirty, self._take_lease(host)))
        self.store.fates = []
        for chunk, outcome in outcomes.items():
            if outcome is CommitOutcome.COMMITTED:
                self.confirmed |= {(chunk.number, i) for i in waiting[chunk]}
            elif outcome is CommitOutcome.LOST:
                del self.owned[host][chunk.number]

    @rule(fates=FATES)
    def cancel(self, fates):
        row = self._run(self.records.read, make_job_key(JOB_ID))
        job = evolve(Job.from_bytes(row.payload), state=JobState.CANCELLING)
        key = make_job_key(JOB_ID)
        written = self._run(self.records.write, key, job.to_bytes(), row, fates=fates)
        self.cancelled = self.cancelled or not isinstance(written, Conflict)

    @rule()
    def end_leases(self):
        self.clock.advance(LEASE_SECONDS * 2)
        self.store.keyspace.expire_leases()
        self.leases.clear()

    @rule()
    def deliver_late(self):
        self.kernel.run(self.store.deliver_late())

    @rule(host=HOSTS)
    def die(self, host):
        self.owned[host].clear()

    @invariant()
    def no_item_completes_twice_and_no_result_is_lost(self):
        found = self._list_results()
        assert len(found) == len(set(found)), found
        assert self.confirmed <= set(found), (self.confirmed, found)

    @invariant()
    def the_state_says_what_the_results_say(self):
        found = set(self._list_results())
        for number in range(CHUNKS):
            row = self._run(self.records.read, make_state_key(JOB_ID, number))
            done = ChunkState.from_bytes(row.payload).done if row else 0
            for item in range(ITEMS):
                assert bool(done >> item & 1) == ((number, item) in found)

    def teardown(self):
        self.kernel.run(shutdown=True)

    def _list_results(self):
        rows = self._run(self.records.list_prefix, RESULTS_PREFIX)
        found = []
        for row in rows:
            number = int(row.key.split("/")[-2])
            for line in unpack(row.payload):
                found.append((number, int(line.rpartition(b"/")[2])))
        return found

    def _take_lease(self, host):
        if host not in self.leases:
            lease = self._run(self.store.grant_lease, LEASE_SECONDS)
            self.leases[host] = lease.lease_id
        return self.leases[host]

    def _run(self, function, *arguments, fates=()):
        self.store.fates = list(fates)
        result = self.kernel.run(function, *arguments)
        self.store.fates = []
        return result.unwrap()


class _UnfencedRecords(RecordStore):
    """Writes on whatever is there, without the conditions of the claim."""

    async def write(self, key, payload, previous=None, lease=0, extra=()):
        current = (await self.read(key)).unwrap()
        operations = [part for part in extra if isinstance(part, Operation)]
        return await super().write(key, payload, current, lease, operations)


class UnfencedChunkMachine(ChunkMachine):
    """The mutation "commit without epoch"."""

    record_store = _UnfencedRecords
