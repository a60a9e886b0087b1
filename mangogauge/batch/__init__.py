"""Batch jobs: files, acceptance, ownership, running and results."""

from .files import FileRecord, FileStore
from .jobs import Job, JobState, JobStore
from .resources import BatchResource, FileResource
from .runner import BatchRunner

__all__ = [
    "BatchResource",
    "BatchRunner",
    "FileRecord",
    "FileResource",
    "FileStore",
    "Job",
    "JobState",
    "JobStore",
]
