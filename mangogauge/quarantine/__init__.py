"""Find out which requests crash endpoints, and keep them from endpoints."""

from .culprits import find_culprits
from .news import AnsweredPart, CrashNews
from .parts import PartQuarantine
from .record import QuarantineRecord
from .sightings import CrashSighting
from .trials import PartTrials

__all__ = [
    "AnsweredPart",
    "CrashNews",
    "CrashSighting",
    "PartQuarantine",
    "PartTrials",
    "QuarantineRecord",
    "find_culprits",
]
