"""Carry connections to endpoints for hosts that don't reach them.

Only known endpoints are connected to, and only directly, so that a connection takes
one hop at most. The bytes are passed on as they are: whoever asked chooses the
endpoint, counts the request's slot and rate, and judges the answer.
"""

from urllib.parse import quote, unquote

import curio

from ..http import Headers, HTTPConnectError, HTTPRequestError, open_socket
from ..telemetry import get_logger
from .states import PathState

__all__ = ["TUNNEL_PREFIX", "EndpointRelay", "make_tunnel_target"]

TUNNEL_PREFIX = "/tunnels/"
CONNECT_SECONDS = 0.2
READ_SIZE_BYTES = 65_536
# Each holds two descriptors and a few buffers.
MAX_TUNNELS = 256
DRAIN_INTERVAL_SECONDS = 0.02

UNKNOWN_STATUS = 404
REFUSED_STATUS = 502
UNABLE_STATUS = 503
SILENT_STATUS = 504
# The asking host doesn't know yet that the endpoint's data centre is evacuated. Hosts
# of any release take it for a peer that can't carry this endpoint's connections.
EVACUATED_STATUS = 409
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


class EndpointRelay:
    """Carries connections to endpoints for other hosts.

    Parameters
    ----------
    directory : EndpointDirectory
    paths : PathTable
    max_tunnels : int, optional
        Most tunnels that are open or being opened.
    is_evacuated : callable, optional
        Returns whether a `FleetEndpoint` is in an evacuated data centre.
    """

    def __init__(
        self,
        directory,
        paths,
        max_tunnels=MAX_TUNNELS,
        is_evacuated=lambda endpoint: False,
    ):
        self._directory = directory
        self._paths = paths
        self._max_tunnels = max_tunnels
        self._is_evacuated = is_evacuated
        self._closing = False
        self._count = 0

    async def handle(self, exchange):
        """Open a connection and carry its bytes until either side ends it."""
        name = unquote(exchange.path.removeprefix(TUNNEL_PREFIX))
        endpoint = self._directory.get(name)
        status = self._find_obstacle(endpoint)
        if status is None:
            self._count += 1
            try:
                status = await self._open(exchange, endpoint)
            finally:
                self._count -= 1
        if status is not None:
            log.info(
                "tunnel refused",
                extra={"endpoint": name, "peer": exchange.peer, "status": status},
            )
            await exchange.respond(status, Headers(), b"")

    def start_close(self):
        """Open no more tunnels; those that are open go on."""
        self._closing = True

    async def drain(self):
        """Open no more tunnels, and wait until those that are open have ended."""
        self.start_close()
        while self._count:
            await curio.sleep(DRAIN_INTERVAL_SECONDS)

    def _find_obstacle(self, endpoint):
        """Return the status that tells why no connection is tried; None if it is."""
        if endpoint is None:
            return UNKNOWN_STATUS
        if self._is_evacuated(endpoint):
            return EVACUATED_STATUS
        if self._closing or self._count >= self._max_tunnels:
            return UNABLE_STATUS
        return STATUS_BY_STATE.get(self._paths.get(endpoint.name))

    async def _open(self, exchange, endpoint):
        """Connect and carry the bytes; return a status if there is no connection."""
        try:
            sock = await open_socket(endpoint.address, CONNECT_SECONDS)
        except HTTPConnectError as error:
            self._paths.note_failed_direct(endpoint.name)
            return _get_failure_status(error)
        extra = {"endpoint": endpoint.name, "peer": exchange.peer}
        log.info("tunnel opened", extra=extra)
        try:
            await self._carry(exchange, sock)
        finally:
            await sock.close()
        return None

    async def _carry(self, exchange, sock):
        """Carry bytes both ways until one side ends its connection.

        Raises
        ------
        ConnectionAbortedError
            If the endpoint's connection broke: its answer must not look whole.
        """
        await exchange.start_response(200, Headers())
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_carry_forward, exchange, sock)
            carrying_back = await group.spawn(_carry_back, exchange, sock)
        if group.completed is not carrying_back or not carrying_back.result:
            raise ConnectionAbortedError("The tunnel has no orderly end.")
        await exchange.finish()


async def _carry_forward(exchange, sock):
    """Send what the asking host sends to the endpoint, until it closes the tunnel."""
    while True:
        try:
            async for piece in exchange.iterate_body():
                await sock.sendall(piece)
            return
        except OSError:
            return
        except HTTPRequestError as error:
            # Nothing is sent while the answer lasts, which is no reason to end.
            if error.status != PAUSED_STATUS:
                return


async def _carry_back(exchange, sock):
    """Send what the endpoint sends to the asking host.

    Returns
    -------
    bool
        Whether the endpoint has ended its connection in order.
    """
    try:
        while piece := await sock.recv(READ_SIZE_BYTES):
            await exchange.send_data(piece)
    except OSError as error:
        log.info("tunnel broke", extra={"peer": exchange.peer, "reason": repr(error)})
        return False
    return True


def _get_failure_status(error):
    is_refused = isinstance(error.__cause__, ConnectionRefusedError)
    return REFUSED_STATUS if is_refused else SILENT_STATUS
