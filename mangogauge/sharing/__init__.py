"""What hosts tell each other many times a second: running work, admissions."""

from .board import LoadBoard
from .crashes import CrashLedger
from .exchange import ReportExchange
from .freshness import CopyReport, SharedFreshness
from .pacing import estimate_age
from .quota import Admission, SharedQuota
from .reports import EndpointLoad, HostReport, ReportError

__all__ = [
    "Admission",
    "CopyReport",
    "CrashLedger",
    "EndpointLoad",
    "HostReport",
    "LoadBoard",
    "ReportError",
    "ReportExchange",
    "SharedFreshness",
    "SharedQuota",
    "estimate_age",
]
