"""How configuration and keys reach all hosts, and how that is confirmed."""

from .confirmations import Confirmation, Confirmations
from .distributor import Distributor
from .relay import RelayDuty, rank_relays
from .replica import Replica
from .roster import Roster, RosterEntry, RosterKeeper

__all__ = [
    "Confirmation",
    "Confirmations",
    "Distributor",
    "RelayDuty",
    "Replica",
    "Roster",
    "RosterEntry",
    "RosterKeeper",
    "rank_relays",
]
