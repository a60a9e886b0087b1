"""Where the store keeps batch jobs.

``jobs/JOB/...`` holds what callers handed in and what they read, and stays until
the job is forgotten. ``work/JOB/...`` holds what hosts have to know about jobs
that are open: small entries, which every host that runs items follows.
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
    """Return the prefix of everything that a job's callers may read."""
    return f"{JOBS_PREFIX}{job_id}/"


def make_manifest_key(job_id):
    """Return the key of a job's manifest."""
    return f"{make_job_prefix(job_id)}manifest"


def make_input_key(job_id, number):
    """Return the key of a part of a job's bodies."""
    return f"{make_job_prefix(job_id)}input/{number:0{POSITION_DIGITS}d}"


def make_failures_key(job_id):
    """Return the key of how often a job's items have failed."""
    return f"{make_job_prefix(job_id)}failures"


def make_results_prefix(job_id):
    """Return the prefix of a job's results."""
    return f"{make_job_prefix(job_id)}results/"


def make_result_key(job_id, position):
    """Return the key of the results from a position on."""
    return f"{make_results_prefix(job_id)}{position:0{POSITION_DIGITS}d}"


def make_work_key(job_id, kind):
    """Return the key of one entry of an open job."""
    return f"{WORK_PREFIX}{job_id}/{kind}"


def split_work_key(key):
    """Return job and kind of an entry's key."""
    job_id, _, kind = key.removeprefix(WORK_PREFIX).rpartition("/")
    return job_id, kind


def make_waiting_key(account, route):
    """Return the key of what an account has waiting on a route."""
    return f"{WAITING_PREFIX}{account}/{route}"


def make_closed_key(second, job_id):
    """Return the key by which a job is found once it may be forgotten."""
    return f"{CLOSED_PREFIX}{second:0{SECOND_DIGITS}d}/{job_id}"


def split_closed_key(key):
    """Return the second and the job of a closed job's key."""
    second, _, job_id = key.removeprefix(CLOSED_PREFIX).partition("/")
    return int(second), job_id
