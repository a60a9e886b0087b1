"""Claim open jobs, commit their results, and close them.

A claim is a key attached to this host's lease. A commit is a transaction on the
conditions that the claim still has its revision (a fencing token) and that the
results' key doesn't exist yet. So a host that has lost its claim writes nothing,
and a commit that is retried after a lost answer takes effect once.
"""

import orjson
from returns.result import Failure, Success

from ..store import (
    Condition,
    Operation,
    StoreLimits,
    StoreUnavailableError,
    Transaction,
)
from ..telemetry import get_logger
from .commits import ResultCommits
from .keys import (
    CANCELLED,
    CLAIM,
    OPEN,
    make_closed_key,
    make_failures_key,
    make_input_key,
    make_manifest_key,
    make_progress_key,
    make_results_prefix,
    make_work_key,
)
from .owned import OwnedJob
from .records import ItemProgress, ItemResult, JobManifest
from .writesizes import WriteSizes

__all__ = ["MAX_JOBS_PER_WRITE", "JobClaims"]

# A transaction has at most 32 entries, and each job takes two.
MAX_JOBS_PER_WRITE = 16

log = get_logger("claims")


class JobClaims:
    """Store operations on the jobs that a host claims.

    Parameters
    ----------
    store : Store
    feed : ChangeFeed
    registration : Registration
        Provides the lease to which claims are attached.
    claimant : str
        Name of this process in its claims, unique among all processes.
    limits : StoreLimits, optional
    """

    def __init__(self, store, feed, registration, claimant, limits=None):
        self._store = store
        self._feed = feed
        self._registration = registration
        self.claimant = claimant
        self._sizes = WriteSizes(limits or StoreLimits())
        self._commits = ResultCommits(store, self._sizes)

    async def claim(self, entry):
        """Claim an open job and load its contents.

        Parameters
        ----------
        entry : JobEntry
            A job that is cancelled is claimed only if the entry says so; the caller
            then closes it.

        Returns
        -------
        returns.result.Result
            ``Success(OwnedJob)``, or ``Success(None)`` if the job can't be claimed,
            for example because another host claimed it first. ``Failure`` if this
            host has no lease or the store did not answer.
        """
        lease = self._registration.lease
        if lease is None or not self._registration.is_valid:
            return Failure(StoreUnavailableError("There is no lease.", step="claim"))
        job_id = entry.open_job.job_id
        key = make_work_key(job_id, CLAIM)
        conditions = [
            Condition(key, 0),
            Condition(make_work_key(job_id, OPEN), entry.open_revision),
        ]
        if not entry.cancelled:
            conditions.append(_require_not_cancelled(job_id))
        claim = Operation(key, self.claimant.encode(), lease.lease_id)
        answer = await self._store.transact(Transaction(conditions, [claim]))
        if isinstance(answer, Failure):
            return answer
        revision = self._find_claim_revision(answer.unwrap(), job_id, entry.cancelled)
        if not revision:
            return Success(None)
        return await self._load(job_id, revision)

    async def reclaim(self, job):
        """Claim a job again after its claim lapsed with this host's lease.

        Returns
        -------
        returns.result.Result
            ``Success(bool)``: whether this host has the claim again. ``Failure`` as
            for `claim`.
        """
        lease = self._registration.lease
        if lease is None or not self._registration.is_valid:
            return Failure(StoreUnavailableError("There is no lease.", step="claim"))
        key = make_work_key(job.job_id, CLAIM)
        claim = Operation(key, self.claimant.encode(), lease.lease_id)
        conditions = [Condition(key, 0), _require_not_cancelled(job.job_id)]
        answer = await self._store.transact(Transaction(conditions, [claim]))
        if isinstance(answer, Failure):
            return answer
        job.claim_revision = self._find_claim_revision(answer.unwrap(), job.job_id)
        return Success(bool(job.claim_revision))

    async def release(self, job):
        """Delete the claim, so that another host can claim the job at once."""
        key = make_work_key(job.job_id, CLAIM)
        self._commits.discard(job)
        transaction = Transaction(
            [Condition(key, job.claim_revision)], [Operation(key)]
        )
        answer = await self._store.transact(transaction)
        if isinstance(answer, Failure):
            log.warning(
                "claim not released; it lapses with the lease",
                extra={"job": job.job_id, "reason": str(answer.failure())},
            )

    def discard_commit(self, job):
        """Discard the pending commit of a job that another host has claimed."""
        self._commits.discard(job)

    async def commit(self, job, now):
        """Write a job's finished results; close the job with the last of them.

        Parameters
        ----------
        job : OwnedJob
        now : float
            Seconds since the Unix epoch.

        Returns
        -------
        returns.result.Result
            ``Success(bool)``: whether the claim is still valid. After a
            ``Failure`` the call must be retried.
        """
        return await self._commits.commit(job, now)

    async def write_failures(self, job):
        """Write the failure counts of a job's items; return as `commit` does."""
        failures = job.count_failures()
        claim = make_work_key(job.job_id, CLAIM)
        operation = Operation(make_failures_key(job.job_id), orjson.dumps(failures))
        held_claim = Condition(claim, job.claim_revision)
        answer = await self._store.transact(Transaction([held_claim], [operation]))
        if isinstance(answer, Failure):
            return answer
        if answer.unwrap().succeeded:
            job.mark_failures_stored(failures)
        return Success(answer.unwrap().succeeded)

    async def write_progress(self, jobs):
        """Write the events that the unfinished items of several jobs have received.

        Parameters
        ----------
        jobs : list of OwnedJob
            At most `MAX_JOBS_PER_WRITE`.

        Returns
        -------
        returns.result.Result
            ``Success(bool)``: whether it was written, which needs the claims of all
            these jobs.
        """
        max_bytes = self._sizes.group_bytes
        written = {job: job.list_progress(max_bytes) for job in jobs}
        conditions = [
            Condition(make_work_key(job.job_id, CLAIM), job.claim_revision)
            for job in jobs
        ]
        operations = [
            Operation(
                make_progress_key(job.job_id), ItemProgress.encode_group(progress)
            )
            for job, progress in written.items()
        ]
        answer = await self._store.transact(Transaction(conditions, operations))
        if isinstance(answer, Failure):
            self._sizes.note_failure(answer.failure())
            return answer
        if answer.unwrap().succeeded:
            for job, progress in written.items():
                job.mark_progress_stored(progress)
        return Success(answer.unwrap().succeeded)

    async def close(self, job, now):
        """Close a job that its caller has cancelled; return as `commit` does."""
        claim = make_work_key(job.job_id, CLAIM)
        operations = [
            Operation(make_work_key(job.job_id, OPEN)),
            Operation(claim),
            Operation(make_closed_key(int(now), job.job_id), b"-"),
        ]
        transaction = Transaction([Condition(claim, job.claim_revision)], operations)
        answer = await self._store.transact(transaction)
        return answer.map(lambda outcome: outcome.succeeded)

    def _find_claim_revision(self, outcome, job_id, allow_cancelled=False):
        """Return the revision of this host's claim, or 0 if it has none.

        Parameters
        ----------
        outcome : TransactionResult
        job_id : str
        allow_cancelled : bool, optional
            Whether a claim on a cancelled job counts.
        """
        if outcome.succeeded:
            return outcome.revision
        current = {item.key: item for item in outcome.current}
        if make_work_key(job_id, CANCELLED) in current and not allow_cancelled:
            log.info("job ended before it was claimed", extra={"job": job_id})
            return 0
        claim = current.get(make_work_key(job_id, CLAIM))
        if claim is None or claim.value != self.claimant.encode():
            return 0
        # An earlier attempt took effect, but its answer was lost.
        return claim.mod_revision

    async def _load(self, job_id, revision):
        manifest = await self._store.get_constant(make_manifest_key(job_id))
        if isinstance(manifest, Failure):
            return manifest
        if manifest.unwrap() is None:
            log.error("open job has no manifest", extra={"job": job_id})
            return Success(None)
        manifest = JobManifest.from_bytes(manifest.unwrap().value)
        parts = []
        for number in range(manifest.parts):
            part = await self._store.get_constant(make_input_key(job_id, number))
            if isinstance(part, Failure):
                return part
            parts.append(part.unwrap().value)
        stored = await self._store.get(make_failures_key(job_id))
        if isinstance(stored, Failure):
            return stored
        stored = stored.unwrap()
        failures = orjson.loads(stored.value) if stored is not None else {}
        stored = await self._store.get(make_progress_key(job_id))
        if isinstance(stored, Failure):
            return stored
        stored = stored.unwrap()
        progress = ItemProgress.decode_group(stored.value) if stored else []
        snapshot = await self._feed.read_snapshot(make_results_prefix(job_id))
        if isinstance(snapshot, Failure):
            return snapshot
        results = [
            result
            for item in snapshot.unwrap().items
            for result in ItemResult.decode_group(item.value)
        ]
        log.info(
            "job claimed",
            extra={
                "job": job_id,
                "revision": revision,
                "committed": len(results),
                "begun": len(progress),
            },
        )
        job = OwnedJob.restore(manifest, parts, revision, results, failures, progress)
        return Success(job)


def _require_not_cancelled(job_id):
    return Condition(make_work_key(job_id, CANCELLED), 0)
