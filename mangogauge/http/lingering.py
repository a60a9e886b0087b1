"""Wait for the end of a connection within whose answer this side has left."""

import time

import curio

__all__ = ["read_to_end"]

READ_SIZE_BYTES = 65_536
# Longer than a server stands still that is sound.
LINGER_SECONDS = 2.0
# What comes later was sent by a server that has not noticed, and won't by itself.
NOTICE_SECONDS = 0.1
# More than a sound server sends meanwhile.
LINGER_BYTES = 65_536


async def read_to_end(sock):
    """Drop what a server sends until it ends the connection, or sends regardless.

    Parameters
    ----------
    sock : curio.io.Socket
        Its sending side has been ended; closing it resets the connection.
    """
    noticed_by = time.monotonic() + NOTICE_SECONDS
    size = 0
    try:
        async with curio.ignore_after(LINGER_SECONDS):
            while data := await sock.recv(READ_SIZE_BYTES):
                size += len(data)
                if size > LINGER_BYTES or time.monotonic() >= noticed_by:
                    return
    except OSError:
        return
