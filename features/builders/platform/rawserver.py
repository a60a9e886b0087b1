"""A server of plain sockets, for endpoints that don't keep to HTTP."""

import socket
import threading
from abc import ABC, abstractmethod
from pathlib import Path

# What a socket may hold that was sent and isn't read: at most this, and what the
# other side's socket takes by the system's settings.
SEND_BUFFER_BYTES = 65_536
RECEIVE_BUFFERS = Path("/proc/sys/net/ipv4/tcp_rmem")


class RawServer(ABC):
    """Accepts connections, each served in a thread of its own.

    Parameters
    ----------
    address : str
        IP number to listen at.

    Attributes
    ----------
    address : str
        IP number and port.
    """

    def __init__(self, address):
        self.ended = threading.Event()
        self._listener = socket.create_server((address, 0))
        self.address = f"{address}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop accepting."""
        self.ended.set()
        self._listener.close()

    @staticmethod
    def measure_unread():
        """Return how many bytes sent on a connection may never have been read."""
        largest = int(RECEIVE_BUFFERS.read_text().split()[2])
        # The system keeps twice of what was asked for.
        return 2 * SEND_BUFFER_BYTES + largest

    @abstractmethod
    def serve(self, connection):
        """Serve one connection, which is closed afterwards."""

    def _accept(self):
        while not self.ended.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            self.serve(connection)
