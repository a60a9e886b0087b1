"""Outlier detection: trust in endpoints by the outcomes of their requests."""

from .attempts import AttemptObserver
from .ejection import EjectionState, EndpointEjection
from .endpoints import EndpointTrust
from .evidence import EndpointEvidence
from .outcomes import NO_EVIDENCE, Evidence, Outcome, OutcomeWindow
from .outliers import find_outliers
from .rate_news import RateNews, RateRow
from .rates import EndpointRates
from .silence import SilenceDetector
from .slowdowns import PeakEwma, compute_slowdowns

__all__ = [
    "NO_EVIDENCE",
    "AttemptObserver",
    "EjectionState",
    "EndpointEjection",
    "EndpointEvidence",
    "EndpointRates",
    "EndpointTrust",
    "Evidence",
    "Outcome",
    "OutcomeWindow",
    "PeakEwma",
    "RateNews",
    "RateRow",
    "SilenceDetector",
    "compute_slowdowns",
    "find_outliers",
]
