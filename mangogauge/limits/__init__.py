"""Rate limits of client accounts, enforced over the whole fleet."""

from .allocations import Allocation, HostAllocations
from .bucket import TokenBucket
from .budget import HostBudget
from .claims import ClaimPlanner, Plan
from .demand import DemandEstimate
from .directory import Lender, LenderDirectory
from .ledger import AccountLedger
from .lending import LoanExchange
from .limiter import Admission, FleetLimiter, Limiter, LocalLimiter
from .loans import LoanGrant, LoanPlan, LoanRequest, Reserve
from .machine import read_machine_identity
from .slot_manager import SlotManager, make_lease_key
from .slots import Owner, Part, PartKind, Slot, SlotTable, Suspicion, Terms

__all__ = [
    "AccountLedger",
    "Admission",
    "Allocation",
    "ClaimPlanner",
    "DemandEstimate",
    "FleetLimiter",
    "HostAllocations",
    "HostBudget",
    "Lender",
    "LenderDirectory",
    "Limiter",
    "LoanExchange",
    "LoanGrant",
    "LoanPlan",
    "LoanRequest",
    "LocalLimiter",
    "Owner",
    "Part",
    "PartKind",
    "Plan",
    "Reserve",
    "Slot",
    "SlotManager",
    "SlotTable",
    "Suspicion",
    "Terms",
    "TokenBucket",
    "make_lease_key",
    "read_machine_identity",
]
