"""Carry connections to endpoints for hosts that don't reach them.

Only known endpoints are connected to, and only directly, so that a connection takes
one hop at most. The bytes are passed on as they are: whoever asked chooses the
endpoint, counts the request's slot and rate, and judges the answer.
"""

from urllib.parse import quote, unquote

import curio
from attrs import field, frozen

from ..http import Headers, HTTPConnectError, HTTPRequestError, open_socket
from ..telemetry import get_logger
from .states import PathState

__all__ = ["TUNNEL_PREFIX", "EndpointRelay", "make_tunnel_target"]

TUNNEL_PREFIX = "/tunnels/"
CONNECT_SECONDS = 0.2
READ_SIZE_BYTES = 65_536
# Each holds two descriptors and a few buffers.
MAX_TUNNELS = 256
# A stopping host ends a tunnel that has carried nothing for so long, unless an answer
# is due.
QUIET_SECONDS = 0.6
DRAIN_INTERVAL_SECONDS = 0.1

UNKNOWN_STATUS = 404
REFUSED_STATUS = 502
UNABLE_STATUS = 503
SILENT_STATUS = 504
# Status of the error that a body pauses for too long.
PAUSED_STATUS = 408

# Answers for paths on which no connection is tried for another host. Nobody who was
# asked reaches a lost endpoint: that says nothing of this host's other paths.
STATUS_BY_STATE = {
    PathState.TUNNELLED: UNABLE_STATUS,
    PathState.LOST: SILENT_STATUS,
}

log = get_logger("tunnels")


def make_tunnel_target(name):
    """Return the request target that asks for a connection to an endpoint."""
    return TUNNEL_PREFIX + quote(name, safe="")


@frozen
class _OpenTunnel:
    """What an open tunnel carried last.

    Parameters
    ----------
    carried_at : float
        Elapsed time of its last bytes.
    is_awaited : bool
        Whether they went to the endpoint, so that its answer hasn't begun.
    """

    carried_at = field()
    is_awaited = field()


class EndpointRelay:
    """Carries connections to endpoints for other hosts.

    Parameters
    ----------
    directory : EndpointDirectory
    paths : PathTable
    clock : Clock
    """

    def __init__(self, directory, paths, clock):
        self._directory = directory
        self._paths = paths
        self._clock = clock
        self._closing = False
        self._tunnels = {}

    async def handle(self, exchange):
        """Open a connection and carry its bytes until either side ends it."""
        name = unquote(exchange.path.removeprefix(TUNNEL_PREFIX))
        endpoint = self._directory.get(name)
        status = self._find_obstacle(endpoint)
        if status is None:
            try:
                sock = await open_socket(endpoint.address, CONNECT_SECONDS)
            except HTTPConnectError as error:
                self._paths.note_failed_connection(name)
                status = _get_failure_status(error)
        if status is not None:
            log.info(
                "tunnel refused",
                extra={"endpoint": name, "peer": exchange.peer, "status": status},
            )
            await exchange.respond(status, Headers(), b"")
            return
        log.info("tunnel opened", extra={"endpoint": name, "peer": exchange.peer})
        try:
            await self._carry(exchange, sock)
        finally:
            await sock.close()

    def start_close(self):
        """Open no more tunnels; those that are open go on."""
        self._closing = True

    async def drain(self):
        """Open no more tunnels, and wait until those that are open are quiet."""
        self.start_close()
        while self._has_active_tunnels():
            await curio.sleep(DRAIN_INTERVAL_SECONDS)

    def _has_active_tunnels(self):
        quiet_since = self._clock.read_elapsed() - QUIET_SECONDS
        return any(
            tunnel.is_awaited or tunnel.carried_at > quiet_since
            for tunnel in self._tunnels.values()
        )

    def _find_obstacle(self, endpoint):
        """Return the status that tells why no connection is tried; None if it is."""
        if endpoint is None:
            return UNKNOWN_STATUS
        if self._closing or len(self._tunnels) >= MAX_TUNNELS:
            return UNABLE_STATUS
        return STATUS_BY_STATE.get(self._paths.get(endpoint.name))

    async def _carry(self, exchange, sock):
        try:
            self._note_bytes(exchange, is_awaited=False)
            await exchange.start_response(200, Headers())
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._carry_forward, exchange, sock)
                await group.spawn(self._carry_back, exchange, sock)
            if group.exception is not None:
                raise group.exception
        finally:
            self._tunnels.pop(exchange, None)

    async def _carry_forward(self, exchange, sock):
        before = None
        while True:
            tunnel = self._tunnels[exchange]
            if tunnel is before and not tunnel.is_awaited:
                # Neither side has sent anything for as long as a body may pause.
                return
            before = tunnel
            try:
                await self._carry_requests(exchange, sock)
                return
            except HTTPRequestError as error:
                if error.status != PAUSED_STATUS:
                    raise

    async def _carry_requests(self, exchange, sock):
        async for piece in exchange.iterate_body():
            self._note_bytes(exchange, is_awaited=True)
            await sock.sendall(piece)

    async def _carry_back(self, exchange, sock):
        while piece := await sock.recv(READ_SIZE_BYTES):
            self._note_bytes(exchange, is_awaited=False)
            await exchange.send_data(piece)
        # Not sent if the connection broke: the other side sees no whole answer.
        await exchange.finish()

    def _note_bytes(self, exchange, is_awaited):
        now = self._clock.read_elapsed()
        self._tunnels[exchange] = _OpenTunnel(now, is_awaited)


def _get_failure_status(error):
    is_refused = isinstance(error.__cause__, ConnectionRefusedError)
    return REFUSED_STATUS if is_refused else SILENT_STATUS
