"""Received but unread bytes of a socket, examined without reading them."""

import os
import select
from socket import socket as make_socket

from curio import socket
from curio.traps import _read_wait

__all__ = ["has_unread", "has_unread_bytes", "wait_for_unread", "wake_reader"]


def has_unread(sock):
    """Return whether there are unread bytes, or an unread end of the stream."""
    poller = select.poll()
    try:
        poller.register(sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return False


def has_unread_bytes(sock):
    """Return whether there are unread bytes; the end of the stream doesn't count."""
    try:
        with _duplicate(sock) as duplicate:
            return bool(duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except (OSError, ValueError):
        return False


async def wait_for_unread(sock, is_tls=False):
    """Wait until bytes or the end of the stream arrive, without reading them.

    Parameters
    ----------
    sock : curio.io.Socket
    is_tls : bool, optional
        Whether it may hold decrypted bytes, which polling its descriptor misses.
    """
    if is_tls and sock.pending():
        return
    await _read_wait(sock.fileno())


def wake_reader(sock):
    """Shut the receiving side, which wakes a task that waits for bytes.

    Notes
    -----
    A duplicate of the socket is used, since TLS would end with its own shutdown.
    """
    try:
        with _duplicate(sock) as duplicate:
            duplicate.shutdown(socket.SHUT_RD)
    except (OSError, ValueError):
        return


def _duplicate(sock):
    return make_socket(fileno=os.dup(sock.fileno()))
