"""Frequent reports between hosts: running work, admissions, copies of the store."""

from .changenews import ChangeNews
from .copies import CopyReport
from .copynews import CopyNews
from .crashes import CrashLedger
from .datagrams import DATAGRAM_BYTES
from .exchange import ReportExchange
from .freshness import SharedFreshness
from .gossip import Gossip
from .limits import LimitExchange
from .pacing import estimate_report_delay
from .quota import Admission, SharedQuota
from .quota_line import QuotaLine
from .rates import RateExchange
from .readbackoff import ReadBackoff
from .readorder import ReadOrder
from .report_table import ReportTable
from .reports import EndpointLoad, HostReport, ReportError
from .summaries import DataCentreSummary, DataCentreTotals
from .summing import age_copies, sum_up
from .topology import ReportTopology

__all__ = [
    "DATAGRAM_BYTES",
    "Admission",
    "ChangeNews",
    "CopyNews",
    "CopyReport",
    "CrashLedger",
    "DataCentreSummary",
    "DataCentreTotals",
    "EndpointLoad",
    "Gossip",
    "HostReport",
    "LimitExchange",
    "QuotaLine",
    "ReadBackoff",
    "ReadOrder",
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
