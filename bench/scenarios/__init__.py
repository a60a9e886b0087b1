"""The experiments by name."""

from .control import ControlExperiment
from .fair import FairExperiment
from .faults import FaultsExperiment
from .harm import HarmExperiment
from .limits import LimitsExperiment
from .parts import PartsExperiment
from .proxy import ProxyExperiment
from .throughput import BatchExperiment

SCENARIOS = {
    experiment.name: experiment
    for experiment in (
        HarmExperiment,
        FairExperiment,
        LimitsExperiment,
        BatchExperiment,
        FaultsExperiment,
        ControlExperiment,
        PartsExperiment,
        ProxyExperiment,
    )
}

__all__ = ["SCENARIOS"]
