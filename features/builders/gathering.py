"""A server that writes a body in many small pieces, and a socket that counts reads."""

import curio
from attrs import define, field

from mangogauge.http import Headers, HTTPServer

__all__ = ["CountingSocket", "PieceServer"]

LOCAL = "127.0.0.1"


@define(eq=False)
class CountingSocket:
    """Wraps a curio socket, and counts its reads."""

    sock = field()
    reads = field(default=0)

    async def recv(self, size):
        self.reads += 1
        return await self.sock.recv(size)

    async def close(self):
        await self.sock.close()


class PieceServer:
    """Answers each request with the same body, written piece by piece.

    Parameters
    ----------
    count : int
        Number of pieces.
    pause : float
        Seconds between two pieces.
    """

    def __init__(self, count, pause):
        self.count = count
        self._pause = pause
        self._pieces = [b"piece %d;" % n for n in range(count)]
        self._server = HTTPServer(self._answer)
        self._server.bind(LOCAL, 0)
        self.address = f"{LOCAL}:{self._server.port}"

    @property
    def body(self):
        """The whole body."""
        return b"".join(self._pieces)

    async def serve(self):
        """Serve until cancelled."""
        await self._server.serve()

    async def _answer(self, exchange):
        await exchange.start_response(200, Headers())
        for piece in self._pieces:
            await exchange.send_data(piece)
            await curio.sleep(self._pause)
        await exchange.finish()
