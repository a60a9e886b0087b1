"""Ways to open a connection to a server."""

from abc import ABC, abstractmethod

from .client import ClientConnection
from .sockets import DEFAULT_CONNECT_TIMEOUT

__all__ = ["Connector", "DirectConnector"]


class Connector(ABC):
    """Opens connections to servers."""

    @abstractmethod
    async def open(self, address):
        """Return a new `ClientConnection`.

        Parameters
        ----------
        address : str
            Names the server.

        Raises
        ------
        HTTPConnectError
            If there is no connection.
        """


class DirectConnector(Connector):
    """Connects by TCP or TLS; an address is ``host:port``.

    Parameters
    ----------
    timeout : float, optional
        Seconds allowed for a connection to be made.
    tls : ssl.SSLContext, optional
        Plain TCP if absent.
    limits : ClientLimits, optional
    """

    def __init__(self, timeout=DEFAULT_CONNECT_TIMEOUT, tls=None, limits=None):
        self._timeout = timeout
        self._tls = tls
        self._limits = limits

    async def open(self, address):
        """Connect; see `Connector`."""
        return await ClientConnection.open(
            address, self._timeout, self._tls, self._limits
        )
