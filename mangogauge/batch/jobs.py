"""Jobs in the platform's store."""

import enum
import hashlib
import uuid

import orjson
from attrs import asdict, evolve, field, frozen
from returns.result import Failure, Success

from ..store import Condition, Conflict, Operation, encode_record
from .files import FileRecord
from .keys import (
    ACCOUNT_JOBS_PREFIX,
    CANCELS_PREFIX,
    OPEN_PREFIX,
    make_account_key,
    make_expiry_key,
    make_job_key,
    make_open_key,
)

__all__ = [
    "Job",
    "JobCounts",
    "JobState",
    "JobStore",
    "Need",
    "OpenJob",
    "compute_fingerprint",
]

CREATE_TRIES = 8
OPEN_PAGE = 128


class JobState(enum.Enum):
    """Where a job stands; it never goes back."""

    IN_PROGRESS = "in_progress"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    COMPLETED = "completed"


@frozen
class JobCounts:
    """How far a job's items are.

    Parameters
    ----------
    completed, failed : int
        Items.
    output_bytes, error_bytes : int
        Sizes of the two result files.
    tokens : int
        Tokens generated and read.
    """

    completed = field(default=0)
    failed = field(default=0)
    output_bytes = field(default=0)
    error_bytes = field(default=0)
    tokens = field(default=0)


@frozen
class Job:
    """A batch job: the manifest of its chunks, and where it stands.

    Parameters
    ----------
    job_id, account, file_id, upload_id : str
    counts : tuple of int
        Items in each chunk.
    target, window : str
        As submitted.
    created_at, due_at, expires_at : int
        Seconds since the Unix epoch.
    fingerprint : str
        Hash of what was submitted.
    metadata : dict
        The caller's own notes.
    state : JobState
    ended_at : int
    done : JobCounts
        Set when the job has ended.
    """

    job_id = field()
    account = field()
    file_id = field()
    upload_id = field()
    counts = field(converter=tuple)
    target = field()
    window = field()
    created_at = field()
    due_at = field()
    expires_at = field()
    fingerprint = field()
    metadata = field(factory=dict)
    state = field(default=JobState.IN_PROGRESS, converter=JobState)
    ended_at = field(default=0)
    done = field(factory=JobCounts)

    @property
    def total(self):
        """Number of items."""
        return sum(self.counts)

    @property
    def is_open(self):
        """Whether something is still to be done about it."""
        return self.state in (JobState.IN_PROGRESS, JobState.CANCELLING)

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        value = orjson.loads(data)
        return cls(**{**value, "done": JobCounts(**value["done"])})

    def to_bytes(self):
        """Encode for the platform's store."""
        return orjson.dumps({**asdict(self), "state": self.state.value})


@frozen
class Need:
    """What some items of a job ask for.

    Parameters
    ----------
    target : str
        Path.
    model : str
        Empty on service routes.
    """

    target = field()
    model = field(default="")


@frozen
class OpenJob:
    """What the index of open work says of a job.

    Parameters
    ----------
    job_id, account : str
    due_at : int
        Seconds since the Unix epoch.
    items : int
    needs : tuple of Need
        Those of its first chunk; empty if it has none.
    """

    job_id = field()
    account = field()
    due_at = field()
    items = field()
    needs = field(default=(), converter=tuple)

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        value = orjson.loads(data)
        return cls(**{**value, "needs": [Need(**need) for need in value["needs"]]})

    def to_bytes(self):
        """Encode for the platform's store."""
        return orjson.dumps(asdict(self))


def compute_fingerprint(digest, target, window, metadata):
    """Return a hash of what was submitted.

    Notes
    -----
    It covers the input's content, not the id of its file: a client that
    uploads the same file again and resends gets the same job.
    """
    value = [digest, target, window, metadata]
    data = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=16).hexdigest()


