"""Names of the platform's keys for batch work, and identities of jobs."""

import hashlib
import uuid

__all__ = [
    "ACCOUNT_JOBS_PREFIX",
    "CANCELS_PREFIX",
    "EXPIRY_PREFIX",
    "INPUT_PREFIX",
    "OPEN_PREFIX",
    "RESULTS_PREFIX",
    "WORK_PREFIX",
    "make_account_key",
    "make_claim_key",
    "make_expiry_key",
    "make_file_key",
    "make_identity",
    "make_input_key",
    "make_job_key",
    "make_open_key",
    "make_result_key",
    "make_state_key",
    "make_upload_id",
]

ACCOUNT_JOBS_PREFIX = "account-jobs/"
CANCELS_PREFIX = "cancels/"
EXPIRY_PREFIX = "expiry/"
INPUT_PREFIX = "input/"
OPEN_PREFIX = "open/"
RESULTS_PREFIX = "results/"
WORK_PREFIX = "work/"
# Listing by this falls from the newest job to the oldest.
LATEST_SECOND = 0xFFFFFFFF


def make_identity(prefix, account, key):
    """Return the id of what a client account asked for under a key.

    Notes
    -----
    The id follows from account and key, so the record at that id is itself
    the mapping from key to job: it can't be written without the job.
    """
    if not key:
        return f"{prefix}{uuid.uuid4().hex}"
    digest = hashlib.blake2b(f"{account}\0{key}".encode(), digest_size=16)
    return f"{prefix}{digest.hexdigest()}"


def make_upload_id(now):
    """Return an id whose order is that of the start of uploads."""
    return f"{int(now):08x}-{uuid.uuid4().hex}"


def make_file_key(file_id):
    """Return where a file's record is."""
    return f"files/{file_id}"


def make_input_key(upload_id, number):
    """Return where a chunk of an upload is."""
    return f"{INPUT_PREFIX}{upload_id}/{number:06}"


def make_job_key(job_id):
    """Return where a job's record is."""
    return f"jobs/{job_id}"


def make_open_key(job_id):
    """Return where an unfinished job is listed, spread evenly by a hash."""
    spread = hashlib.blake2b(job_id.encode(), digest_size=4).hexdigest()
    return f"{OPEN_PREFIX}{spread}/{job_id}"


def make_account_key(account, created_at, job_id):
    """Return where a client account's job is listed, the newest first."""
    return f"{ACCOUNT_JOBS_PREFIX}{account}/{LATEST_SECOND - created_at:08x}/{job_id}"


def make_expiry_key(expires_at, kind, name):
    """Return where the end of something's retention is noted."""
    return f"{EXPIRY_PREFIX}{int(expires_at):010x}/{kind}/{name}"


def make_state_key(job_id, number):
    """Return where a chunk's state is."""
    return f"{WORK_PREFIX}{job_id}/{number:06}/state"


def make_claim_key(job_id, number):
    """Return the key that hangs on the lease of a chunk's owner."""
    return f"{WORK_PREFIX}{job_id}/{number:06}/claim"


def make_result_key(job_id, number, group):
    """Return where a group of a chunk's results is."""
    return f"{RESULTS_PREFIX}{job_id}/{number:06}/{group:06}"
