"""Online calls with an ``Idempotency-Key``: run once, with the answer replayed."""

from .dispatcher import KeyedDispatcher
from .grouping import GroupWriter, KeyWrite, WriteOutcome
from .part import KeyedCalls
from .recording import Recording, RecordingSink
from .writing import FleetWriter, choose_writer

__all__ = [
    "FleetWriter",
    "GroupWriter",
    "KeyWrite",
    "KeyedCalls",
    "KeyedDispatcher",
    "Recording",
    "RecordingSink",
    "WriteOutcome",
    "choose_writer",
]
