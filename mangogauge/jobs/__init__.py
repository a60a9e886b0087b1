"""Batch jobs whose items and results live in the platform's store."""

from .acceptance import JobAcceptance
from .cancellation import CancellationCheck
from .dialect import JobDialect, JobOperation, JobTarget
from .directory import JobDirectory
from .handler import JobRequestHandler
from .reading import JobReader
from .records import ItemResult, ItemState, JobItem, JobManifest, Submission
from .retention import JobRetention
from .runner import JobRunner

__all__ = [
    "CancellationCheck",
    "ItemResult",
    "ItemState",
    "JobAcceptance",
    "JobDialect",
    "JobDirectory",
    "JobItem",
    "JobManifest",
    "JobOperation",
    "JobReader",
    "JobRequestHandler",
    "JobRetention",
    "JobRunner",
    "JobTarget",
    "Submission",
]
