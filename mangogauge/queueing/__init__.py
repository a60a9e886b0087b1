"""Fair queueing by work, and estimates of waiting times for admission."""

from .admission import estimate_wait
from .fair import FairQueue, Ticket

__all__ = ["FairQueue", "Ticket", "estimate_wait"]
