"""Write into the store how far the jobs of this host are."""

from returns.result import Failure

from ..telemetry import get_logger
from .claiming import WRITE_RETRY_SECONDS, postpone_writes

__all__ = ["ProgressWriter"]

log = get_logger("jobs")


class ProgressWriter:
    """Commits results, and notes failures.

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
        """Write what is new of all jobs."""
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

    async def _store_failures(self, job):
        answer = await self._claims.write_failures(job)
        if isinstance(answer, Failure):
            postpone_writes(job, answer, self._clock)
        elif not answer.unwrap():
            # Whether the claim is lost or has lapsed shows in its entry.
            job.write_after = self._clock.read_elapsed() + WRITE_RETRY_SECONDS
            log.warning("failures not written", extra={"job": job.job_id})
