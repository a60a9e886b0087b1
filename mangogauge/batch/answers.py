"""Files and jobs in the OpenAI shapes, and refusals for what went wrong."""

from returns.result import Failure

from ..refusals import Refusal, RefusalCode
from ..store import StoreLostAnswerError
from .jobs import JobState
from .results import make_error_id, make_output_id
from .scheduling import JobOutlook

__all__ = ["show_file", "show_job", "show_result_file", "take_read", "take_write"]

RETRY_AFTER_SECONDS = 2.0
ENDED_FIELDS = {
    JobState.COMPLETED: "completed_at",
    JobState.CANCELLED: "cancelled_at",
}


def take_read(result):
    """Return the value of a read, or refuse because the platform is away."""
    if isinstance(result, Failure):
        raise _make_away_refusal(result.failure())
    return result.unwrap()


def take_write(result):
    """Return the value of a write that puts something in force, or refuse."""
    if isinstance(result, Failure):
        error = result.failure()
        lost = isinstance(error, StoreLostAnswerError)
        raise _make_unknown_refusal(error) if lost else _make_away_refusal(error)
    return result.unwrap()


def show_file(record):
    """Return an uploaded file's object."""
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.size,
        "created_at": record.created_at,
        "expires_at": record.expires_at,
        "filename": record.name,
        "purpose": record.purpose,
        "status": "processed",
    }


def show_result_file(file, counts):
    """Return a result file's object."""
    is_output = file.file_id == make_output_id(file.job.job_id)
    return {
        "id": file.file_id,
        "object": "file",
        "bytes": counts.output_bytes if is_output else counts.error_bytes,
        "created_at": file.job.created_at,
        "expires_at": file.job.expires_at,
        "filename": f"{file.file_id}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


def show_job(job, counts, now):
    """Return a job's object.

    Parameters
    ----------
    job : Job
    counts : JobCounts
        How far its items are.
    now : float
        Seconds since the Unix epoch.
    """
    shown = {
        "id": job.job_id,
        "object": "batch",
        "endpoint": job.target,
        "errors": None,
        "input_file_id": job.file_id,
        "completion_window": job.window,
        "status": job.state.value,
        "output_file_id": make_output_id(job.job_id) if counts.completed else None,
        "error_file_id": make_error_id(job.job_id) if counts.failed else None,
        "created_at": job.created_at,
        "in_progress_at": job.created_at,
        "expires_at": job.due_at,
        "metadata": job.metadata or None,
        "request_counts": {
            "total": job.total,
            "completed": counts.completed,
            "failed": counts.failed,
        },
        "progress": _show_progress(job, counts, now),
    }
    if job.state in ENDED_FIELDS:
        shown[ENDED_FIELDS[job.state]] = job.ended_at
    return shown


def _show_progress(job, counts, now):
    settled = counts.completed + counts.failed
    outlook = JobOutlook(
        job.total, settled, job.created_at, job.due_at, job.ended_at or now
    )
    expected = job.ended_at or outlook.expected_end
    return {
        "items_per_second": round(outlook.rate, 3),
        "tokens": counts.tokens,
        "expected_end": expected and int(expected),
        "at_risk": job.is_open and outlook.is_at_risk,
    }


def _make_away_refusal(error):
    return Refusal(
        RefusalCode.PLATFORM_AWAY,
        "The platform's store does not answer.",
        retry_after=RETRY_AFTER_SECONDS,
        step="platform",
        peer=error.peer,
    )


def _make_unknown_refusal(error):
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        "The platform's store did not say whether it took the change.",
        executed="unknown",
        step="platform",
        peer=error.peer,
    )
