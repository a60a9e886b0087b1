"""Small stand-ins for what lies outside: platform, engine, service, network.

They speak the published protocols of what they stand for, and can be told to
fail through a control path, so that tests and experiments bring failures about.
"""

from .engine import Engine, EngineOptions
from .platform import PlatformServer
from .proxy import FaultProxy, Link, LinkFaults
from .service import Service

__all__ = [
    "Engine",
    "EngineOptions",
    "FaultProxy",
    "Link",
    "LinkFaults",
    "PlatformServer",
    "Service",
]
