"""The versioned configuration: recorded at the platform, in force on hosts."""

from .store import ConfigurationStore, VersionedConfiguration

__all__ = ["ConfigurationStore", "VersionedConfiguration"]
