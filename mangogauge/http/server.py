"""HTTP/1.1 server: one task for each connection.

`HTTPServer` accepts connections and calls a handler with an `Exchange` for
each request. A caller that hangs up cancels the handler.
"""

import curio
import h11

from ..telemetry import get_logger
from .buffers import BufferBudget
from .connection import ServerConnection
from .limits import ServerLimits
from .listeners import open_listener
from .liveness import detect_dead_peer

__all__ = ["HTTPServer"]

DRAIN_INTERVAL = 0.02
ACCEPT_PAUSE = 0.1
BUSY_BODY = (
    b'{"error":{"code":"overloaded","message":"The host has too many connections.",'
    b'"type":"refusal","executed":"no","retry_after":1.0}}'
)
BUSY_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
) % (len(BUSY_BODY), BUSY_BODY)

log = get_logger("http")


class HTTPServer:
    """Accept connections on one address and serve them.

    Parameters
    ----------
    handler : async callable
        Called with an `Exchange` for each request.
    limits : ServerLimits, optional
        Bounds for each connection.
    tls : TLSContext, optional
        Plain TCP if absent.
    """

    def __init__(self, handler, limits=None, tls=None):
        self._handler = handler
        self.limits = limits or ServerLimits()
        self.buffers = BufferBudget(self.limits.buffered_bytes)
        self.tls = tls
        self._listener = None
        self._accepting = None
        self._group = None
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

    @property
    def closing(self):
        """Whether connections are closed after their current exchange."""
        return self._closing

    def bind(self, address, port):
        """Bind the listening socket, so that the port is known."""
        self._listener = open_listener(address, port)

    async def serve(self):
        """Accept connections until cancelled."""
        async with self._listener:
            async with curio.TaskGroup(wait=None) as group:
                self._group = group
                self._accepting = await group.spawn(self._accept_connections)
                await curio.Event().wait()

    def start_close(self):
        """End each connection with its current or next answer."""
        self._closing = True

    async def drain(self):
        """Stop listening, and wait until every request that came is answered."""
        self._closing = True
        if self._accepting is not None:
            await self._accepting.cancel()
            for sock, address in await self._close_listener():
                await self._take_connection(sock, address)
        while self._connections:
            for connection in list(self._connections):
                await connection.end_if_idle()
            await curio.sleep(DRAIN_INTERVAL)

    async def _accept_connections(self):
        while True:
            try:
                sock, address = await self._listener.accept()
            except OSError as error:
                # Such as too many open files: others may be closed by then.
                log.error("accept failed", extra={"reason": repr(error)})
                await curio.sleep(ACCEPT_PAUSE)
                continue
            await self._take_connection(sock, address)

    async def _close_listener(self):
        """Close the listener; return the connections that were waiting there.

        Returns
        -------
        list of (curio.io.Socket, tuple)
            Sockets and their peers' addresses. Nothing else runs between the last of
            them and the close, which would reset a connection made meanwhile.
        """
        waiting = []
        with self._listener.blocking() as raw:
            raw.setblocking(False)
            try:
                while True:
                    sock, address = raw.accept()
                    waiting.append((curio.io.Socket(sock), address))
            except OSError:
                pass
        await self._listener.close()
        return waiting

    async def _take_connection(self, sock, address):
        if len(self._connections) >= self.limits.connections:
            await _send_busy(sock)
            return
        peer = f"{address[0]}:{address[1]}"
        connection = ServerConnection(self, sock, peer)
        self._connections.add(connection)
        # A daemon task is dropped by the group when it ends.
        await self._group.spawn(self._serve_connection, connection, daemon=True)

    async def _wrap(self, connection):
        """Return whether the caller's handshake succeeded."""
        wrapped = False
        try:
            connection.sock = await self.tls.wrap(connection.sock)
            wrapped = True
        except OSError as error:
            extra = {"peer": connection.peer, "reason": repr(error)}
            log.info("handshake failed", extra=extra)
        finally:
            if not wrapped:
                self._connections.discard(connection)
        return wrapped

    async def _serve_connection(self, connection):
        if self.tls is not None and not await self._wrap(connection):
            return
        linger = False
        try:
            detect_dead_peer(connection.sock)
            await connection.run(self._handler)
            linger = True
        except (OSError, curio.TaskTimeout, h11.ProtocolError):
            pass
        except Exception:
            log.exception("connection failed", extra={"peer": connection.peer})
        finally:
            await connection.close(linger)
            self._connections.discard(connection)


async def _send_busy(sock):
    try:
        async with curio.ignore_after(ACCEPT_PAUSE):
            await sock.sendall(BUSY_ANSWER)
        await sock.close()
    except OSError:
        pass
