"""The users' platform: its names and formats, decoded once into typed messages.

Nothing here decides anything. The classes implement the product's own
interfaces: `ChangeFeed` and `Store`, `FleetSource`, `CallerDialect`,
`EndpointDialect` and `JobDialect`.
"""

from ..lazy import attach_lazily

__all__ = [
    "PlatformCallers",
    "PlatformEndpoints",
    "PlatformJobs",
    "PlatformSource",
    "PlatformStore",
]

__getattr__ = attach_lazily(
    __name__,
    {
        "callers": ("PlatformCallers",),
        "endpoints": ("PlatformEndpoints",),
        "jobs": ("PlatformJobs",),
        "source": ("PlatformSource",),
        "store": ("PlatformStore",),
    },
)
