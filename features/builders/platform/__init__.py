"""A small platform of our own: its store, its endpoints, and hosts before them.

The stand-ins speak what the users' pages say, so that the adapter and the whole
path are played without their bench.
"""

from .deployment import PlatformDeployment

__all__ = ["PlatformDeployment"]
