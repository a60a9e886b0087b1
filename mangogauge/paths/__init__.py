"""Paths from a host to the endpoints: direct, or through a peer that reaches them."""

from .checker import PathChecker
from .connector import NoPeerAllowedError, TunnelConnector
from .peers import TunnelPeers
from .pool import EndpointPool
from .relay import TUNNEL_PREFIX, EndpointRelay
from .states import PathState
from .table import PathTable

__all__ = [
    "TUNNEL_PREFIX",
    "EndpointPool",
    "EndpointRelay",
    "NoPeerAllowedError",
    "PathChecker",
    "PathState",
    "PathTable",
    "TunnelConnector",
    "TunnelPeers",
]
