"""Find out whether an endpoint, or only the path to it, has failed.

A connection that can't be made shows either. Peers tell the two apart: if one of them
reaches the endpoint, it is sound, and the peers carry its connections.
"""

import curio
from attrs import define, field, frozen

from ..http import DirectConnector, HTTPConnectError, TunnelRefusedError
from ..telemetry import get_logger
from .relay import EVACUATED_STATUS, REFUSED_STATUS, SILENT_STATUS
from .states import PathState

__all__ = ["PathChecker"]

CONNECT_SECONDS = 0.2
# Peers that are asked at once: more than one may have lost the endpoint too. As many
# others have to confirm a loss, since a cut of most hosts may have hit all of these.
PEERS_ASKED = 3
# Answers of peers that tried to reach the endpoint themselves, or that never will
# while its data centre is evacuated: they are asked again after the pause.
TRIED_STATUSES = frozenset({REFUSED_STATUS, SILENT_STATUS, EVACUATED_STATUS})
# Pause before peers are asked again for an endpoint that none of them reached; it grows
# by the factor each time, since many hosts ask about an endpoint that is down.
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 4.0
PAUSE_FACTOR = 2.0

# States of a refused path in which the endpoint isn't known to refuse others too.
NOT_REFUSED_STATES = frozenset({PathState.TUNNELLED, PathState.SUSPECTED})

log = get_logger("paths")


@define
class _PeerVerdict:
    """What the peers that were asked have found.

    Attributes
    ----------
    asked : list of str
        Their addresses.
    reached : bool
        Whether one of them reached the endpoint.
    refused : bool
        Whether the endpoint refused a connection of one of them.
    failed : bool
        Whether one of them tried and didn't reach the endpoint.
    is_unable : bool
        Whether one of them could not try.
    """

    asked = field()
    reached = field(default=False)
    refused = field(default=False)
    failed = field(default=False)
    is_unable = field(default=False)

    @property
    def is_refusal(self):
        """Whether the endpoint refused them all, as far as they could try."""
        return self.refused and not self.reached

    @property
    def is_open(self):
        """Whether peers have answered, but none by what it found at the endpoint."""
        return self.is_unable and not self.reached and not self.failed


@define(eq=False)
class _Check:
    """A check of a path that is under way.

    Attributes
    ----------
    answered : curio.Event
        Set once requests need not wait any longer.
    ended : curio.Event
        Set once a loss is confirmed or disproved.
    """

    answered = field(factory=curio.Event)
    ended = field(factory=curio.Event)


@frozen
class _AskPause:
    """Time for which peers aren't asked about an endpoint.

    Parameters
    ----------
    seconds : float
    until : float
        Elapsed time of its end.
    """

    seconds = field()
    until = field()


