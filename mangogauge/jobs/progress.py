"""Write the progress of this host's jobs to the store."""

from returns.result import Failure

from ..telemetry import get_logger
from .claiming import WRITE_RETRY_SECONDS, postpone_writes
from .claims import MAX_JOBS_PER_WRITE

__all__ = ["ProgressWriter"]

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
        """Write a job's finished results, if it has any."""
        if not job.finished:
            return
        answer = await self._claims.commit(job, self._clock.read_calendar())
        if isinstance(answer, Failure):
            postpone_writes(job, answer, self._clock)
            return
        if not answer.unwrap():
            await self._claimer.abandon(job)
            return
        if not job.items and not job.finished:
            self._claimer.drop(job)
            self._metrics.jobs.labels("closed").inc()
            log.info("job closed", extra={"job": job.job_id, "ended": False})

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
        for start in range(0, len(jobs), MAX_JOBS_PER_WRITE):
            await self._write_progress(jobs[start : start + MAX_JOBS_PER_WRITE])

    async def _write_progress(self, jobs):
        """Write the progress of several jobs, one by one if that isn't possible."""
        answer = await self._claims.write_progress(jobs)
        if isinstance(answer, Failure):
            log.info("checkpoint failed", extra={"reason": str(answer.failure())})
        elif not answer.unwrap() and len(jobs) > 1:
            # The claim of one of them has lapsed, or is lost.
            for job in jobs:
                await self._write_progress([job])

    async def _store_failures(self, job):
        answer = await self._claims.write_failures(job)
        if isinstance(answer, Failure):
            postpone_writes(job, answer, self._clock)
        elif not answer.unwrap():
            # The entry will show whether the claim is lost or has lapsed.
            job.write_after = self._clock.read_elapsed() + WRITE_RETRY_SECONDS
            log.warning("failures not written", extra={"job": job.job_id})
