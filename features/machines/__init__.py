"""State machines that run the real classes against the specifications."""

from .batch import BatchMachine, UnfencedBatchMachine
from .chunks import ChunkMachine, UnfencedChunkMachine
from .limits import TokenBucketMachine
from .membership import MembershipMachine

MACHINES = {
    "batch": BatchMachine,
    "batch without epochs": UnfencedBatchMachine,
    "chunks": ChunkMachine,
    "chunks without fencing": UnfencedChunkMachine,
    "membership": MembershipMachine,
    "token bucket": TokenBucketMachine,
}

__all__ = ["MACHINES"]
