"""The users' platform: its names and formats, decoded once into typed messages.

Nothing here decides anything. The classes implement the product's own
interfaces: `ChangeFeed` and `Store`, `FleetSource`, `CallerDialect`,
`EndpointDialect` and `JobDialect`.
"""

from .callers import PlatformCallers
from .endpoints import PlatformEndpoints
from .jobs import PlatformJobs
from .source import PlatformSource
from .store import PlatformStore

__all__ = [
    "PlatformCallers",
    "PlatformEndpoints",
    "PlatformJobs",
    "PlatformSource",
    "PlatformStore",
]
