"""The versioned configuration: recorded at the platform, in force on hosts."""

from .store import ConfigurationStore, VersionedConfiguration
from .watcher import ConfigurationWatcher

__all__ = ["ConfigurationStore", "ConfigurationWatcher", "VersionedConfiguration"]
