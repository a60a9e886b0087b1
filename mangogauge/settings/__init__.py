"""Settings: INI files, overlays for data centres, checks with clear messages."""

from .documents import ConfigurationDocuments
from .fleet import (
    ClientAccount,
    DataCentre,
    Endpoint,
    EndpointKind,
    FleetSettings,
    LimitSettings,
    Model,
    Objective,
    ObjectiveKind,
    Route,
    RouteKind,
    read_fleet,
)
from .host import HostSettings, PeerSettings, PlatformSettings, read_host
from .kinds import Kind
from .problems import Problem, SettingsError

__all__ = [
    "ClientAccount",
    "ConfigurationDocuments",
    "DataCentre",
    "Endpoint",
    "EndpointKind",
    "FleetSettings",
    "HostSettings",
    "Kind",
    "LimitSettings",
    "Model",
    "Objective",
    "ObjectiveKind",
    "PeerSettings",
    "PlatformSettings",
    "Problem",
    "Route",
    "RouteKind",
    "SettingsError",
    "read_fleet",
    "read_host",
]
