"""Find open work at the platform, claim it, and end jobs that are done."""

from returns.result import Failure

from ..telemetry import get_logger
from .chunks import ChunkState, sum_counts
from .commits import name_chunk
from .jobs import Job, JobState
from .scheduling import JobOutlook, OpenWork, RiskBoard

__all__ = ["Claimer"]

JOBS_PER_LOOK = 2
SPREAD_DIGITS = 8
SPREAD_LIMIT = 16**SPREAD_DIGITS

log = get_logger("batch")


class Claimer:
    """Claims chunks for one host.

    Parameters
    ----------
    parts : BatchParts
    share : FairShare
    sight : PlatformSight
    is_owner_sound : callable
        Whether a host, by name, seems to live and to reach the platform.
    holds : callable
        Whether this host runs a chunk, by the job's id and the chunk's number.
    """

    def __init__(self, parts, share, sight, is_owner_sound, holds):
        self._parts = parts
        self._sight = sight
        self._is_owner_sound = is_owner_sound
        self._holds = holds
        self._risks = RiskBoard(parts.metrics.batch_jobs_at_risk)
        self.work = OpenWork(share, parts.clock)

    async def find(self, lease_id, settings, executor, without=()):
        """Return an `OwnedChunk` of the most urgent job, or None.

        Parameters
        ----------
        lease_id : int
        settings : BatchSettings
        executor : Executor
            Tells which jobs this host should run, and which owners it does work for.
        without : collection of str
            Jobs that are left out.
        """
        start = f"{self._parts.random.randrange(SPREAD_LIMIT):0{SPREAD_DIGITS}x}"
        listed = self._sight.note(await self._parts.jobs.list_open(start))
        if isinstance(listed, Failure):
            return None
        jobs = [
            job
            for job in listed.unwrap()
            if job.job_id not in without and executor.can_run(job)
        ]
        for entry in self.work.choose(
            jobs, self._is_owner_sound, JOBS_PER_LOOK, executor.has_taken_over
        ):
            chunk = await self._claim_from(entry.job_id, lease_id, settings)
            if chunk is not None:
                return chunk
        return None

    async def advance(self, job_id):
        """End a job if nothing of it is left to do."""
        row, work = await self._look(job_id)
        if row is not None:
            await self._end_if_done(row, work)

    async def read_lines(self, chunk):
        """Return the lines of a chunk's items, or None."""
        job = chunk.job
        found = await self._parts.files.read_chunk(job.upload_id, chunk.number)
        return self._sight.note(found).value_or(None)

    async def _look(self, job_id):
        row = self._sight.note(await self._parts.jobs.read(job_id)).value_or(None)
        if row is None:
            return None, None
        work = self._sight.note(await self._parts.chunks.list_work(job_id))
        if isinstance(work, Failure):
            return None, None
        self._note_risk(Job.from_bytes(row.payload), work.unwrap())
        return row, work.unwrap()

    def _note_risk(self, job, work):
        done = sum_counts(work.list_counts())
        outlook = JobOutlook(
            job.total,
            done.completed + done.failed,
            job.created_at,
            job.due_at,
            self._parts.clock.read_calendar(),
        )
        self._risks.note(job.job_id, job.account, job.is_open and outlook.is_at_risk)

    async def _claim_from(self, job_id, lease_id, settings):
        row, work = await self._look(job_id)
        if row is None:
            return None
        job = Job.from_bytes(row.payload)
        await self._release_strays(job_id, work, lease_id)
        free = self._list_free(job, work, settings)
        if job.state is not JobState.IN_PROGRESS or not free:
            self.work.note_claimed(job_id, work.owners.values())
            await self._end_if_done(row, work)
            return None
        number = self._parts.random.choice(free)
        claimed = self._sight.note(
            await self._parts.chunks.claim(
                row, job, number, work.states.get(number), lease_id
            )
        )
        return claimed.value_or(None)

    async def _release_strays(self, job_id, work, lease_id):
        """Delete claims of this process that it doesn't run.

        Notes
        -----
        A claim whose answer, or whose release, was lost in an outage lives as
        long as the host's lease, so that nobody else may take the chunk over.
        Only the task that claims may call this: no claim is on its way then.
        """
        for number, claim in list(work.claims.items()):
            if claim.lease != lease_id or self._holds(job_id, number):
                continue
            if await self._parts.chunks.release_stray(claim):
                name = name_chunk(job_id, number)
                log.info("stray claim released", extra={"step": "claim", "peer": name})
                del work.claims[number]

    def _list_free(self, job, work, settings):
        """Return chunks that may be claimed now.

        Notes
        -----
        All leases may have ended during an outage. For a while after it, the
        chunks of owners that live are left to them.
        """
        free = [n for n in work.list_unfinished(job) if n not in work.owners]
        if not self._sight.has_returned_within(settings.lease_seconds):
            return free
        return [n for n in free if not self._is_kept(work.states.get(n))]

    def _is_kept(self, row):
        if row is None:
            return False
        owner = ChunkState.from_bytes(row.payload).owner
        return owner != self._parts.host and self._is_owner_sound(owner)

    async def _end_if_done(self, row, work):
        job = Job.from_bytes(row.payload)
        state = _choose_end(job, work)
        if state is None:
            return
        done = sum_counts(work.list_counts())
        now = self._parts.clock.read_calendar()
        await self._parts.jobs.end(row, state, done, now)
        self._risks.note(job.job_id, job.account, False)
        log.info("job ended", extra={"step": state.value, "peer": job.job_id})


def _choose_end(job, work):
    """Return the state in which a job ends now, or None."""
    if job.state is JobState.CANCELLING and not work.owners:
        return JobState.CANCELLED
    if job.state is JobState.IN_PROGRESS and not work.list_unfinished(job):
        return JobState.COMPLETED
    return None
