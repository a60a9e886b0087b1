"""Rates and bursts of client accounts, over the whole fleet."""

from .bucket import TokenBucket
from .budget import HostBudget, Wanted
from .claims import ClaimPlanner, Plan
from .demand import DemandEstimate
from .directory import Lender, LenderDirectory
from .keeper import SlotKeeper, lease_key
from .ledger import AccountLedger
from .lending import LoanExchange
from .limiter import Admission, FleetLimiter, Limiter, LocalLimiter
from .loans import LoanGrant, LoanRequest, Reserve
from .machine import read_machine_identity
from .rights import HostRights, Right
from .slots import Owner, Part, PartKind, Slot, SlotTable, Suspicion, Terms

__all__ = [
    "AccountLedger",
    "Admission",
    "ClaimPlanner",
    "DemandEstimate",
    "FleetLimiter",
    "HostBudget",
    "HostRights",
    "Lender",
    "LenderDirectory",
    "Limiter",
    "LoanExchange",
    "LoanGrant",
    "LoanRequest",
    "LocalLimiter",
    "Owner",
    "Part",
    "PartKind",
    "Plan",
    "Reserve",
    "Right",
    "Slot",
    "SlotKeeper",
    "SlotTable",
    "Suspicion",
    "Terms",
    "TokenBucket",
    "Wanted",
    "lease_key",
    "read_machine_identity",
]
