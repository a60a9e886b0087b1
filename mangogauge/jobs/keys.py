"""Keys of batch jobs in the store.

``jobs/JOB/...`` holds what callers submitted and what they read, until the job is
deleted after its retention. ``work/JOB/...`` holds what hosts must know about open
jobs: small entries, which every host that runs items watches.
"""

__all__ = [
    "CANCELLED",
    "CLAIM",
    "CLOSED_PREFIX",
    "OPEN",
    "WORK_PREFIX",
    "make_closed_key",
    "make_failures_key",
    "make_input_key",
    "make_job_prefix",
    "make_manifest_key",
    "make_piece_key",
    "make_progress_key",
    "make_result_key",
    "make_results_prefix",
    "make_waiting_key",
    "make_work_key",
    "split_closed_key",
    "split_work_key",
]

JOBS_PREFIX = "jobs/"
WORK_PREFIX = "work/"
CLOSED_PREFIX = "closed/"
WAITING_PREFIX = "waiting/"
OPEN, CLAIM, CANCELLED = "open", "claim", "ended"
POSITION_DIGITS = 6
SECOND_DIGITS = 12


def make_job_prefix(job_id):
    """Return the prefix of a job's manifest, input, failures, progress and results."""
    return f"{JOBS_PREFIX}{job_id}/"


def make_manifest_key(job_id):
    """Return the key of a job's manifest."""
    return f"{make_job_prefix(job_id)}manifest"


def make_input_key(job_id, number):
    """Return the key of one part of the bodies of a job's items."""
    return f"{make_job_prefix(job_id)}input/{number:0{POSITION_DIGITS}d}"


def make_failures_key(job_id):
    """Return the key of the failure counts of a job's items."""
    return f"{make_job_prefix(job_id)}failures"


def make_progress_key(job_id):
    """Return the key of the events that a job's unfinished items have received."""
    return f"{make_job_prefix(job_id)}progress"


def make_results_prefix(job_id):
    """Return the prefix of a job's results."""
    return f"{make_job_prefix(job_id)}results/"


def make_result_key(job_id, position):
    """Return the key of the results that were committed at a position."""
    return f"{make_results_prefix(job_id)}{position:0{POSITION_DIGITS}d}"


def make_piece_key(job_id, name, number):
    """Return the key of one piece of a result that is larger than a value."""
    return f"{make_job_prefix(job_id)}pieces/{name}/{number:0{POSITION_DIGITS}d}"


def make_work_key(job_id, kind):
    """Return the key of an open job's entry of a kind: OPEN, CLAIM or CANCELLED."""
    return f"{WORK_PREFIX}{job_id}/{kind}"


def split_work_key(key):
    """Return the job's id and the kind of an entry, given its key."""
    job_id, _, kind = key.removeprefix(WORK_PREFIX).rpartition("/")
    return job_id, kind


def make_waiting_key(account, route):
    """Return the key of the tokens that an account has waiting on a route."""
    return f"{WAITING_PREFIX}{account}/{route}"


def make_closed_key(second, job_id):
    """Return the key by which retention finds a closed job.

    Parameters
    ----------
    second : int
        When the job was closed, in seconds since the Unix epoch.
    job_id : str
    """
    return f"{CLOSED_PREFIX}{second:0{SECOND_DIGITS}d}/{job_id}"


def split_closed_key(key):
    """Return the closing time (Unix seconds) and the job's id, given the key."""
    second, _, job_id = key.removeprefix(CLOSED_PREFIX).partition("/")
    return int(second), job_id
