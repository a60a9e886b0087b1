"""How one host reaches endpoints, and carries connections for its peers."""

from ..http import ClientLimits, ClientPool
from ..paths import (
    EndpointPool,
    EndpointRelay,
    PathChecker,
    TunnelConnector,
    TunnelPeers,
)

__all__ = ["EndpointAccess"]

# How long an endpoint may take to accept a connection: a request still starts
# within its objective at the next one.
CONNECT_SECONDS = 0.2
# Largest answer of an endpoint that is passed on.
ANSWER_BYTES = 67_108_864


class EndpointAccess:
    """Connections of one host to endpoints, direct and through peers.

    Parameters
    ----------
    fleet : FleetView
    clock : Clock
    random : random.Random

    Attributes
    ----------
    pool : EndpointPool
    checker : PathChecker
    relay : EndpointRelay
    """

    def __init__(self, fleet, clock, random):
        self._fleet = fleet
        paths = fleet.health.paths
        limits = ClientLimits(body_bytes=ANSWER_BYTES)
        direct = ClientPool(CONNECT_SECONDS, limits=limits)
        peers = TunnelPeers(fleet.members, fleet.board, clock, random)
        connector = TunnelConnector(fleet.directory, peers, limits)
        self.checker = PathChecker(
            paths, peers, connector, direct, self._take_lost_path, clock
        )
        # A tunnel carries one request, so that the peer sees when it is done with it.
        tunnels = ClientPool(connector=connector, idle_per_address=0)
        self.pool = EndpointPool(direct, tunnels, paths, self.checker)
        self.relay = EndpointRelay(fleet.directory, paths)

    def _take_lost_path(self, name):
        """Hold nothing against an endpoint to which only this host's path is lost."""
        self._fleet.health.note_path_lost(name)
        self._fleet.trust.forgive_cuts(name)
