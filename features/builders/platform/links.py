"""Links to endpoints that can be cut for one host: ``python -m ...links ADDRESS``.

Each endpoint is reached through a link, which tells hosts apart by the address that
they connect from. An address is held at which connections neither succeed nor fail.
"""

import struct
import sys
from collections import Counter
from contextlib import suppress

import curio
import orjson
from attrs import define, field
from curio import socket

from mangogauge.http import Headers, HTTPServer

READ_SIZE_BYTES = 65_536
LISTEN_BACKLOG = 256
POLL_SECONDS = 0.01
# Connections of our own that fill the queue of a listener that accepts none.
FILLING_CONNECTIONS = 4
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SILENT, RESET, RESET_WHEN_USED = "silent", "reset", "reset when used"


@define(eq=False)
class Cut:
    """What is wrong between a host and some endpoints."""

    how = field(default="")
    endpoints = field(default=(), converter=frozenset)

    def holds(self, how, endpoint):
        """Return whether the link to an endpoint is cut in this way."""
        return self.how == how and endpoint in self.endpoints


@define(eq=False)
class Carried:
    """One connection of a host to an endpoint."""

    host = field()
    endpoint = field()
    task = field(default=None)


class EndpointLinks:
    """Links of all endpoints, and the control port.

    Parameters
    ----------
    address : str
        ``host:port`` of the control port.
    """

    def __init__(self, address):
        self.ip, _, port = address.rpartition(":")
        self.cuts = {}
        self.carried = set()
        self.bytes = Counter()
        # Listener of each endpoint's link, and the task that accepts at it.
        self.links = {}
        self.server = HTTPServer(self.handle)
        self.server.bind(self.ip, int(port))
        self.abyss, self.filling = self._fill_listener()

    def _fill_listener(self):
        """Return a listener whose queue is full, and what fills it."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind((self.ip, 0))
        listener.listen(0)
        filling = []
        for _ in range(FILLING_CONNECTIONS):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            with suppress(BlockingIOError):
                sock._socket.connect(listener.getsockname())
            filling.append(sock)
        return listener, filling

    async def handle(self, exchange):
        """Open and close links, change cuts; tell what was carried."""
        order = orjson.loads(await exchange.read_body() or b"{}")
        for endpoint, (address, target) in order.get("open", {}).items():
            await self._open(endpoint, address, target)
        for endpoint in order.get("close", ()):
            listener, task = self.links.pop(endpoint)
            await task.cancel()
            await listener.close()
        for host, (how, endpoints) in order.get("cut", {}).items():
            await self._cut(host, Cut(how, endpoints))
        value = {
            "abyss": "{}:{}".format(*self.abyss.getsockname()),
            "bytes": {f"{h} {e}": count for (h, e), count in self.bytes.items()},
        }
        headers = Headers([("Content-Type", "application/json")])
        await exchange.respond(200, headers, orjson.dumps(value))

    async def _open(self, endpoint, address, target):
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
        task = await curio.spawn(self._accept, endpoint, listener, target, daemon=True)
        self.links[endpoint] = (listener, task)

    async def _cut(self, host, cut):
        self.cuts[host] = cut
        if cut.how != RESET:
            return
        for carried in list(self.carried):
            if carried.host == host and carried.endpoint in cut.endpoints:
                await carried.task.cancel()

    async def _accept(self, endpoint, listener, target):
        while True:
            sock, (host, _) = await listener.accept()
            carried = Carried(host, endpoint)
            self.carried.add(carried)
            carried.task = await curio.spawn(
                self._serve_connection, carried, sock, target, daemon=True
            )

    async def _serve_connection(self, carried, sock, target):
        host, _, port = target.rpartition(":")
        other = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            await other.connect((host, int(port)))
            for end in (sock, other):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pass, carried, sock, other, True)
                await group.spawn(self._pass, carried, other, sock, False)
            if group.exception is not None:
                raise group.exception
        except (OSError, curio.CancelledError):
            # Whoever is at an end sees a reset too.
            for end in (sock, other):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        finally:
            self.carried.discard(carried)
            await sock.close()
            await other.close()

    async def _pass(self, carried, source, sink, is_forward):
        """Pass bytes on, and hold them back while the link is silent."""
        while True:
            data = await source.recv(READ_SIZE_BYTES)
            while self._is_cut(carried, SILENT):
                await curio.sleep(POLL_SECONDS)
            if self._is_cut(carried, RESET_WHEN_USED):
                raise ConnectionResetError
            if not data:
                return
            if is_forward:
                self.bytes[carried.host, carried.endpoint] += len(data)
            await sink.sendall(data)

    def _is_cut(self, carried, how):
        return self.cuts.get(carried.host, Cut()).holds(how, carried.endpoint)


def main(address):
    """Serve until killed."""
    links = EndpointLinks(address)
    print(orjson.dumps({"address": address}).decode(), flush=True)
    curio.run(links.server.serve)


if __name__ == "__main__":
    main(sys.argv[1])
