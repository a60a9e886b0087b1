"""What has come on a socket, told without reading it."""

import os
import select
from socket import socket as make_socket

from curio import socket
from curio.traps import _read_wait

__all__ = ["has_unread", "has_unread_bytes", "wait_for_unread", "wake_reader"]


def has_unread(sock):
    """Return whether bytes or an end have come that were not read yet."""
    poller = select.poll()
    try:
        poller.register(sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return False


def has_unread_bytes(sock):
    """Return whether bytes have come that were not read yet; an end is none."""
    try:
        with _duplicate(sock) as twin:
            return bool(twin.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
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
        with _duplicate(sock) as twin:
            twin.shutdown(socket.SHUT_RD)
    except (OSError, ValueError):
        return


def _duplicate(sock):
    return make_socket(fileno=os.dup(sock.fileno()))
