"""Frequent reports between hosts: running work, admissions, copies of the store."""

from .copies import CopyReport
from .crashes import CrashLedger
from .exchange import ReportExchange
from .freshness import SharedFreshness
from .gossip import Gossip
from .limits import LimitExchange
from .pacing import estimate_report_delay
from .quota import Admission, SharedQuota
from .rates import RateExchange
from .report_table import ReportTable
from .reports import EndpointLoad, HostReport, ReportError
from .summaries import DataCentreSummary, DataCentreTotals
from .summing import age_copies, sum_up
from .topology import ReportTopology

__all__ = [
    "Admission",
    "CopyReport",
    "CrashLedger",
    "DataCentreSummary",
    "DataCentreTotals",
    "EndpointLoad",
    "Gossip",
    "HostReport",
    "LimitExchange",
    "ReportTable",
    "ReportError",
    "RateExchange",
    "ReportExchange",
    "ReportTopology",
    "SharedFreshness",
    "SharedQuota",
    "age_copies",
    "estimate_report_delay",
    "sum_up",
]
