"""Claims and commits of chunks at the platform."""

import enum
import uuid

from attrs import define, field, frozen
from returns.result import Failure, Success

from ..store import (
    Commit,
    Condition,
    Conflict,
    Operation,
    StoredRecord,
    Transaction,
    encode_record,
)
from .chunks import ChunkLedger, ChunkState
from .keys import (
    WORK_PREFIX,
    make_claim_key,
    make_job_key,
    make_result_key,
    make_state_key,
)
from .packing import PACKED_LIMIT_BYTES, pack

__all__ = ["ChunkStore", "CommitOutcome", "JobWork", "OwnedChunk", "name_chunk"]

WRITE_IDS_KEPT = 16
# Bounds what one transaction carries and how many operations it has.
RAW_GROUP_BYTES = 2_000_000
CHUNKS_PER_COMMIT = 24
GOOD_MARK, BAD_MARK = b"+", b"-"


class CommitOutcome(enum.Enum):
    """What became of a chunk's commit."""

    COMMITTED = "committed"
    LOST = "lost"
    AWAY = "away"


@frozen
class JobWork:
    """The chunks of a job at the platform.

    Parameters
    ----------
    states : dict of int to StoredRecord
    claims : dict of int to StoredRecord
        For chunks that are claimed.
    """

    states = field()
    claims = field()

    @property
    def owners(self):
        """Hosts by chunk, for chunks that are claimed."""
        return {n: row.payload.decode() for n, row in self.claims.items()}

    def list_unfinished(self, job):
        """Return numbers of chunks that lack results."""
        return [n for n in range(len(job.counts)) if not self.is_finished(job, n)]

    def is_finished(self, job, number):
        """Return whether all items of a chunk have a committed result."""
        row = self.states.get(number)
        if row is None:
            return False
        return ChunkState.from_bytes(row.payload).is_finished(job.counts[number])

    def list_counts(self):
        """Return the `JobCounts` of each chunk that was claimed ever."""
        return [ChunkState.from_bytes(r.payload).counts for r in self.states.values()]


def name_chunk(job_id, number):
    """Return a chunk's name, for logs and among those that a host owns."""
    return f"{job_id}/{number}"


@define(eq=False)
class OwnedChunk:
    """A chunk that this host has claimed.

    Parameters
    ----------
    job : Job
    job_revision : int
    number : int
    row : StoredRecord
        The chunk's state as last written by this host.
    claim_revision : int
        Revision of the claim's key; 0 once its lease has lapsed.
    ledger : ChunkLedger
    """

    job = field()
    job_revision = field()
    number = field()
    row = field()
    claim_revision = field()
    ledger = field()

    @property
    def can_start(self):
        """Whether its items may be started."""
        return bool(self.claim_revision) and not self.ledger.is_closing

    @property
    def name(self):
        """Name for logs."""
        return name_chunk(self.job.job_id, self.number)


@frozen
class _Plan:
    """What one commit would change of one chunk."""

    chunk = field()
    state = field()
    results = field()
    intents = field()
    packed = field()


