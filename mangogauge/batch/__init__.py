"""Batch jobs: files, acceptance, ownership, running and results."""

from .batch_resource import BatchResource, JobCounter
from .chunks import ChunkLedger, ChunkState
from .commits import ChunkStore, CommitOutcome, OwnedChunk
from .file_resource import FileResource
from .files import FileRecord, FileStore
from .jobs import Job, JobCounts, JobState, JobStore
from .load import ObservedRouter
from .ownership import Continuation, HostLease, LapsePolicy, LeaseSight
from .part import BatchPart
from .results import ResultReader
from .room import FixedRoom, RoomLimits, SpareRoom, choose_host
from .runner import BatchParts, BatchRunner
from .scheduling import FairShare, JobOutlook, OpenWork, RiskBoard

__all__ = [
    "BatchPart",
    "BatchParts",
    "BatchResource",
    "BatchRunner",
    "ChunkLedger",
    "ChunkState",
    "ChunkStore",
    "CommitOutcome",
    "Continuation",
    "FairShare",
    "FileRecord",
    "FileResource",
    "FileStore",
    "FixedRoom",
    "HostLease",
    "Job",
    "JobCounter",
    "JobCounts",
    "JobOutlook",
    "JobState",
    "JobStore",
    "LapsePolicy",
    "LeaseSight",
    "ObservedRouter",
    "OpenWork",
    "OwnedChunk",
    "ResultReader",
    "RiskBoard",
    "RoomLimits",
    "SpareRoom",
    "choose_host",
]