class PathChecker:
    """Checks the paths of one host, for all requests that wait for the result.

    Parameters
    ----------
    paths : PathTable
    peers : TunnelPeers
    tunnels : TunnelConnector
    pool : ClientPool
        Direct connections; idle ones are closed once the path is silent.
    on_path_lost : callable
        Called with an endpoint's name whenever it turns out that only the path failed.
    clock : Clock
    """

    def __init__(self, paths, peers, tunnels, pool, on_path_lost, clock):
        self._paths = paths
        self._peers = peers
        self._tunnels = tunnels
        self._pool = pool
        self._on_path_lost = on_path_lost
        self._clock = clock
        self._connector = DirectConnector(CONNECT_SECONDS)
        self._running = {}
        self._pauses = {}

    async def find_path(self, endpoint, error):
        """Return the `PathState` after a direct connection has failed.

        Parameters
        ----------
        endpoint : FleetEndpoint
        error : HTTPConnectError
        """
        await self._drop_silent(endpoint, error)
        if self._paths.is_tunnelled(endpoint.name):
            # Found while this connection was being tried; only tunnels may deny it.
            return PathState.TUNNELLED
        self._paths.note_failed_connection(endpoint.name)
        return await self._share(endpoint, self._ask)

    async def check(self, endpoint):
        """Try to connect directly, and ask peers if that fails; return the state."""
        return await self._share(endpoint, self._connect)

    async def refuses_connections(self, endpoint):
        """Return whether an endpoint refuses connections, not only those of this host.

        Notes
        -----
        Without an answer of a peer, this host's own connection decides.
        """
        if self._paths.is_tunnelled(endpoint.name):
            return await self._is_refused_to_peers(endpoint)
        try:
            connection = await self._connector.open(endpoint.address)
        except HTTPConnectError as error:
            if not isinstance(error.__cause__, ConnectionRefusedError):
                return False
            await self.find_path(endpoint, error)
            await self._wait_until_settled(endpoint)
            return self._paths.get(endpoint.name) not in NOT_REFUSED_STATES
        await connection.close()
        return False

    def forget(self, name):
        """Forget an endpoint that no longer exists."""
        self._pauses.pop(name, None)

    async def _share(self, endpoint, check):
        """Run a check, or wait for the one that runs already."""
        running = self._running.get(endpoint.name)
        if running is None:
            running = self._running[endpoint.name] = _Check()
            await curio.spawn(self._run, endpoint, check, running, daemon=True)
        await running.answered.wait()
        return self._paths.get(endpoint.name)

    async def _run(self, endpoint, check, running):
        try:
            doubtful = await check(endpoint)
            await running.answered.set()
            if doubtful is not None:
                await self._confirm_loss(endpoint, doubtful)
        finally:
            del self._running[endpoint.name]
            await running.answered.set()
            await running.ended.set()

    async def _wait_until_settled(self, endpoint):
        running = self._running.get(endpoint.name)
        if running is not None:
            await running.ended.wait()

    async def _connect(self, endpoint):
        """Try to connect directly; return as `_ask`."""
        try:
            connection = await self._connector.open(endpoint.address)
        except HTTPConnectError as error:
            await self._drop_silent(endpoint, error)
            return await self._handle_failed_connection(endpoint)
        await connection.close()
        if self._paths.get(endpoint.name) is not PathState.DIRECT:
            self._log("endpoint reachable", endpoint)
        self._pauses.pop(endpoint.name, None)
        self._paths.note_connection(endpoint.name)
        return None

    async def _handle_failed_connection(self, endpoint):
        state = self._paths.get(endpoint.name)
        if state is PathState.DIRECT:
            self._paths.note_failed_connection(endpoint.name)
        if state is PathState.LOST and self._is_pausing(endpoint):
            return None
        if state is PathState.TUNNELLED:
            # What broke since may have been on the lost path, or carried by a peer.
            self._on_path_lost(endpoint.name)
            return None
        return await self._ask(endpoint)

    async def _ask(self, endpoint):
        """Ask peers, and conclude which has failed: the endpoint or the path.

        Returns
        -------
        _PeerVerdict or None
            A loss that other peers have yet to confirm.
        """
        verdict = await self._ask_peers(endpoint)
        if self._is_doubtful_loss(endpoint, verdict):
            return verdict
        self._conclude(endpoint, verdict)
        return None

    def _is_doubtful_loss(self, endpoint, verdict):
        is_loss = not verdict.reached and not verdict.is_open
        is_known = self._paths.get(endpoint.name) is PathState.LOST
        return is_loss and not is_known and self._choose_others(endpoint, verdict)

    async def _confirm_loss(self, endpoint, verdict):
        """Ask others than the peers that didn't reach the endpoint, and conclude."""
        others = self._choose_others(endpoint, verdict)
        self._conclude(endpoint, await self._ask_peers(endpoint, others))

    def _choose_others(self, endpoint, verdict):
        return self._peers.choose(endpoint, PEERS_ASKED, verdict.asked)

    def _conclude(self, endpoint, verdict):
        if verdict.reached:
            self._pauses.pop(endpoint.name, None)
            self._paths.note_tunnel(endpoint.name)
            self._on_path_lost(endpoint.name)
            self._log("endpoint reached through peers only", endpoint)
            return
        if verdict.is_open:
            # Others are asked soon: those are avoided now.
            return
        if self._paths.get(endpoint.name) is PathState.DIRECT:
            # An open connection has brought an answer meanwhile.
            return
        if self._paths.get(endpoint.name) is not PathState.LOST:
            self._log("endpoint not reached", endpoint, refused=verdict.refused)
        self._pause(endpoint)
        self._paths.note_loss(endpoint.name)

    async def _is_refused_to_peers(self, endpoint):
        """Return whether two groups of peers find that an endpoint refuses them."""
        verdict = await self._ask_peers(endpoint)
        others = self._choose_others(endpoint, verdict)
        if verdict.is_refusal and others:
            verdict = await self._ask_peers(endpoint, others)
        return verdict.is_refusal

    def _is_pausing(self, endpoint):
        pause = self._pauses.get(endpoint.name)
        return pause is not None and self._clock.read_elapsed() < pause.until

    def _pause(self, endpoint):
        previous = self._pauses.get(endpoint.name)
        seconds = FIRST_PAUSE_SECONDS
        if previous is not None:
            seconds = min(LONGEST_PAUSE_SECONDS, previous.seconds * PAUSE_FACTOR)
        until = self._clock.read_elapsed() + seconds
        self._pauses[endpoint.name] = _AskPause(seconds, until)

    async def _ask_peers(self, endpoint, peers=None):
        """Return the `_PeerVerdict` of some peers, by default of chosen ones."""
        if peers is None:
            peers = self._peers.choose(endpoint, PEERS_ASKED)
        verdict = _PeerVerdict(peers)
        # The first that reaches the endpoint ends the others' attempts.
        async with curio.TaskGroup(wait=object) as group:
            for peer in peers:
                await group.spawn(self._ask_peer, peer, endpoint, verdict)
        return verdict

    async def _ask_peer(self, peer, endpoint, verdict):
        """Return True if a peer reaches the endpoint, else None."""
        try:
            connection = await self._tunnels.open_through(peer, endpoint)
        except TunnelRefusedError as error:
            verdict.refused |= error.status == REFUSED_STATUS
            verdict.failed |= error.status in TRIED_STATUSES
            verdict.is_unable |= error.status not in TRIED_STATUSES
            return None
        except HTTPConnectError:
            return None
        await connection.close()
        verdict.reached = True
        return True

    async def _drop_silent(self, endpoint, error):
        """Close idle connections that may have gone silent with the path.

        Notes
        -----
        Where new connections are refused, open ones may live on.
        """
        if not isinstance(error.__cause__, ConnectionRefusedError):
            await self._pool.drop(endpoint.address)

    def _log(self, message, endpoint, **extra):
        log.info(message, extra={"endpoint": endpoint.name, **extra})
