"""An endpoint, and a peer that carries connections to it, within one process."""

import struct

import curio
from curio import socket

from mangogauge.clock import SystemClock
from mangogauge.http import (
    ClientLimits,
    ClientPool,
    Headers,
    HTTPServer,
    ServerLimits,
)
from mangogauge.paths import EndpointRelay, PathTable, TunnelConnector

from .fleet import make_endpoint

__all__ = ["FixedPeers", "NamedEndpoints", "ScriptedEndpoint", "TunnelWorld"]

LOCAL = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_SIZE_BYTES = 65_536
PIECE = b"id: 1\ndata: piece\n\n"
PIECES = 10
HEAD = b"HTTP/1.1 200 OK\r\nX-Number: %d\r\n"
FRAMED = HEAD + b"Content-Length: %d\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"
TUNNEL_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class NamedEndpoints:
    """Stands in for a directory of endpoints."""

    def __init__(self, *endpoints):
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}

    def get(self, name):
        return self.endpoints.get(name)

    def list_endpoints(self):
        return list(self.endpoints.values())


class FixedPeers:
    """Stands in for the choice of peers.

    Attributes
    ----------
    failed : list of str
        Addresses of peers that failed.
    failed_for : list of str or None
        The endpoint that each of them didn't reach; None if it may reach none.
    """

    def __init__(self, *addresses):
        self.addresses = list(addresses)
        self.failed = []
        self.failed_for = []

    def choose(self, endpoint, count, excluded=(), accepts=None):
        return [a for a in self.addresses if a not in excluded][:count]

    def note_failure(self, address, endpoint=None):
        self.failed.append(address)
        self.failed_for.append(endpoint and endpoint.name)

    def note_success(self, address, endpoint):
        pass


class ScriptedEndpoint:
    """Answers requests by what their target asks for.

    Attributes
    ----------
    connections, requests : int
        Number of connections accepted, and of requests read.
    asked : curio.Event
        Set when a request has come.
    ended : curio.Event
        Set when a connection has ended.
    """

    def __init__(self):
        self.connections = self.requests = 0
        self.asked = curio.Event()
        self.ended = curio.Event()
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.bind((LOCAL, 0))
        self._listener.listen(16)
        self.address = "{}:{}".format(*self._listener.getsockname())

    async def close(self):
        """Stop listening."""
        await self._listener.close()

    async def serve(self):
        """Serve until cancelled."""
        async with curio.TaskGroup() as group:
            while True:
                sock, _ = await self._listener.accept()
                self.connections += 1
                await group.spawn(self._serve_connection, sock, daemon=True)

    async def _serve_connection(self, sock):
        try:
            while data := await sock.recv(READ_SIZE_BYTES):
                number = self.requests = self.requests + 1
                await self.asked.set()
                target = data.split(b" ")[1].decode().removeprefix("/")
                await getattr(self, f"_answer_{target}")(sock, number)
        except (OSError, ValueError):
            pass
        finally:
            await sock.close()
            await self.ended.set()

    async def _answer_framed(self, sock, number):
        await sock.sendall(FRAMED % (number, len(PIECE)) + PIECE)

    async def _answer_unframed(self, sock, number):
        await sock.sendall(UNFRAMED % number + PIECE)
        await sock.close()

    async def _answer_last(self, sock, number):
        await self._answer_framed(sock, number)
        await sock.close()

    async def _answer_reset(self, sock, number):
        await sock.sendall(UNFRAMED % number + PIECE)
        await curio.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await sock.close()

    async def _answer_slowly(self, sock, number):
        await sock.sendall(FRAMED % (number, len(PIECE) * PIECES))
        for _ in range(PIECES):
            await sock.sendall(PIECE)
            await curio.sleep(0.1)

    async def _answer_late(self, sock, number):
        await curio.sleep(1.0)
        await self._answer_framed(sock, number)

    async def _answer_never(self, sock, number):
        return


class TunnelWorld:
    """An endpoint "e1", a peer that reaches it, and a pool of tunnels.

    Parameters
    ----------
    max_tunnels : int
        Most connections that the peer carries.

    Attributes
    ----------
    endpoint : ScriptedEndpoint
    relay : EndpointRelay
    peer_paths : PathTable
        The peer's own paths.
    pool : ClientPool
        Its connections go through the peer.
    evacuated : set of str
        Endpoints that the peer knows to be evacuated.
    """

    def __init__(self, max_tunnels):
        self.endpoint = ScriptedEndpoint()
        self.directory = NamedEndpoints(
            make_endpoint("e1", address=self.endpoint.address)
        )
        clock = SystemClock()
        self.peer_paths = PathTable(clock)
        self.evacuated = set()
        self.relay = EndpointRelay(
            self.directory,
            self.peer_paths,
            max_tunnels,
            lambda endpoint: endpoint.name in self.evacuated,
        )
        self.server = HTTPServer(self.relay.handle, ServerLimits(body_timeout=0.3))
        self.server.bind(LOCAL, 0)
        self.peers = FixedPeers(f"{LOCAL}:{self.server.port}")
        asked = NamedEndpoints(*self.directory.list_endpoints(), make_endpoint("e9"))
        connector = TunnelConnector(asked, self.peers, ClientLimits())
        self.pool = ClientPool(connector=connector, idle_per_address=0)

    async def run(self, play):
        """Run `play` while the endpoint and the peer serve; return its result."""
        self.serving_endpoint = await curio.spawn(self.endpoint.serve)
        self.serving_peer = await curio.spawn(self.server.serve)
        try:
            return await play(self)
        finally:
            await self.pool.close()
            await self.serving_peer.cancel()
            await self.serving_endpoint.cancel()

    async def request(self, target, endpoint="e1"):
        """Send a request through the peer and return its `ClientResponse`."""
        return await self.pool.request(endpoint, "POST", f"/{target}", Headers())

    async def start_holding_peer(self):
        """Start a peer that keeps its connection open; return its address.

        It sends an answer of the endpoint and the end of the endpoint's connection.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind((LOCAL, 0))
        listener.listen(1)
        await curio.spawn(_hold, listener, daemon=True)
        return "{}:{}".format(*listener.getsockname())


async def _hold(listener):
    sock, _ = await listener.accept()
    await sock.recv(READ_SIZE_BYTES)
    await sock.sendall(TUNNEL_HEAD)
    await sock.recv(READ_SIZE_BYTES)
    answer = UNFRAMED % 1 + PIECE
    await sock.sendall(b"%x\r\n%b\r\n" % (len(answer), answer) + LAST_CHUNK)
    await curio.Event().wait()
