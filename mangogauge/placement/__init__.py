"""Where requests and items run: choice, health, queue, room for batch work."""

from .choice import EndpointChooser
from .health import EndpointHealth
from .prober import ReachabilityProber
from .queue import SlotQueue
from .room import BatchRoom

__all__ = [
    "BatchRoom",
    "EndpointChooser",
    "EndpointHealth",
    "ReachabilityProber",
    "SlotQueue",
]
