"""Open TCP and TLS connections to servers."""

import struct

import curio
from curio import socket

from .errors import HTTPConnectError
from .liveness import detect_dead_peer

__all__ = ["DEFAULT_CONNECT_TIMEOUT", "RESET_ON_CLOSE", "open_socket"]

DEFAULT_CONNECT_TIMEOUT = 2.0
# Value of SO_LINGER that makes closing reset the connection at once.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# What the system raises for a host or port that can't be one.
ADDRESS_ERRORS = (ValueError, OverflowError, TypeError)


async def open_socket(address, timeout=DEFAULT_CONNECT_TIMEOUT, tls=None):
    """Return a connected `curio.io.Socket`.

    Parameters
    ----------
    address : str
        ``host:port``, the host by IP number.
    timeout : float, optional
        Seconds allowed for the connection to be made.
    tls : ssl.SSLContext, optional
        Plain TCP if absent.

    Raises
    ------
    HTTPConnectError
        If there is no connection; its cause tells why.
    """
    host, _, port = address.rpartition(":")
    try:
        async with curio.timeout_after(timeout):
            sock = await _connect(host, int(port), tls)
    except (OSError, curio.TaskTimeout, *ADDRESS_ERRORS) as error:
        raise HTTPConnectError(
            f"No connection: {error!r}.", step="connect", peer=address
        ) from error
    try:
        detect_dead_peer(sock)
    except OSError as error:
        await sock.close()
        raise HTTPConnectError(
            f"The connection ended at once: {error!r}.", step="connect", peer=address
        ) from error
    return sock


async def _connect(host, port, tls):
    if tls is not None:
        return await curio.open_connection(host, port, ssl=tls, server_hostname=host)
    # Not by open_connection, which looks every host up in a thread: it is an
    # IP number here.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    return sock