class JobStore:
    """Read and write jobs.

    Parameters
    ----------
    records : RecordStore
    """

    def __init__(self, records):
        self._records = records

    async def create(self, job, file_row, needs):
        """Put a new job in force, with its index entries, by one write.

        Parameters
        ----------
        job : Job
        file_row : StoredRecord
            The input file as it was read.
        needs : iterable of Need

        Returns
        -------
        returns.result.Result
            ``Success(Job)``: this job, or the one that is already there under
            the same id; ``Success(None)`` if the input file is gone.
        """
        for _ in range(CREATE_TRIES):
            written = await self._records.write(
                make_job_key(job.job_id),
                job.to_bytes(),
                extra=_make_entries(job, file_row, needs),
            )
            if isinstance(written, Failure):
                return written
            outcome = written.unwrap()
            if not isinstance(outcome, Conflict):
                return Success(job)
            if outcome.current is not None:
                return Success(Job.from_bytes(outcome.current.payload))
            found = await self._records.read(file_row.key)
            if isinstance(found, Failure) or found.unwrap() is None:
                return found
            file_row = found.unwrap()
        return Success(None)

    async def read(self, job_id):
        """Return ``Success(StoredRecord or None)``."""
        return await self._records.read(make_job_key(job_id))

    async def list_account(self, account, limit, after=None):
        """Return ``Success(list of Job)``, the newest first."""
        start = (
            make_account_key(account, after.created_at, after.job_id) if after else ""
        )
        listed = await self._records.store.list_prefix(
            f"{ACCOUNT_JOBS_PREFIX}{account}/", limit, start, keys_only=True
        )
        if isinstance(listed, Failure):
            return listed
        jobs = []
        for item in listed.unwrap():
            row = await self.read(item.key.rpartition("/")[2])
            if isinstance(row, Failure):
                return row
            if row.unwrap() is not None:
                jobs.append(Job.from_bytes(row.unwrap().payload))
        return Success(jobs)

    async def list_open(self, start):
        """Return ``Success(list of OpenJob)``: a page from `start` on.

        Parameters
        ----------
        start : str
            Hexadecimal digits; entries are spread evenly over them.
        """
        store = self._records.store
        listed = await store.list_prefix(OPEN_PREFIX, OPEN_PAGE, OPEN_PREFIX + start)
        if isinstance(listed, Failure):
            return listed
        items = listed.unwrap()
        if len(items) < OPEN_PAGE:
            listed = await store.list_prefix(OPEN_PREFIX, OPEN_PAGE - len(items))
            if isinstance(listed, Failure):
                return listed
            items = {i.key: i for i in [*items, *listed.unwrap()]}.values()
        return Success([OpenJob.from_bytes(item.value) for item in items])

    async def list_cancels(self):
        """Return ``Success(set of str)``: jobs that are being cancelled."""
        listed = await self._records.store.list_prefix(CANCELS_PREFIX, keys_only=True)
        return listed.map(lambda items: {i.key.rpartition("/")[2] for i in items})

    async def cancel(self, row):
        """Record that a job is to stop.

        Returns
        -------
        returns.result.Result
            ``Success(Job)`` as it then is; None if it has been removed.
        """
        while row is not None:
            job = Job.from_bytes(row.payload)
            if job.state is not JobState.IN_PROGRESS:
                return Success(job)
            stopping = evolve(job, state=JobState.CANCELLING)
            written = await self._records.write(
                row.key,
                stopping.to_bytes(),
                row,
                extra=[Operation(CANCELS_PREFIX + job.job_id, b"-")],
            )
            if isinstance(written, Failure):
                return written
            if not isinstance(written.unwrap(), Conflict):
                return Success(stopping)
            row = written.unwrap().current
        return Success(None)

    async def end(self, row, state, done, now):
        """Record the end of a job, if it has not changed since it was read."""
        job = Job.from_bytes(row.payload)
        ended = evolve(job, state=state, done=done, ended_at=int(now))
        extra = [
            Operation(make_open_key(job.job_id)),
            Operation(CANCELS_PREFIX + job.job_id),
        ]
        return await self._records.write(row.key, ended.to_bytes(), row, extra=extra)


def _make_entries(job, file_row, needs):
    """Return what is written along with a new job."""
    file = FileRecord.from_bytes(file_row.payload)
    # Its record changes, so that the collector can't remove it meanwhile.
    kept = evolve(file, expires_at=max(file.expires_at, job.expires_at))
    data = encode_record(kept.to_bytes(), uuid.uuid4().hex, file_row)
    entry = OpenJob(job.job_id, job.account, job.due_at, job.total, needs)
    listed = make_account_key(job.account, job.created_at, job.job_id)
    return [
        Condition(file_row.key, file_row.revision),
        Operation(file_row.key, data),
        Operation(make_open_key(job.job_id), entry.to_bytes()),
        Operation(listed, b"-"),
        Operation(make_expiry_key(job.expires_at, "job", job.job_id), b"-"),
    ]
