"""Placement of requests and items: endpoint choice, health, queue, batch room."""

from .choice import EndpointChooser
from .eligibility import ANYWHERE, Eligibility, IneligibilityReason, WorkScope
from .evacuations import EvacuationMonitor
from .health import EndpointHealth
from .outlook import SlotOutlook
from .prober import ReachabilityProber
from .queue import SlotQueue
from .room import BatchRoom
from .spillover import Spillover

__all__ = [
    "ANYWHERE",
    "BatchRoom",
    "Eligibility",
    "EndpointChooser",
    "EndpointHealth",
    "EvacuationMonitor",
    "IneligibilityReason",
    "ReachabilityProber",
    "SlotOutlook",
    "SlotQueue",
    "Spillover",
    "WorkScope",
]
