"""Jobs in the platform's store."""

import enum

import orjson
from attrs import asdict, field, frozen

__all__ = ["Job", "JobState", "JobStore"]

JOBS_PREFIX = "jobs/"


class JobState(enum.Enum):
    """Where a job stands; it never goes back."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


@frozen
class Job:
    """A batch job.

    Parameters
    ----------
    job_id, account, input_file, target : str
    created_at : int
        Seconds since the Unix epoch.
    state : JobState
    output_file : str
    total, completed, failed : int
        Items.
    """

    job_id = field()
    account = field()
    input_file = field()
    target = field()
    created_at = field()
    state = field(default=JobState.IN_PROGRESS, converter=JobState)
    output_file = field(default="")
    total = field(default=0)
    completed = field(default=0)
    failed = field(default=0)

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        return cls(**orjson.loads(data))

    def to_bytes(self):
        """Encode for the platform's store."""
        return orjson.dumps({**asdict(self), "state": self.state.value})


class JobStore:
    """Read and write jobs.

    Parameters
    ----------
    records : RecordStore
    """

    def __init__(self, records):
        self._records = records

    async def create(self, job):
        """Record a new job; return ``Success(Commit or Conflict)``."""
        return await self._records.write(JOBS_PREFIX + job.job_id, job.to_bytes())

    async def read(self, job_id):
        """Return ``Success(StoredRecord or None)``."""
        return await self._records.read(JOBS_PREFIX + job_id)

    async def update(self, job, previous):
        """Record a change if nobody else has made one."""
        return await self._records.write(
            JOBS_PREFIX + job.job_id, job.to_bytes(), previous
        )

    async def list_all(self):
        """Return ``Success(list of StoredRecord)``."""
        return await self._records.list_prefix(JOBS_PREFIX)
