"""Settings: INI files, overlays for data centres, checks with clear messages."""

from .documents import ConfigurationDocuments
from .fleet import (
    BatchSettings,
    ClientAccount,
    DataCentre,
    Endpoint,
    EndpointKind,
    FleetSettings,
    IdempotencySettings,
    KeySettings,
    LimitSettings,
    Model,
    Objective,
    ObjectiveKind,
    RoomKind,
    Route,
    RouteKind,
)
from .host import (
    CallerSettings,
    HostSettings,
    PeerSettings,
    PlatformSettings,
    read_host,
)
from .kinds import Kind
from .problems import Problem, SettingsError
from .reading import read_fleet

__all__ = [
    "CallerSettings",
    "BatchSettings",
    "ClientAccount",
    "ConfigurationDocuments",
    "DataCentre",
    "Endpoint",
    "EndpointKind",
    "FleetSettings",
    "HostSettings",
    "KeySettings",
    "IdempotencySettings",
    "Kind",
    "LimitSettings",
    "Model",
    "Objective",
    "ObjectiveKind",
    "PeerSettings",
    "PlatformSettings",
    "Problem",
    "RoomKind",
    "Route",
    "RouteKind",
    "SettingsError",
    "read_fleet",
    "read_host",
]
