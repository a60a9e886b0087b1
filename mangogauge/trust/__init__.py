"""Which endpoints to trust, by what they do and not by what they say."""

from .attempts import AttemptObserver
from .ejection import EjectionState, EndpointEjection
from .endpoints import EndpointTrust
from .evidence import EndpointEvidence
from .outcomes import NO_EVIDENCE, Evidence, Outcome, OutcomeWindow
from .outliers import find_outliers
from .silence import SilenceDetector
from .slowdowns import PeakEwma, compute_slowdowns

__all__ = [
    "NO_EVIDENCE",
    "AttemptObserver",
    "EjectionState",
    "EndpointEjection",
    "EndpointEvidence",
    "EndpointTrust",
    "Evidence",
    "Outcome",
    "OutcomeWindow",
    "PeakEwma",
    "SilenceDetector",
    "compute_slowdowns",
    "find_outliers",
]
