"""The versioned configuration: recorded at the platform, in force on hosts."""

from .difference import describe_difference
from .replica import ConfigurationReplica
from .staging import StagedVersion, Staging
from .store import ConfigurationStore, VersionedConfiguration

__all__ = [
    "ConfigurationReplica",
    "ConfigurationStore",
    "StagedVersion",
    "Staging",
    "VersionedConfiguration",
    "describe_difference",
]
