"""One request and its answer, as a server's handler sees them."""

from http.client import responses

import h11

from .errors import HTTPLimitError, HTTPRequestError
from .headers import Headers

__all__ = ["Exchange", "make_response"]


class Exchange:
    """One request and its answer.

    Attributes
    ----------
    method, target : str
        The request line.
    headers : Headers
        The request's header fields.
    peer : str
        The caller's address and port.
    response_started : bool
        Whether the head of the answer has been sent.
    """

    def __init__(self, connection, request):
        self._connection = connection
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("latin-1")
        self.headers = Headers.from_raw(request.headers.raw_items())
        self.peer = connection.peer
        self.response_started = False
        self._buffer = connection.buffers.open()

    def close(self):
        """Let go of the request's body."""
        self._buffer.close()

    @property
    def caller_left(self):
        """Whether the caller ended the connection within this request."""
        return self._connection.caller_left

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """The target's query string, without the question mark."""
        return self.target.partition("?")[2]

    async def iterate_body(self):
        """Yield the request's body in pieces as they arrive.

        Raises
        ------
        HTTPRequestError
            If the caller is too slow, hangs up, or breaks the framing.
        """
        async for piece in self._connection.iterate_body():
            yield piece

    async def read_body(self, limit=None):
        """Read the whole body.

        Raises
        ------
        HTTPRequestError
            With status 413 if the body is larger than `limit` bytes; with status 503
            if the bodies of all requests would hold too much memory.
        """
        limit = self._connection.limits.body_bytes if limit is None else limit
        announced = self.headers.get("content-length", "0")
        if int(announced) > limit:
            raise _make_too_large(limit)
        pieces = []
        size = 0
        async for piece in self.iterate_body():
            size += len(piece)
            if size > limit:
                raise _make_too_large(limit)
            self._hold(size)
            pieces.append(piece)
        return b"".join(pieces)

    def _hold(self, size):
        try:
            self._buffer.resize(size)
        except HTTPLimitError as error:
            raise HTTPRequestError(503, error.message) from error

    async def start_response(self, status, headers):
        """Send the status line and the header fields.

        Where neither a length nor an encoding is given, the answer is chunked
        for HTTP/1.1 callers and ends with the connection for older ones.
        """
        self.response_started = True
        if self._connection.must_close:
            headers = headers.copy()
            headers.set("Connection", "close")
        await self._connection.send_event(make_response(status, headers))

    async def send_data(self, data):
        """Send one piece of the answer's body."""
        await self._connection.send_event(h11.Data(data=data))

    async def finish(self):
        """End the answer."""
        await self._connection.send_event(h11.EndOfMessage())

    async def respond(self, status, headers, body):
        """Send a whole answer."""
        headers = headers.copy()
        headers.set("Content-Length", str(len(body)))
        await self.start_response(status, headers)
        if body and self.method != "HEAD":
            await self.send_data(body)
        await self.finish()


def make_response(status, headers):
    """Return the head of an answer, with the usual phrase for its status."""
    return h11.Response(
        status_code=status,
        headers=headers.to_raw(),
        reason=responses.get(status, "").encode(),
    )


def _make_too_large(limit):
    return HTTPRequestError(413, f"The body is larger than {limit} bytes.")
