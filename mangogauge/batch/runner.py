"""Runs a host's part of the batch jobs: claim, run, commit, give way."""

import curio
from attrs import field, frozen
from returns.result import Failure

from ..daemon.parts import HostPart
from ..settings import BatchSettings
from ..telemetry import get_logger
from .claiming import Claimer
from .commits import CommitOutcome, name_chunk
from .execution import Executor
from .items import ItemError
from .ownership import (
    Continuation,
    HostLease,
    LapsePolicy,
    LeaseSight,
    PlatformSight,
)
from .scheduling import FairShare

__all__ = ["BatchParts", "BatchRunner"]

PLATFORM_ENTRY = "platform-seen"
SEEN, UNSEEN = b"1", b"0"
CHUNKS_OWNED = 8
CANCEL_POLL_SECONDS = 2.0
INTENT_SECONDS = 0.1
TICK_SECONDS = 0.05
LAPSE_TICK_SECONDS = 0.1
RESTING_SECONDS = 0.25
RETRY_COMMIT_SECONDS = 0.5
DRAIN_SECONDS = 10.0
EARLY_COMMIT_BYTES = 500_000
LOST_OUTCOME = ItemError(
    "outcome_unknown", "The item may have been run; its outcome was lost."
)

log = get_logger("batch")


@frozen
class BatchParts:
    """What a `BatchRunner` works with.

    Parameters
    ----------
    host : str
        Name of this host.
    records : RecordStore
    jobs : JobStore
    files : FileStore
    chunks : ChunkStore
    dispatcher : Dispatcher
    router : Router
    view : MembershipView
    clock : Clock
    random : random.Random
    metrics : HostMetrics
    """

    host = field()
    records = field()
    jobs = field()
    files = field()
    chunks = field()
    dispatcher = field()
    router = field()
    view = field()
    clock = field()
    random = field()
    metrics = field()


