"""Batch jobs: files, acceptance, ownership, running and results."""

from .batch_resource import BatchResource, JobCounter
from .chunks import ChunkLedger, ChunkState
from .commits import ChunkStore, CommitOutcome, OwnedChunk
from .file_resource import FileResource
from .files import FileRecord, FileStore
from .fillers import FillerChooser, choose_host
from .jobs import Job, JobCounts, JobState, JobStore
from .ownership import Continuation, HostLease, LapsePolicy, LeaseSight
from .part import BatchPart
from .results import ResultReader
from .room import FixedRoom, RoomLimits, SpareRoom
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
    "FillerChooser",
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
    "OpenWork",
    "OwnedChunk",
    "ResultReader",
    "RiskBoard",
    "RoomLimits",
    "SpareRoom",
    "choose_host",
]
