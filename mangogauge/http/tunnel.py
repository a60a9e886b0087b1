"""The bytes of a connection, carried in the bodies of one HTTP exchange.

A peer that reaches a server carries a connection to it for a host that doesn't. What
the host sends is the chunked body of a request to the peer, and what the server sends
is the chunked body of its answer. Chunks tell the end of the server's connection from
the loss of the peer, which the end of a TCP connection would not.
"""

import curio
import h11
from curio import socket

from .errors import HTTPConnectError
from .sockets import open_socket

__all__ = ["TunnelRefusedError", "TunnelSocket"]

READ_SIZE_BYTES = 65_536
OPENED_STATUS = 200


class TunnelRefusedError(HTTPConnectError):
    """The peer opened no tunnel.

    Parameters
    ----------
    status : int
        HTTP status of the peer's answer.
    """

    def __init__(self, status, *, peer=""):
        super().__init__(f"No tunnel: status {status}.", step="open tunnel", peer=peer)
        self.status = status


class TunnelSocket:
    """One end of a tunnel, with those methods of a socket that an HTTP client needs.

    Parameters
    ----------
    sock : curio.io.Socket
        Connection to the peer.
    peer : str
        Address of the peer.
    """

    def __init__(self, sock, peer):
        self._sock = sock
        self._h11 = h11.Connection(h11.CLIENT)
        self.peer = peer

    @classmethod
    async def open(cls, peer, target, connect_timeout, open_timeout):
        """Return an open `TunnelSocket`.

        Parameters
        ----------
        peer : str
            ``host:port`` of the peer that carries the connection.
        target : str
            Request target that names the server to the peer.
        connect_timeout, open_timeout : float
            Seconds allowed for the connection to the peer, and for its answer.

        Raises
        ------
        TunnelRefusedError
            If the peer answered that it opened none.
        HTTPConnectError
            If the peer can't be reached, or doesn't answer.
        """
        sock = await open_socket(peer, connect_timeout)
        tunnel = cls(sock, peer)
        try:
            async with curio.timeout_after(open_timeout):
                status = await tunnel._begin(target)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            await tunnel.close()
            raise HTTPConnectError(
                f"No tunnel: {error!r}.", step="open tunnel", peer=peer
            ) from error
        except BaseException:
            await tunnel.close()
            raise
        if status != OPENED_STATUS:
            await tunnel.close()
            raise TunnelRefusedError(status, peer=peer)
        return tunnel

    def fileno(self):
        """Return the descriptor of the connection to the peer."""
        return self._sock.fileno()

    async def sendall(self, data):
        """Send bytes to the server."""
        await self._sock.sendall(self._h11.send(h11.Data(data=data)))

    async def recv(self, size):
        """Return bytes of the server; none if it has ended its connection.

        Raises
        ------
        ConnectionResetError
            If the server's connection broke, or that to the peer.
        """
        try:
            event = await self._read_event()
            pieces = []
            while isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                # Nothing may stay buffered here: idle connections are polled for input.
                event = self._h11.next_event()
            if isinstance(event, h11.EndOfMessage):
                await self._end_input()
            return b"".join(pieces)
        except h11.RemoteProtocolError as error:
            raise ConnectionResetError(str(error)) from error

    async def close(self):
        """Close the connection to the peer, which then closes that to the server."""
        await self._sock.close()

    async def _end_input(self):
        """Have later reads, and polls of an idle connection, find the end at once."""
        try:
            await self._sock.shutdown(socket.SHUT_RD)
        except OSError:
            # The connection to the peer has ended too.
            return

    async def _begin(self, target):
        headers = [("Host", self.peer), ("Transfer-Encoding", "chunked")]
        request = h11.Request(method="POST", target=target, headers=headers)
        await self._sock.sendall(self._h11.send(request))
        response = await self._read_event()
        return response.status_code

    async def _read_event(self):
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._sock.recv(READ_SIZE_BYTES))
