"""A server in the same process whose listener closes while callers connect."""

import socket

import curio

from mangogauge.http import Headers, HTTPServer, ServerLimits

from .wire import make_request

__all__ = ["ClosingServer"]

LOCAL = "127.0.0.1"
READ_SIZE_BYTES = 65_536
LONGEST_SECONDS = 10.0
START_SECONDS = 0.05


class _WatchedServer(HTTPServer):
    """Tells when it takes a connection over.

    Parameters
    ----------
    on_take : callable
    *server
        As of `HTTPServer`.
    """

    def __init__(self, on_take, *server):
        super().__init__(*server)
        self._on_take = on_take

    async def _take_connection(self, sock, address):
        self._on_take()
        await super()._take_connection(sock, address)


class ClosingServer:
    """A server that drains, with callers that it has not accepted yet.

    Parameters
    ----------
    count : int
        Number of these callers.
    """

    def __init__(self, count):
        self._server = _WatchedServer(self._connect_last, _answer, ServerLimits())
        self._server.bind(LOCAL, 0)
        self._address = self._server._listener.getsockname()
        self._count = count
        self._last = None

    def drain(self):
        """Drain; return what the waiting callers and the last one got, as bytes.

        Returns
        -------
        answers : list of bytes
        last : bytes or None
            None if the system refused the connection.
        """
        return curio.run(self._drain)

    async def _drain(self):
        serving = await curio.spawn(self._server.serve)
        await curio.sleep(START_SECONDS)
        # Nothing else runs until the server is told: it has accepted none of them.
        waiting = [self._connect() for _ in range(self._count)]
        async with curio.timeout_after(LONGEST_SECONDS):
            await self._server.drain()
        answers = [_read(caller) for caller in waiting]
        last = self._last and _read(self._last)
        await serving.cancel()
        return answers, last

    def _connect_last(self):
        """Connect once more, as soon as the first connection is taken over."""
        if self._last is not None or not self._server.closing:
            return
        try:
            self._last = self._connect()
        except ConnectionRefusedError:
            return

    def _connect(self):
        caller = socket.create_connection(self._address, LONGEST_SECONDS)
        caller.sendall(make_request("/ask/1"))
        return caller


async def _answer(exchange):
    await exchange.read_body()
    await exchange.respond(200, Headers(), b"served")


def _read(caller):
    try:
        return caller.recv(READ_SIZE_BYTES)
    except ConnectionResetError:
        return b""
