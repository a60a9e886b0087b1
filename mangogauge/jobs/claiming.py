"""Claim jobs, and reconcile the claimed ones with the store's entries."""

from logging import ERROR, WARNING

from returns.result import Failure

from ..store import StoreRefusedError
from ..telemetry import get_logger
from .scheduling import rank_host

__all__ = ["JobClaimer", "postpone_writes"]

# Time by which each host in the ranking waits longer for the hosts before it.
CLAIM_TURN_SECONDS = 1.0
WRITE_RETRY_SECONDS = 0.25
# After a write that the store refused, doubled with each further one: most likely it
# refuses the next one too.
REFUSED_RETRY_SECONDS = 1.0
MAX_REFUSED_RETRY_SECONDS = 60.0

log = get_logger("jobs")


class JobClaimer:
    """Claims jobs for this host, and keeps those that it has claimed.

    Parameters
    ----------
    host : str
    state : FleetState
    directory : JobDirectory
    claims : JobClaims
    report_table : ReportTable
    tasks : ItemTasks
    clock : Clock

    Attributes
    ----------
    jobs : dict of str to OwnedJob
        Claimed jobs, by id.
    stopped : bool
        Whether claiming has stopped.
    """

    def __init__(self, host, state, directory, claims, report_table, tasks, clock):
        self._host = host
        self._state = state
        self._directory = directory
        self._claims = claims
        self._report_table = report_table
        self._tasks = tasks
        self._clock = clock
        self.jobs = {}
        self.stopped = False

    def list_jobs(self):
        """Return the claimed jobs."""
        return list(self.jobs.values())

    def drop(self, job):
        """Remove a job that is closed or released."""
        self.jobs.pop(job.job_id, None)

    async def release(self, job):
        """Release a job, so that another host can claim it at once."""
        self.drop(job)
        await self._claims.release(job)

    async def abandon(self, job):
        """Stop running a job whose claim this host has lost."""
        self.drop(job)
        self._claims.discard_commit(job)
        await self._tasks.interrupt_job(job)

    async def claim_once(self):
        """Claim the unclaimed jobs whose turn for this host has come."""
        for entry in self._directory.list_unclaimed():
            if entry.open_job is not None and self._is_own_turn(entry):
                await self._claim(entry)
        # A claim may have taken effect although its answer was lost.
        for entry in self._directory.list_claimed_by(self._claims.claimant):
            if entry.open_job is not None and entry.open_job.job_id not in self.jobs:
                await self._claim(entry)

    def _is_own_turn(self, entry):
        job_id = entry.open_job.job_id
        if job_id in self.jobs or self._directory.is_in_grace_period(entry):
            return False
        turn = rank_host(job_id, self._host, self._list_live()) * CLAIM_TURN_SECONDS
        return self._clock.read_elapsed() >= entry.unclaimed_since + turn

    def _list_live(self):
        """Return this host and the other hosts that run items and currently report."""
        runners = self._state.members.list_runners()
        return [
            n for n in runners if n == self._host or self._report_table.is_reporting(n)
        ]

    async def _claim(self, entry):
        # The entry may change during the call: the job may be closed meanwhile.
        job_id = entry.open_job.job_id
        # The claim may lapse during the call, so its age counts from before.
        requested_at = self._clock.read_elapsed()
        answer = await self._claims.claim(entry)
        if isinstance(answer, Failure):
            log.warning(
                "job not claimed",
                extra={"job": job_id, "reason": str(answer.failure())},
            )
            return
        job = answer.unwrap()
        if job is not None and not self.stopped:
            job.claimed_at = requested_at
            self.jobs[job.job_id] = job

    async def reconcile(self):
        """Reconcile the claimed jobs with the entries in the store.

        Closes cancelled jobs, abandons those that another host has claimed, and
        reclaims those whose claim has lapsed.
        """
        await self._interrupt_cancelled()
        now = self._clock.read_elapsed()
        for job in self.list_jobs():
            entry = self._directory.get(job.job_id)
            if entry is None or now < job.write_after:
                continue
            if entry.cancelled:
                await self._close_cancelled(job)
            elif entry.claimant and entry.claimant != self._claims.claimant:
                log.warning(
                    "job taken over",
                    extra={"job": job.job_id, "claimant": entry.claimant},
                )
                await self.abandon(job)
            elif not entry.claimant and entry.unclaimed_since > job.claimed_at:
                await self._reclaim(job)

    async def _interrupt_cancelled(self):
        """Interrupt the running items of cancelled jobs."""
        for item in self._tasks.list_running():
            if self._directory.is_cancelled(item.job.job_id):
                await self._tasks.interrupt(item)

    async def _close_cancelled(self, job):
        """Close a job that its caller has cancelled."""
        answer = await self._claims.close(job, self._clock.read_calendar())
        if isinstance(answer, Failure):
            postpone_writes(job, answer, self._clock)
            return
        self.drop(job)
        log.info("job closed", extra={"job": job.job_id, "ended": True})

    async def _reclaim(self, job):
        requested_at = self._clock.read_elapsed()
        answer = await self._claims.reclaim(job)
        if isinstance(answer, Failure):
            postpone_writes(job, answer, self._clock)
        elif answer.unwrap():
            job.claimed_at = requested_at
            log.warning("claim lapsed, claimed again", extra={"job": job.job_id})
        else:
            await self.abandon(job)


def postpone_writes(job, answer, clock):
    """Postpone a job's writes after one that failed.

    Parameters
    ----------
    job : OwnedJob
    answer : returns.result.Failure
    clock : Clock
    """
    refused = isinstance(answer.failure(), StoreRefusedError)
    seconds = WRITE_RETRY_SECONDS
    if refused:
        seconds = REFUSED_RETRY_SECONDS * 2**job.refused_writes
        seconds = min(seconds, MAX_REFUSED_RETRY_SECONDS)
        job.refused_writes += 1
    job.write_after = clock.read_elapsed() + seconds
    log.log(
        ERROR if refused else WARNING,
        "job's progress not written",
        extra={
            "job": job.job_id,
            "reason": str(answer.failure()),
            "refused": refused,
            "pause": seconds,
        },
    )
