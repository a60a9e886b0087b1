"""What a host knows of the fleet: routes, client accounts, endpoints, hosts."""

from .absence import AbsenceWatch
from .certainty import Certainty, Sureness
from .confirmation import OrderConfirmation
from .directory import EndpointDirectory
from .follower import Follower, Listener
from .isolation import IsolationWatch
from .members import FleetMember, MemberDirectory, Registration
from .records import (
    Account,
    Configuration,
    FleetEndpoint,
    PrefixRoute,
    RouteNature,
    ServiceShare,
)
from .relays import RelayDirectory
from .retirement import RetirementKeeper
from .routes import PrefixRoutes
from .schedule import ReadSchedule, SharedSchedule, SteadySchedule
from .source import FleetSource, OrdersRead, RetirementOrder
from .state import FleetState, OrderListener

__all__ = [
    "AbsenceWatch",
    "Account",
    "Certainty",
    "Configuration",
    "EndpointDirectory",
    "FleetEndpoint",
    "FleetMember",
    "FleetSource",
    "FleetState",
    "Follower",
    "IsolationWatch",
    "Listener",
    "MemberDirectory",
    "OrderConfirmation",
    "OrderListener",
    "OrdersRead",
    "PrefixRoute",
    "PrefixRoutes",
    "ReadSchedule",
    "Registration",
    "RelayDirectory",
    "RetirementKeeper",
    "RetirementOrder",
    "RouteNature",
    "ServiceShare",
    "SharedSchedule",
    "SteadySchedule",
    "Sureness",
]
