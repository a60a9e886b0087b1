"""Short queues, fair by work, and admission by deadline."""

from .admission import estimate_wait
from .fair import FairQueue, Ticket

__all__ = ["FairQueue", "Ticket", "estimate_wait"]
