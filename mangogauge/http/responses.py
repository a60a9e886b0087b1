"""Answers of HTTP/1.1 servers as they stream in."""

import curio

from .errors import HTTPLimitError

__all__ = ["ClientResponse"]

PIECES_PER_TURN = 16
# Fields that say where a body ends.
FRAMING_FIELDS = ("content-length", "transfer-encoding")


class ClientResponse:
    """The answer to one request, its body still to be read.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : Headers
        Header fields.
    buffers : BufferBudget
        For what a reader keeps of the body.
    """

    def __init__(self, connection, status, headers, release):
        self._connection = connection
        self._release = release
        self.status = status
        self.headers = headers
        self.complete = False
        self.buffers = connection.limits.buffers

    @property
    def ends_with_connection(self):
        """Whether only the end of the connection ends the body.

        Such a body isn't known to be whole: the server may have crashed.
        """
        return not any(name in self.headers for name in FRAMING_FIELDS)

    @property
    def open_seconds(self):
        """Seconds since the connection was made, while the body is still read."""
        return self._connection.open_seconds

    async def iterate(self):
        """Yield the body in pieces as they arrive.

        Raises
        ------
        HTTPReceiveError
            If the connection breaks before the answer is whole.
        """
        pieces = 0
        body_bytes = self._connection.limits.body_bytes
        async for piece in self._connection.iterate_body("body_bytes", body_bytes):
            yield piece
            pieces += 1
            if pieces % PIECES_PER_TURN == 0:
                # A fast sender must not keep the kernel to itself.
                await curio.sleep(0)
        self.complete = True
        await self.close()

    def gather(self, seconds):
        """Read the rest of the body less often, and more of it at a time.

        Parameters
        ----------
        seconds : float
            How long data may wait to be read.
        """
        self._connection.gather_seconds = seconds

    async def read(self, limit=None):
        """Return the whole body.

        Parameters
        ----------
        limit : int, optional
            Largest body in bytes; by default the connection's for such bodies.

        Raises
        ------
        HTTPLimitError
            If it is larger, or all answers that are being read hold too much.
        """
        limit = self._connection.limits.whole_bytes if limit is None else limit
        pieces, size = [], 0
        buffer = self.buffers.open()
        try:
            async for piece in self.iterate():
                size += len(piece)
                if limit is not None and size > limit:
                    raise HTTPLimitError("read_bytes", limit)
                buffer.resize(size)
                pieces.append(piece)
        finally:
            buffer.close()
        return b"".join(pieces)

    async def close(self):
        """Give the connection back, or end it if the answer is not whole."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._release(connection, self.complete, self.headers)
