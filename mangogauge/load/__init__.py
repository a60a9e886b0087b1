"""Open-loop load from a seeded plan, measured from the intended start."""

from .generator import LoadGenerator
from .plan import (
    Arrival,
    ArrivalKind,
    LoadAccount,
    LoadPlan,
    LoadSettings,
    make_arrivals,
    read_plan,
)
from .tally import Outcome, Sample, Tally

__all__ = [
    "Arrival",
    "ArrivalKind",
    "LoadAccount",
    "LoadGenerator",
    "LoadPlan",
    "LoadSettings",
    "Outcome",
    "Sample",
    "Tally",
    "make_arrivals",
    "read_plan",
]
