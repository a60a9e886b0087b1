"""Which endpoints to trust, by what they do and not by what they say."""

from .evidence import EndpointEvidence
from .outcomes import NO_EVIDENCE, Evidence, Outcome, OutcomeWindow
from .outliers import find_outliers
from .paces import PeakEwma, compute_slowdowns
from .sendings import Sending
from .silence import SilenceDetector
from .standing import EndpointStanding, Standing
from .subsystem import EndpointTrust

__all__ = [
    "NO_EVIDENCE",
    "EndpointEvidence",
    "EndpointStanding",
    "EndpointTrust",
    "Evidence",
    "Outcome",
    "OutcomeWindow",
    "PeakEwma",
    "Sending",
    "SilenceDetector",
    "Standing",
    "compute_slowdowns",
    "find_outliers",
]
