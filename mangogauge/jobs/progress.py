"""Write the progress of this host's jobs to the store."""

from returns.result import Failure

from ..store import StoreRefusedError
from ..telemetry import get_logger
from .claiming import WRITE_RETRY_SECONDS, postpone_writes
from .claims import MAX_JOBS_PER_WRITE
from .owned import MAX_PROGRESS_BYTES

__all__ = ["ProgressWriter"]

# Pause of checkpoints after the store refused one.
CHECKPOINT_PAUSE_SECONDS = 30.0

log = get_logger("jobs")


class ProgressWriter:
    """Commits results, and writes failure counts and the progress of items.

    Parameters
    ----------
    claimer : JobClaimer
    claims : JobClaims
    clock : Clock
    metrics : ServingMetrics
    """

    def __init__(self, claimer, claims, clock, metrics):
        self._claimer = claimer
        self._claims = claims
        self._clock = clock
        self._metrics = metrics
        self._checkpoint_after = float("-inf")

    async def write(self):
        """Write the new failures and results of all claimed jobs."""
        for job in self._claimer.list_jobs():
            if self._claimer.stopped or self._clock.read_elapsed() < job.write_after:
                continue
            if job.has_new_failures:
                await self._store_failures(job)
            if job.finished:
                await self.commit(job)

    async def commit(self, job):
        """Write a job's finished results, group after group."""
        while job.finished:
            answer = await self._claims.commit(job, self._clock.read_calendar())
            if isinstance(answer, Failure):
                self._postpone(job, answer)
                return
            if not answer.unwrap():
                await self._claimer.abandon(job)
                return
            job.refused_writes = 0
            if not job.items and not job.finished:
                self._claimer.drop(job)
                self._metrics.jobs.labels("closed").inc()
                log.info("job closed", extra={"job": job.job_id, "ended": False})

    def _postpone(self, job, answer):
        if isinstance(answer.failure(), StoreRefusedError):
            self._metrics.writes_refused.inc()
        postpone_writes(job, answer, self._clock)

    async def write_checkpoint(self):
        """Write the progress of items of several jobs at once.

        Notes
        -----
        A host that claims a job after this one was lost resumes its items after these
        events. Retrying a failed write isn't worth a call: the next one follows soon.
        """
        jobs = [
            job
            for job in self._claimer.list_jobs()
            if job.claim_revision and job.has_new_progress
        ]
        if self._clock.read_elapsed() < self._checkpoint_after:
            return
        for group in self._group_jobs(jobs):
            await self._write_progress(group)

    def _group_jobs(self, jobs):
        """Yield jobs in groups whose progress is written at once."""
        group, size = [], 0
        for job in jobs:
            size += job.progress_bytes
            full = len(group) >= MAX_JOBS_PER_WRITE or size > MAX_PROGRESS_BYTES
            if group and full:
                yield group
                group, size = [], job.progress_bytes
            group.append(job)
        if group:
            yield group

    async def _write_progress(self, jobs):
        """Write the progress of several jobs, one by one if that isn't possible."""
        answer = await self._claims.write_progress(jobs)
        if isinstance(answer, Failure):
            if isinstance(answer.failure(), StoreRefusedError):
                self._metrics.writes_refused.inc()
                self._checkpoint_after = (
                    self._clock.read_elapsed() + CHECKPOINT_PAUSE_SECONDS
                )
            log.info("checkpoint failed", extra={"reason": str(answer.failure())})
        elif not answer.unwrap() and len(jobs) > 1:
            # The claim of one of them has lapsed, or is lost.
            for job in jobs:
                await self._write_progress([job])

    async def _store_failures(self, job):
        answer = await self._claims.write_failures(job)
        if isinstance(answer, Failure):
            self._postpone(job, answer)
        elif not answer.unwrap():
            # The entry will show whether the claim is lost or has lapsed.
            job.write_after = self._clock.read_elapsed() + WRITE_RETRY_SECONDS
            log.warning("failures not written", extra={"job": job.job_id})
