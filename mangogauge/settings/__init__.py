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
    LimitSettings,
    Model,
    RoomKind,
    Route,
    RouteKind,
    read_fleet,
)
from .host import HostSettings, PeerSettings, PlatformSettings, read_host
from .kinds import Kind
from .problems import Problem, SettingsError

__all__ = [
    "BatchSettings",
    "ClientAccount",
    "ConfigurationDocuments",
    "DataCentre",
    "Endpoint",
    "EndpointKind",
    "FleetSettings",
    "HostSettings",
    "IdempotencySettings",
    "Kind",
    "LimitSettings",
    "Model",
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