class BatchRunner(HostPart):
    """Runs jobs on this host.

    Parameters
    ----------
    parts : BatchParts
    """

    def __init__(self, parts):
        self._parts = parts
        self._settings = BatchSettings()
        self._owned = {}
        self._configured = False
        self._claiming = True
        self._draining = False
        self._share = FairShare()
        self._sight = PlatformSight(parts.clock)
        self._lease = HostLease(parts.records.store, parts.clock, self._sight)
        self._lease_id = 0
        self._claimer = Claimer(
            parts, self._share, self._sight, self._is_owner_sound, self._holds
        )
        self._executor = Executor(
            parts, self._share, self._may_start, self._is_owner_sound
        )
        self._write_lock = curio.Lock()
        self._committed_at = 0.0
        self._policy = LapsePolicy(0, 0)

    def take_fleet(self, fleet):
        """Put newer settings in force."""
        self._settings = settings = fleet.batch
        self._policy = LapsePolicy(settings.outage_seconds, settings.held_items)
        self._share.set_weights({a.name: a.weight for a in fleet.accounts.values()})
        self._executor.take_fleet(fleet)
        self._configured = True

    async def run(self):
        """Claim, run and commit until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._keep_lease)
            await group.spawn(self._watch_lease)
            await group.spawn(self._find_work)
            await group.spawn(self._commit_often)
            await group.spawn(self._watch_cancels)
            await group.spawn(self._executor.run)
            await group.spawn(self._executor.watch_room)
        if group.exception is not None:
            raise group.exception

    def announce_drain(self):
        """Claim no more chunks and start no more items.

        The lease is still renewed: what runs must not be taken over before
        `drain` hands it on.
        """
        self._claiming = False
        self._executor.stop_starting()

    async def drain(self):
        """Commit what is done and give every claim back."""
        self.announce_drain()
        self._draining = True
        for chunk in list(self._owned.values()):
            await self._executor.stop_repeatable(chunk)
        async with curio.ignore_after(DRAIN_SECONDS):
            await self._executor.wait_idle()
        for chunk in self._owned.values():
            chunk.ledger.close()
        await self._flush(list(self._owned.values()))
        self._owned.clear()
        await self._lease.release()

    async def _keep_lease(self):
        while True:
            if self._owned and not self._draining:
                await self._lease.ensure(self._settings.lease_seconds)
                self._note_lease()
            seen = SEEN if self._sight.answers else UNSEEN
            self._parts.view.publish(PLATFORM_ENTRY, seen)
            await curio.sleep(min(1.0, self._settings.lease_seconds / 10))

    def _note_lease(self):
        """Count claims as gone that hung on an earlier lease."""
        if self._lease.lease_id in (0, self._lease_id):
            return
        self._lease_id = self._lease.lease_id
        for chunk in self._owned.values():
            chunk.claim_revision = 0

    async def _watch_lease(self):
        """Cancel items once the lease has ended, also while a renewal hangs."""
        while True:
            await curio.sleep(LAPSE_TICK_SECONDS if self._owned else RESTING_SECONDS)
            if self._policy.decide(self._read_sight()) is Continuation.STOP:
                for chunk in list(self._owned.values()):
                    await self._executor.stop_repeatable(chunk)

    def _may_start(self):
        """Return whether items may be started, by the clock as it is now."""
        return self._policy.may_start(self._read_sight())

    def _read_sight(self):
        return LeaseSight(
            lease_valid=self._lease.is_valid,
            silent_seconds=self._sight.silent_seconds,
            peer_sees_platform=self._peer_sees_platform(),
            held=sum(len(c.ledger.results) for c in self._owned.values()),
        )

    def _peer_sees_platform(self):
        view = self._parts.view
        own = view.own.name
        names = [m.name for m in view.list_members() if m.name != own]
        return any(view.read(name, PLATFORM_ENTRY) == SEEN for name in names)

    def _holds(self, job_id, number):
        return name_chunk(job_id, number) in self._owned

    def _is_owner_sound(self, name):
        view = self._parts.view
        return view.is_live(name) and view.read(name, PLATFORM_ENTRY) != UNSEEN

    async def _find_work(self):
        fruitless = 0
        while True:
            pause = self._settings.poll_seconds * 2 ** min(fruitless, 2)
            await curio.sleep(pause * (0.5 + self._parts.random.random()))
            await self._release_stalled()
            if self._executor.take_gain():
                self._claimer.work.note_all_free()
            if not self._may_claim():
                continue
            chunk = await self._claim_one()
            fruitless = 0 if chunk else fruitless + 1
            while chunk and self._executor.is_hungry and self._claiming:
                chunk = await self._claim_one()

    def _may_claim(self):
        # Without a configuration a host knows neither endpoints nor its room.
        if not self._configured or not self._claiming:
            return False
        return len(self._owned) < CHUNKS_OWNED

    async def _release_stalled(self):
        """Make room for chunks that can be run; these are looked at again later."""
        is_crowded = len(self._owned) >= CHUNKS_OWNED
        for chunk in self._executor.list_releasable(is_crowded):
            # The next owner must not take what never started for lost.
            chunk.ledger.close()
        closing = [c for c in self._owned.values() if c.ledger.is_closing]
        for chunk in closing:
            await self._executor.stop_repeatable(chunk)
        await self._flush(closing)
        for chunk in closing:
            # What may not be repeated is awaited: its answer may still come.
            is_quiet = not (chunk.ledger.is_dirty or self._executor.is_running(chunk))
            if chunk.name in self._owned and is_quiet:
                await self._release(chunk)

    async def _release(self, chunk):
        log.info("chunk released", extra={"step": "release", "peer": chunk.name})
        await self._drop(chunk)
        await self._parts.chunks.release(chunk)
        self._claimer.work.note_claimed(chunk.job.job_id, ())

    async def _claim_one(self):
        """Claim a chunk; one of a job not owned here unless short of items."""
        if not await self._lease.ensure(self._settings.lease_seconds):
            return None
        self._note_lease()
        owned = () if self._executor.is_hungry else self._owned.values()
        jobs = {chunk.job.job_id for chunk in owned}
        chunk = await self._claimer.find(
            self._lease.lease_id, self._settings, self._executor, jobs
        )
        if chunk is not None:
            await self._take_chunk(chunk)
        return chunk

    async def _take_chunk(self, chunk):
        lines = await self._claimer.read_lines(chunk)
        if lines is None:
            await self._parts.chunks.release(chunk)
            # If the release is lost too, the next look at the job finds the claim.
            self._claimer.work.note_free(chunk.job.job_id)
            return
        self._executor.add(chunk, lines)
        for index in chunk.ledger.list_lost():
            self._executor.settle_failure(chunk, index, LOST_OUTCOME)
        self._owned[chunk.name] = chunk
        log.info("chunk claimed", extra={"step": "claim", "peer": chunk.name})

    async def _commit_often(self):
        while True:
            await curio.sleep(TICK_SECONDS if self._owned else RESTING_SECONDS)
            chunks = self._list_due()
            if not chunks:
                continue
            reached = await self._flush(chunks)
            await curio.sleep(0 if reached else RETRY_COMMIT_SECONDS)

    def _list_due(self):
        """Return the chunks to commit now; all dirty ones if any is urgent."""
        dirty = [c for c in self._owned.values() if _needs_commit(c)]
        now = self._parts.clock.read_elapsed()
        waited = now - self._committed_at
        urgent = (
            waited >= self._settings.commit_seconds
            or any(c.ledger.has_all_results for c in dirty)
            or self._executor.pending_bytes >= EARLY_COMMIT_BYTES
        )
        wanted = any(c.ledger.wanted_intents or not c.claim_revision for c in dirty)
        if dirty and (urgent or (wanted and waited >= INTENT_SECONDS)):
            self._committed_at = now
            return dirty
        return []

    async def _flush(self, chunks):
        """Commit; return whether the platform was reached."""
        async with self._write_lock:
            chunks = [c for c in chunks if _needs_commit(c)]
            if not chunks:
                return True
            await self._lease.ensure(self._settings.lease_seconds)
            self._note_lease()
            outcomes = await self._parts.chunks.commit(chunks, self._lease.lease_id)
        self._executor.note_commit()
        reached = CommitOutcome.AWAY not in outcomes.values()
        self._sight.note_answer(reached)
        for chunk, outcome in outcomes.items():
            await self._take_outcome(chunk, outcome)
        return reached

    async def _take_outcome(self, chunk, outcome):
        if outcome is CommitOutcome.LOST:
            log.warning("chunk lost", extra={"step": "commit", "peer": chunk.name})
            await self._drop(chunk)
            return
        if outcome is CommitOutcome.AWAY:
            return
        if chunk.ledger.is_finished:
            self._owned.pop(chunk.name, None)
            self._executor.remove(chunk)
            self._claimer.work.note_free(chunk.job.job_id)
            await self._claimer.advance(chunk.job.job_id)

    async def _drop(self, chunk):
        self._owned.pop(chunk.name, None)
        await self._executor.drop(chunk)
        self._claimer.work.note_free(chunk.job.job_id)

    async def _watch_cancels(self):
        while True:
            pause = CANCEL_POLL_SECONDS * (0.5 + self._parts.random.random())
            await curio.sleep(pause)
            listed = self._sight.note(await self._parts.jobs.list_cancels())
            if not isinstance(listed, Failure):
                await self._take_cancels(listed.unwrap())

    async def stop_job(self, job_id):
        """Start no further item of a job, and cancel those that run."""
        chunks = [c for c in self._owned.values() if c.job.job_id == job_id]
        for chunk in chunks:
            await self._executor.drop(chunk)
        await self._flush(chunks)
        for chunk in chunks:
            if self._owned.pop(chunk.name, None) and not chunk.ledger.is_dirty:
                await self._parts.chunks.release(chunk)

    async def _take_cancels(self, job_ids):
        for job_id in {c.job.job_id for c in self._owned.values()} & job_ids:
            await self.stop_job(job_id)
        if job_ids:
            # Each host ends one of them, so that many cost few calls.
            await self._claimer.advance(self._parts.random.choice(sorted(job_ids)))


def _needs_commit(chunk):
    return chunk.ledger.is_dirty or not chunk.claim_revision
