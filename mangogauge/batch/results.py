"""Read a job's results as its output file and its error file."""

import curio
from attrs import field, frozen
from returns.result import Failure, Success

from .commits import BAD_MARK, GOOD_MARK
from .jobs import Job
from .keys import RESULTS_PREFIX
from .packing import unpack

__all__ = ["ResultFile", "ResultReader", "make_error_id", "make_output_id"]

OUTPUT_PREFIX = "file-output-"
ERROR_PREFIX = "file-error-"
MARKS = {OUTPUT_PREFIX: GOOD_MARK, ERROR_PREFIX: BAD_MARK}
FIRST_READ_GROUPS = 2
MOST_READ_GROUPS = 64
READ_BYTES = 2_000_000
READ_TRIES = 5
READ_PAUSE = 0.3


def make_output_id(job_id):
    """Return the id of a job's output file."""
    return OUTPUT_PREFIX + job_id


def make_error_id(job_id):
    """Return the id of a job's error file."""
    return ERROR_PREFIX + job_id


@frozen
class ResultFile:
    """One of the two files of a job's results.

    Parameters
    ----------
    file_id : str
    job : Job
    mark : bytes
        Mark of the results that belong to it.
    """

    file_id = field()
    job = field()
    mark = field()


class ResultReader:
    """Reads results from their committed groups.

    Parameters
    ----------
    records : RecordStore
    jobs : JobStore
    """

    def __init__(self, records, jobs):
        self._records = records
        self._jobs = jobs

    async def find(self, account, file_id):
        """Return ``Success(ResultFile or None)``."""
        prefix = next((p for p in MARKS if file_id.startswith(p)), None)
        if prefix is None:
            return Success(None)
        found = await self._jobs.read(file_id.removeprefix(prefix))
        return found.map(lambda row: _make_file(row, account, file_id, MARKS[prefix]))

    async def iterate(self, file):
        """Yield pieces of the file; each holds whole lines.

        Raises
        ------
        StoreError
            If the platform stays away.
        """
        prefix = f"{RESULTS_PREFIX}{file.job.job_id}/"
        after, limit = "", FIRST_READ_GROUPS
        while True:
            rows = await self._read_page(prefix, after, limit)
            for row in rows:
                piece = _select_lines(unpack(row.payload), file.mark)
                if piece:
                    yield piece
            if len(rows) < limit:
                return
            after, limit = rows[-1].key, _choose_limit(rows)

    async def _read_page(self, prefix, after, limit):
        for attempt in range(READ_TRIES):
            rows = await self._records.list_prefix(prefix, limit, after)
            if not isinstance(rows, Failure):
                return rows.unwrap()
            await curio.sleep(READ_PAUSE * (attempt + 1))
        raise rows.failure()


def _make_file(row, account, file_id, mark):
    job = Job.from_bytes(row.payload) if row else None
    if job is None or job.account != account:
        return None
    return ResultFile(file_id, job, mark)


def _choose_limit(rows):
    """Return how many groups to read next, by the size of the last ones."""
    mean = max(1, sum(len(row.payload) for row in rows) // len(rows))
    return min(MOST_READ_GROUPS, max(FIRST_READ_GROUPS, READ_BYTES // mean))


def _select_lines(lines, mark):
    return b"".join(line[1:] + b"\n" for line in lines if line.startswith(mark))
