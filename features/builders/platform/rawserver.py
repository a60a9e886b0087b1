"""A server of plain sockets, for endpoints that don't keep to HTTP."""

import socket
import threading
from abc import ABC, abstractmethod


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

    @abstractmethod
    def serve(self, connection):
        """Serve one connection, which is closed afterwards."""

    def _accept(self):
        while not self.ended.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            self.serve(connection)
