"""Short queues, fair by work, and admission by deadline."""

from .admission import estimate_wait
from .fair import FairQueue, Ticket
from .gate import CapacityGate

__all__ = ["CapacityGate", "FairQueue", "Ticket", "estimate_wait"]
