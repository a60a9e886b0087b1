"""HTTP/1.1 server: one task for each connection.

`HTTPServer` accepts connections and calls a handler with an `Exchange` for
each request. A caller that hangs up cancels the handler.
"""

import curio
import h11
from attrs import field, frozen
from curio import socket

from .errors import HTTPRequestError
from .headers import Headers

__all__ = ["Exchange", "HTTPServer", "ServerLimits"]

READ_SIZE_BYTES = 65_536
LISTEN_BACKLOG = 1024
PIPELINE_LIMIT_BYTES = 65_536
LINGER_SECONDS = 0.5


@frozen
class ServerLimits:
    """Bounds on what one connection may ask for.

    Parameters
    ----------
    header_bytes : int
        Largest request head accepted, in bytes.
    body_bytes : int
        Largest request body that is read whole into memory, in bytes.
    header_timeout : float
        Seconds a caller has to send a request head, idle time included.
    body_timeout : float
        Seconds a caller may pause while it sends a body.
    write_timeout : float
        Seconds a caller may leave its receive window full.
    connections : int
        Largest number of connections open at once.
    """

    header_bytes = field(default=32_768)
    body_bytes = field(default=8_388_608)
    header_timeout = field(default=60.0)
    body_timeout = field(default=30.0)
    write_timeout = field(default=60.0)
    connections = field(default=4096)


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

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """The target's query string, without the question mark."""
        return self.target.partition("?")[2]

    async def iterate_body(self):
        """Yield the request's body in pieces as they arrive."""
        async for piece in self._connection.iterate_body():
            yield piece

    async def read_body(self, limit=None):
        """Read the whole body.

        Raises
        ------
        HTTPRequestError
            With status 413 if the body is larger than `limit` bytes.
        """
        limit = self._connection.limits.body_bytes if limit is None else limit
        pieces = []
        size = 0
        async for piece in self.iterate_body():
            size += len(piece)
            if size > limit:
                raise HTTPRequestError(413, f"The body is larger than {limit} bytes.")
            pieces.append(piece)
        return b"".join(pieces)

    async def start_response(self, status, headers):
        """Send the status line and the header fields."""
        self.response_started = True
        if self._connection.closing:
            headers = headers.copy()
            headers.set("Connection", "close")
            self._connection.close_announced = True
        await self._connection.send_event(
            h11.Response(status_code=status, headers=headers.to_raw())
        )

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


