"""Settings: INI files, overlays for data centres, checks with clear messages."""

from ..lazy import attach_lazily
from .problems import Problem, SettingsError

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

__getattr__ = attach_lazily(
    __name__,
    {
        "documents": ("ConfigurationDocuments",),
        "fleet": (
            "BatchSettings",
            "ClientAccount",
            "DataCentre",
            "Endpoint",
            "EndpointKind",
            "FleetSettings",
            "IdempotencySettings",
            "KeySettings",
            "LimitSettings",
            "Model",
            "Objective",
            "ObjectiveKind",
            "RoomKind",
            "Route",
            "RouteKind",
        ),
        "host": (
            "CallerSettings",
            "HostSettings",
            "PeerSettings",
            "PlatformSettings",
            "read_host",
        ),
        "kinds": ("Kind",),
        "reading": ("read_fleet",),
    },
)
