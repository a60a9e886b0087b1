"""Batch jobs whose items and results live in the platform's store."""

from .acceptance import JobAcceptance
from .cancellation import EndWatch
from .dialect import JobDialect, JobOperation, JobTarget
from .directory import WorkBoard
from .handler import JobFront
from .reading import JobReader
from .records import ItemResult, ItemState, JobItem, JobManifest, Submission
from .retention import JobRetention
from .runner import JobRunner

__all__ = [
    "EndWatch",
    "ItemResult",
    "ItemState",
    "JobAcceptance",
    "JobDialect",
    "JobFront",
    "JobItem",
    "JobManifest",
    "JobOperation",
    "JobReader",
    "JobRetention",
    "JobRunner",
    "JobTarget",
    "Submission",
    "WorkBoard",
]