class HTTPServer:
    """Accept connections on one address and serve them.

    Parameters
    ----------
    handler : async callable
        Called with an `Exchange` for each request.
    limits : ServerLimits, optional
        Bounds for each connection.
    tls : TLSContext, optional
        Object with a ``wrap(sock)`` coroutine; plain TCP if absent.
    """

    def __init__(self, handler, limits=None, tls=None):
        self._handler = handler
        self.limits = limits or ServerLimits()
        self._tls = tls
        self._listener = None
        self._connections = set()
        self._closing = False

    @property
    def port(self):
        """The port that is listened on."""
        return self._listener.getsockname()[1]

    @property
    def connection_count(self):
        """How many connections are open."""
        return len(self._connections)

    @property
    def busy_count(self):
        """How many connections are within an exchange."""
        return sum(1 for connection in self._connections if connection.busy)

    def bind(self, address, port):
        """Bind the listening socket, so that the port is known."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, port))
        listener.listen(LISTEN_BACKLOG)
        self._listener = listener

    async def serve(self):
        """Accept connections until cancelled."""
        async with self._listener:
            async with curio.TaskGroup(wait=None) as group:
                while True:
                    sock, address = await self._listener.accept()
                    if len(self._connections) >= self.limits.connections:
                        await sock.close()
                        continue
                    # A daemon task is dropped by the group when it ends.
                    await group.spawn(
                        self._serve_connection, sock, address, daemon=True
                    )

    async def drain(self):
        """Stop keep-alive and wait until no exchange is under way."""
        self._closing = True
        while self.busy_count:
            await curio.sleep(0.02)

    async def _serve_connection(self, sock, address):
        peer = f"{address[0]}:{address[1]}"
        connection = _Connection(self, sock, peer)
        self._connections.add(connection)
        try:
            if self._tls is not None:
                connection.sock = await self._tls.wrap(sock)
            await connection.run(self._handler)
        except (OSError, curio.TaskTimeout, h11.ProtocolError):
            pass
        finally:
            self._connections.discard(connection)
            await connection.close()

    @property
    def closing(self):
        """Whether connections are closed after their current exchange."""
        return self._closing


class _Connection:
    """The state of one caller's connection."""

    def __init__(self, server, sock, peer):
        self._server = server
        self.sock = sock
        self.peer = peer
        self.limits = server.limits
        self.busy = False
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )
        self.close_announced = False
        self._broken = False
        self._body_done = curio.Event()

    @property
    def closing(self):
        """Whether this connection ends after its current exchange."""
        return self._server.closing

    async def close(self):
        """Close, first reading what the caller still sends.

        Closing with unread data would reset the connection, and the caller
        could lose an answer that it has not read yet.
        """
        try:
            await self.sock.shutdown(socket.SHUT_WR)
            async with curio.ignore_after(LINGER_SECONDS):
                while await self.sock.recv(READ_SIZE_BYTES):
                    pass
        except (OSError, ValueError):
            pass
        try:
            await self.sock.close()
        except OSError:
            pass

    async def run(self, handler):
        """Serve requests until either side ends the connection."""
        while True:
            request = await self._read_request()
            if request is None:
                return
            self.busy = True
            try:
                await self._serve_request(handler, request)
            finally:
                self.busy = False
            if self._broken or not self._prepare_next():
                return

    async def _read_request(self):
        try:
            async with curio.timeout_after(self.limits.header_timeout):
                event = await self._next_event()
        except h11.RemoteProtocolError as error:
            await self._refuse_malformed(error)
            return None
        if not isinstance(event, h11.Request):
            return None
        self._body_done.clear()
        if not _has_body(event):
            self._h11.next_event()
            await self._body_done.set()
        return event

    async def _serve_request(self, handler, request):
        exchange = Exchange(self, request)
        async with curio.TaskGroup(wait=any) as group:
            handling = await group.spawn(self._call_handler, handler, exchange)
            await group.spawn(self._watch_caller, exchange)
        if not handling.terminated or handling.exception is not None:
            self._broken = True

    async def _call_handler(self, handler, exchange):
        try:
            await handler(exchange)
        except (OSError, h11.LocalProtocolError, curio.TaskTimeout):
            self._broken = True
        except h11.RemoteProtocolError as error:
            self._broken = True
            if not exchange.response_started:
                await self._refuse_malformed(error)

    async def _watch_caller(self, exchange):
        """Return when the caller hangs up; the handler is then cancelled."""
        await self._body_done.wait()
        while len(self._h11.trailing_data[0]) < PIPELINE_LIMIT_BYTES:
            data = await self._receive()
            if not data:
                self._broken = True
                return
            self._h11.receive_data(data)
        await curio.Event().wait()

    async def _receive(self):
        try:
            return await self.sock.recv(READ_SIZE_BYTES)
        except ConnectionError:
            return b""

    def _prepare_next(self):
        if self.close_announced:
            return False
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def iterate_body(self):
        """Yield pieces of the current request's body."""
        while not self._body_done.is_set():
            async with curio.timeout_after(self.limits.body_timeout):
                event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                await self._body_done.set()
            else:
                raise HTTPRequestError(
                    400, "The connection ended within the body.", peer=self.peer
                )

    async def _next_event(self):
        while True:
            if self._h11.they_are_waiting_for_100_continue:
                await self.send_event(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._receive())
                continue
            return event

    async def send_event(self, event):
        """Send one `h11` event, waiting while the caller's window is full."""
        data = self._h11.send(event)
        if data:
            async with curio.timeout_after(self.limits.write_timeout):
                await self.sock.sendall(data)

    async def _refuse_malformed(self, error):
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = error.error_status_hint or 400
        body = b'{"error":{"code":"malformed_request","message":"The request is not'
        body += b' valid HTTP/1.1.","executed":"no"}}'
        fields = Headers(
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Connection", "close"),
            ]
        )
        try:
            await self.send_event(
                h11.Response(status_code=status, headers=fields.to_raw())
            )
            await self.send_event(h11.Data(data=body))
            await self.send_event(h11.EndOfMessage())
        except (OSError, h11.ProtocolError):
            return


def _has_body(request):
    names = {name for name, _ in request.headers}
    return b"content-length" in names or b"transfer-encoding" in names
