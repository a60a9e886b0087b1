"""How fast the budgets of the service level objectives burn."""

from .burn import (
    ALERT_WINDOWS,
    AlertWindow,
    ObjectiveBurn,
    WindowBurn,
    compute_burns,
    list_missing,
)
from .measures import MEASURES, Counts, Measure
from .rules import make_rules
from .snapshots import Snapshot, append_snapshots, parse_metrics, read_snapshots

__all__ = [
    "ALERT_WINDOWS",
    "AlertWindow",
    "Counts",
    "MEASURES",
    "Measure",
    "ObjectiveBurn",
    "Snapshot",
    "WindowBurn",
    "append_snapshots",
    "compute_burns",
    "list_missing",
    "make_rules",
    "parse_metrics",
    "read_snapshots",
]
