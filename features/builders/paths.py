"""A host's paths to one endpoint, with peers that reach it or don't."""

import curio
from curio import socket

from mangogauge.clock import ManualClock
from mangogauge.entry.attempt import AttemptFailure
from mangogauge.http import (
    ClientPool,
    Headers,
    HTTPConnectError,
    TunnelRefusedError,
)
from mangogauge.paths import PathChecker
from mangogauge.placement import EndpointHealth, ReachabilityProber
from mangogauge.routing import Progress
from mangogauge.trust import EndpointTrust

from .fleet import make_endpoint
from .tunnels import FixedPeers, NamedEndpoints

__all__ = ["PathWorld", "ScriptedTunnels"]

LOCAL = "127.0.0.1"
ANSWER_SECONDS = 0.01
WATCH_SECONDS = 0.001
# Enough for two rounds of questions to peers.
SETTLE_SECONDS = 0.2


class OpenTunnel:
    """A connection that a peer carries."""

    async def close(self):
        pass


class ScriptedTunnels:
    """Stands in for a `TunnelConnector`.

    Attributes
    ----------
    reaching : set of str
        Peers that reach the endpoint.
    status : int or None
        What the others answer; None if they don't.
    asked : list of str
        Peers that were asked.
    answered : int
        Number of peers that have answered.
    """

    def __init__(self):
        self.reaching = set()
        self.status = 503
        self.asked = []
        self.answered = 0

    async def open_through(self, peer, endpoint):
        self.asked.append(peer)
        await curio.sleep(ANSWER_SECONDS)
        self.answered += 1
        if self.status is None:
            raise HTTPConnectError("The peer is silent.", peer=peer)
        if peer not in self.reaching:
            raise TunnelRefusedError(self.status, peer=peer)
        return OpenTunnel()


class PathWorld:
    """A host that checks its path to the endpoint "e1".

    Attributes
    ----------
    clock : ManualClock
    endpoint : FleetEndpoint
    health : EndpointHealth
    checker : PathChecker
    tunnels : ScriptedTunnels
    was_told : bool
        Whether others would have been told that the endpoint is unhealthy.
    """

    def __init__(self, peers):
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.bind((LOCAL, 0))
        address = "{}:{}".format(*self._listener.getsockname())
        self.endpoint = make_endpoint("e1", address=address)
        self.was_told = False
        clock = self.clock = ManualClock()
        self.health = EndpointHealth(clock)
        self._trust = EndpointTrust(
            clock, is_path_doubtful=self.health.is_path_doubtful
        )
        self.tunnels = ScriptedTunnels()
        self._pool = ClientPool(1.0)
        self.checker = PathChecker(
            self.health.paths,
            FixedPeers(*peers),
            self.tunnels,
            self._pool,
            self._take_lost_path,
            clock,
        )
        self._prober = ReachabilityProber(
            self.health, NamedEndpoints(self.endpoint), self.checker, clock
        )

    def _take_lost_path(self, name):
        self.health.note_path_lost(name)
        self._trust.forgive_cuts(name)

    def break_connection(self):
        """Note that a connection broke before a request was answered."""
        failure = AttemptFailure(
            Progress.MAYBE_RUN, "reset", endpoint_at_fault=True, connection_broken=True
        )
        failure.end_attempt(self._trust.begin(self.endpoint))
        failure.report_to_health(self.health, self.endpoint)

    def list_evidence(self):
        """Return the evidence of endpoints that other hosts are told."""
        self._trust.evaluate([self.endpoint])
        return self._trust.list_evidence()

    def start_endpoint(self):
        """Have the endpoint accept this host's connections."""
        self._listener.listen(16)

    async def fail(self):
        """Try a connection to the endpoint, and check the path if it fails."""
        try:
            await self._pool.request(self.endpoint.address, "GET", "/", Headers())
        except HTTPConnectError as error:
            await self.checker.find_path(self.endpoint, error)

    async def fail_and_settle(self):
        """As `fail`; wait until the check of the path has ended."""
        watching = await curio.spawn(self._watch, daemon=True)
        await self.fail()
        await curio.sleep(SETTLE_SECONDS)
        await watching.cancel()

    async def _watch(self):
        while True:
            self.was_told |= bool(self.health.list_unhealthy())
            await curio.sleep(WATCH_SECONDS)

    async def check(self):
        """Check the path."""
        await self.checker.check(self.endpoint)

    async def probe(self):
        """Run the background checks until nothing is silent any more."""
        probing = await curio.spawn(self._prober.run)
        while self.health.list_silent():
            await curio.sleep(ANSWER_SECONDS)
        await probing.cancel()

    async def probe_for(self, seconds):
        """Run the background checks for a while."""
        async with curio.ignore_after(seconds):
            await self._prober.run()
