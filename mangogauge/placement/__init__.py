"""Placement of requests and items: endpoint choice, health, queue, batch room."""

from .choice import EndpointChooser
from .health import EndpointHealth
from .outlook import SlotOutlook
from .prober import ReachabilityProber
from .queue import SlotQueue
from .room import BatchRoom

__all__ = [
    "BatchRoom",
    "EndpointChooser",
    "EndpointHealth",
    "ReachabilityProber",
    "SlotOutlook",
    "SlotQueue",
]
