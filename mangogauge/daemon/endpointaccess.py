"""How one host reaches endpoints, and carries connections for its peers."""

from functools import partial

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


class ScopedTunnels:
    """Pools of tunnels, by the regions whose hosts may carry what is sent.

    Parameters
    ----------
    directory : EndpointDirectory
    peers : TunnelPeers
    limits : ClientLimits
    eligibility : Eligibility
    """

    def __init__(self, directory, peers, limits, eligibility):
        self._arguments = (directory, peers, limits)
        self._eligibility = eligibility
        self._pools = {}

    def get(self, scope):
        """Return the `ClientPool` of a `WorkScope`, or of None for any work."""
        if scope not in self._pools:
            self._pools[scope] = self._make_pool(scope)
        return self._pools[scope]

    def _make_pool(self, scope):
        accepts = None
        if scope is not None and scope.is_restricted:
            accepts = partial(self._accepts, scope)
        connector = TunnelConnector(*self._arguments, accepts)
        # A tunnel carries one request, so that the peer sees when it is done with it.
        return ClientPool(connector=connector, idle_per_address=0, proves_ends=True)

    def _accepts(self, scope, member):
        return self._eligibility.may_carry(member.data_centre, scope)


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
        direct = ClientPool(CONNECT_SECONDS, limits=limits, proves_ends=True)
        peers = TunnelPeers(fleet.members, fleet.board, clock, random)
        connector = TunnelConnector(fleet.directory, peers, limits)
        self.checker = PathChecker(
            paths, peers, connector, direct, self._take_lost_path, clock
        )
        self._tunnels = ScopedTunnels(fleet.directory, peers, limits, fleet.eligibility)
        self.pool = EndpointPool(
            direct,
            self._tunnels.get,
            paths,
            self.checker,
            fleet.streams.is_same_process,
        )
        self.relay = EndpointRelay(
            fleet.directory, paths, is_evacuated=fleet.eligibility.is_evacuated
        )

    def _take_lost_path(self, name):
        """Hold nothing against an endpoint to which only this host's path is lost."""
        self._fleet.health.note_path_lost(name)
        self._fleet.trust.forgive_cuts(name)