class ChunkStore:
    """Claim chunks and commit their results.

    Parameters
    ----------
    records : RecordStore
    host : str
        Name of this host.
    """

    def __init__(self, records, host):
        self._records = records
        self._host = host
        self.commits = 0
        self.committed_items = 0

    async def list_work(self, job_id):
        """Return ``Success(JobWork)``."""
        rows = await self._records.list_prefix(f"{WORK_PREFIX}{job_id}/")
        return rows.map(_sort_rows)

    async def claim(self, job_row, job, number, state_row, lease_id):
        """Claim a chunk; return ``Success(OwnedChunk or None)``.

        The claim holds only if the job has not changed, nobody else's claim
        is there, and the chunk's state is as it was read.
        """
        state = ChunkState.from_bytes(state_row.payload) if state_row else ChunkState()
        claimed = state.claim(self._host)
        claim_key = make_claim_key(job.job_id, number)
        claim = encode_record(self._host.encode(), uuid.uuid4().hex)
        written = await self._records.write(
            make_state_key(job.job_id, number),
            claimed.to_bytes(),
            state_row,
            extra=[
                Condition(job_row.key, job_row.revision),
                Condition(claim_key, 0),
                Operation(claim_key, claim, lease_id),
            ],
        )
        if isinstance(written, Failure):
            return written
        commit = written.unwrap()
        if isinstance(commit, Conflict) or not commit.revision:
            return Success(None)
        key = make_state_key(job.job_id, number)
        row = _follow(key, claimed.to_bytes(), commit, state_row)
        ledger = ChunkLedger(job.counts[number], claimed)
        return Success(
            OwnedChunk(job, job_row.revision, number, row, commit.revision, ledger)
        )

    async def release(self, chunk):
        """Give up a claim, so that another host need not wait for its lease."""
        key = make_claim_key(chunk.job.job_id, chunk.number)
        condition = Condition(key, chunk.claim_revision)
        await self._records.store.transact(Transaction((condition,), (Operation(key),)))

    async def release_stray(self, row):
        """Delete a claim, by its record; return whether it is gone."""
        removed = await self._records.remove(row)
        return not isinstance(removed, Failure)

    async def commit(self, chunks, lease_id):
        """Commit what waits in `chunks`, many by one write.

        Returns
        -------
        dict of OwnedChunk to CommitOutcome
        """
        outcomes = {}
        plans = [self._plan(chunk) for chunk in chunks]
        for group in _group_plans(plans):
            outcomes.update(await self._write_group(group, lease_id))
        return outcomes

    async def _write_group(self, plans, lease_id):
        first, *others = plans
        extra = list(_list_claim_parts(first, self._host, lease_id))
        write_ids = {plan.chunk: uuid.uuid4().hex for plan in others}
        for plan in others:
            extra += _list_claim_parts(plan, self._host, lease_id)
            extra += _list_state_parts(plan, write_ids[plan.chunk])
        written = await self._records.write(
            first.chunk.row.key, first.state.to_bytes(), first.chunk.row, extra=extra
        )
        if isinstance(written, Failure):
            return {plan.chunk: CommitOutcome.AWAY for plan in plans}
        commit = written.unwrap()
        if isinstance(commit, Conflict):
            return await self._resolve_conflict(plans, commit, lease_id)
        if not commit.revision:
            return {plan.chunk: CommitOutcome.LOST for plan in plans}
        self.commits += 1
        for plan in plans:
            write_id = write_ids.get(plan.chunk, commit.write_id)
            self._take_commit(plan, Commit(commit.revision, write_id))
        return {plan.chunk: CommitOutcome.COMMITTED for plan in plans}

    async def _resolve_conflict(self, plans, conflict, lease_id):
        """Find out which chunk of a group has another owner."""
        if len(plans) > 1:
            outcomes = {}
            for plan in plans:
                outcomes.update(await self._write_group([plan], lease_id))
            return outcomes
        chunk = plans[0].chunk
        current = conflict.current
        unchanged = current is not None and current.revision == chunk.row.revision
        if unchanged and chunk.claim_revision:
            # Only the lease has lapsed: nobody has claimed the chunk since,
            # so it may be claimed again along with the same commit.
            chunk.claim_revision = 0
            return await self._write_group(plans, lease_id)
        return {chunk: CommitOutcome.LOST}

    def _plan(self, chunk):
        results, packed = _pack_results(chunk.ledger.results.values())
        intents = sorted(chunk.ledger.wanted_intents)
        state = chunk.ledger.make_next_state(results, intents)
        return _Plan(chunk, state, results, intents, packed)

    def _take_commit(self, plan, commit):
        chunk = plan.chunk
        chunk.row = _follow(chunk.row.key, plan.state.to_bytes(), commit, chunk.row)
        chunk.claim_revision = chunk.claim_revision or commit.revision
        chunk.ledger.commit(plan.state, plan.results, plan.intents)
        self.committed_items += len(plan.results)


def _sort_rows(rows):
    states, claims = {}, {}
    for row in rows:
        *_, number, kind = row.key.split("/")
        if kind == "state":
            states[int(number)] = row
        else:
            claims[int(number)] = row
    return JobWork(states, claims)


def _pack_results(results):
    """Return as many results as fit into one value, and that value."""
    taken, lines, size = [], [], 0
    for result in results:
        if taken and size + len(result.line) > RAW_GROUP_BYTES:
            break
        taken.append(result)
        lines.append((GOOD_MARK if result.good else BAD_MARK) + result.line)
        size += len(result.line)
    packed = pack(lines) if lines else b""
    while len(packed) > PACKED_LIMIT_BYTES and len(lines) > 1:
        taken, lines = taken[: len(taken) // 2], lines[: len(lines) // 2]
        packed = pack(lines)
    return taken, packed


def _group_plans(plans):
    group, size = [], 0
    for plan in plans:
        full = size + len(plan.packed) > PACKED_LIMIT_BYTES
        if group and (full or len(group) >= CHUNKS_PER_COMMIT):
            yield group
            group, size = [], 0
        group.append(plan)
        size += len(plan.packed)
    if group:
        yield group


def _list_claim_parts(plan, host, lease_id):
    """Yield the fence of a chunk, and its group of results."""
    chunk = plan.chunk
    job_id = chunk.job.job_id
    claim_key = make_claim_key(job_id, chunk.number)
    yield Condition(claim_key, chunk.claim_revision)
    if not chunk.claim_revision:
        yield Condition(make_job_key(job_id), chunk.job_revision)
    if plan.state.is_finished(chunk.ledger.total):
        yield Operation(claim_key)
    elif not chunk.claim_revision:
        claim = encode_record(host.encode(), uuid.uuid4().hex)
        yield Operation(claim_key, claim, lease_id)
    if plan.results:
        key = make_result_key(job_id, chunk.number, plan.state.groups)
        yield Operation(key, encode_record(plan.packed, uuid.uuid4().hex))


def _list_state_parts(plan, write_id):
    row = plan.chunk.row
    data = encode_record(plan.state.to_bytes(), write_id, row)
    return [Condition(row.key, row.revision), Operation(row.key, data)]


def _follow(key, payload, commit, previous):
    """Return the record as it is at the platform after a commit."""
    earlier = previous.write_ids[: WRITE_IDS_KEPT - 1] if previous else ()
    ids = (commit.write_id, *earlier)
    return StoredRecord(key, payload, commit.revision, commit.write_id, ids)
