"""Answers of HTTP/1.1 servers as they stream in."""

import curio

from ..telemetry import get_logger
from .errors import HTTPLimitError, HTTPReceiveError
from .witnesses import ServerFate

__all__ = ["ClientResponse", "EndProof", "ends_with_connection"]

PIECES_PER_TURN = 16
# Fields that say where a body ends.
FRAMING_FIELDS = ("content-length", "transfer-encoding")
BODILESS_STATUSES = frozenset({204, 304})

log = get_logger("http")


def ends_with_connection(method, status, headers):
    """Return whether only the end of the connection ends the body of an answer."""
    if method == "HEAD" or status in BODILESS_STATUSES:
        return False
    return not any(name in headers for name in FRAMING_FIELDS)


class EndProof:
    """Finds out whether an answer whose connection has ended is whole.

    Parameters
    ----------
    end : AnswerEnd
    is_running : async callable
        Takes a `ServerFate` that isn't `ServerFate.OUTLIVED`; returns whether the
        server is known to run on all the same.
    peer, request_id : str
        For the log.
    """

    def __init__(self, end, is_running, peer, request_id):
        self._end = end
        self._is_running = is_running
        self._peer = peer
        self._request_id = request_id
        self._task = None

    async def is_whole(self):
        """Return whether the server has outlived the answer.

        Notes
        -----
        It may be called again if it was cancelled; what was begun goes on.
        """
        if self._task is None:
            self._task = await curio.spawn(self._prove, daemon=True)
        await self._task.wait()
        return self._task.result

    async def close(self):
        """Find out nothing more."""
        self._end.close()
        if self._task is not None:
            await self._task.cancel()

    async def _prove(self):
        fate = await self._end.judge()
        if fate is ServerFate.OUTLIVED:
            return True
        is_running = await self._is_running(fate)
        log.info(
            "answer without a length has ended",
            extra={
                "request_id": self._request_id,
                "peer": self._peer,
                "server": fate.value,
                "whole": is_running,
            },
        )
        return is_running


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
    on_ended : async callable or None
        Called when the body has ended, before it is known to be whole.

    Parameters
    ----------
    proof : EndProof, optional
        For a body that ends with its connection: it isn't whole without a proof.
    """

    def __init__(self, connection, status, headers, release, proof=None):
        self._connection = connection
        self._release = release
        self._proof = proof
        self._has_ended = False
        self.on_ended = None
        self.status = status
        self.headers = headers
        self.complete = False
        self.buffers = connection.limits.buffers

    @property
    def ends_with_connection(self):
        """Whether only the end of the connection ends the body.

        A server that runs on may have ended it too soon all the same.
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
        if not self._has_ended:
            async for piece in self._iterate_body():
                yield piece
            self._has_ended = True
            if self.on_ended is not None:
                await self.on_ended()
        if self._proof is not None and not await self._proof.is_whole():
            raise HTTPReceiveError(
                "The answer ended with its connection, and perhaps its server.",
                step="receive",
                peer=self._connection.address,
            )
        self.complete = True
        await self.close()

    async def _iterate_body(self):
        pieces = 0
        body_bytes = self._connection.limits.body_bytes
        async for piece in self._connection.iterate_body("body_bytes", body_bytes):
            yield piece
            pieces += 1
            if pieces % PIECES_PER_TURN == 0:
                # A fast sender must not keep the kernel to itself.
                await curio.sleep(0)

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
        proof, self._proof = self._proof, None
        if proof is not None:
            await proof.close()
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._release(connection, self.complete, self.headers)
