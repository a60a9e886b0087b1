"""What has come on a socket, told without reading it."""

import os
import select
from socket import socket as make_socket

from curio import socket
from curio.traps import _read_wait

__all__ = ["has_unread", "wait_for_unread", "wake_reader"]


def has_unread(sock):
    """Return whether bytes have come that were not read yet."""
    poller = select.poll()
    try:
        poller.register(sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return False


async def wait_for_unread(sock, is_tls=False):
    """Wait until bytes or an end have come, and leave them unread.

    Parameters
    ----------
    sock : curio.io.Socket
    is_tls : bool, optional
        Whether it may hold decrypted bytes, of which its descriptor doesn't tell.
    """
    if is_tls and sock.pending():
        return
    await _read_wait(sock.fileno())


def wake_reader(sock):
    """Shut the receiving side, so that whoever waits for input finds its end.

    Notes
    -----
    By a twin of the socket, since TLS would end with its own shutdown.
    """
    try:
        with make_socket(fileno=os.dup(sock.fileno())) as twin:
            twin.shutdown(socket.SHUT_RD)
    except (OSError, ValueError):
        return
