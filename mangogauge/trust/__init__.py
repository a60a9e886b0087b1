"""Which endpoints to trust, by what they do and not by what they say."""

from .evidence import EndpointEvidence
from .outcomes import NO_EVIDENCE, Evidence, Outcome, OutcomeWindow
from .outliers import find_outliers
from .paces import PeakEwma, compare_paces
from .sendings import Sending
from .silence import SilenceJudge
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
    "SilenceJudge",
    "Standing",
    "compare_paces",
    "find_outliers",
]
