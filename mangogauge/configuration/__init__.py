"""The versioned configuration: recorded at the platform, in force on hosts."""

from .difference import describe_difference
from .replica import ConfigurationReplica
from .store import ConfigurationStore, VersionedConfiguration

__all__ = [
    "ConfigurationReplica",
    "ConfigurationStore",
    "VersionedConfiguration",
    "describe_difference",
]
