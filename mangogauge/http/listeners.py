"""Listening TCP sockets."""

from curio import socket

__all__ = ["open_listener"]

DEFAULT_BACKLOG = 1024


def open_listener(host, port, backlog=DEFAULT_BACKLOG):
    """Return a listening `curio.io.Socket`.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port; 0 for any free one.
    backlog : int, optional
        Connections that may wait to be accepted.

    Raises
    ------
    OSError
        If the port isn't free.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(backlog)
    return listener
