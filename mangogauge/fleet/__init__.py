"""A host's view of the fleet: routes, client accounts, endpoints and hosts."""

from .absence import AbsenceCertainty, AbsenceChecker
from .confirmation import ConfigurationConfirmation
from .directory import EndpointDirectory
from .follower import Follower, Listener
from .isolation import IsolationDetector
from .membernews import MemberNews
from .members import FleetMember, MemberDirectory, Registration
from .neighbours import Neighbours
from .records import (
    Account,
    Configuration,
    FleetEndpoint,
    PrefixRoute,
    RequestSemantics,
    Service,
    ServiceShare,
)
from .retirement import RetirementController
from .routes import PrefixRoutes
from .schedule import FixedDelaySchedule, ReadSchedule, SharedSchedule
from .silent import SilentHosts
from .source import FleetSource, OperatorEntry, RetirementRequest
from .state import FleetState, OperatorListener

__all__ = [
    "Account",
    "AbsenceChecker",
    "Configuration",
    "EndpointDirectory",
    "FleetEndpoint",
    "FleetMember",
    "FleetSource",
    "FleetState",
    "Follower",
    "IsolationDetector",
    "Listener",
    "MemberDirectory",
    "MemberNews",
    "Neighbours",
    "ConfigurationConfirmation",
    "OperatorListener",
    "OperatorEntry",
    "PrefixRoute",
    "PrefixRoutes",
    "ReadSchedule",
    "Registration",
    "RetirementController",
    "RetirementRequest",
    "RequestSemantics",
    "Service",
    "ServiceShare",
    "SharedSchedule",
    "SilentHosts",
    "FixedDelaySchedule",
    "AbsenceCertainty",
]
