"""How long connections live: peers that went silent, servers' own time-outs."""

import re

from curio import socket

__all__ = ["detect_dead_peer", "read_idle_seconds"]

KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_PROBES = 2
SILENCE_MILLISECONDS = 4000
IDLE_SECONDS = 30.0
# How long before the server's own time-out an idle connection is given up.
IDLE_MARGIN_SECONDS = 0.75
KEEP_ALIVE_PATTERN = re.compile(r"timeout=(\d+)")


def detect_dead_peer(sock):
    """Have the kernel end a connection whose other side has gone silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MILLISECONDS)


def read_idle_seconds(headers):
    """Return how long an idle connection may be kept, by the server's words."""
    if (headers.get("connection") or "").lower() == "close":
        return 0.0
    stated = KEEP_ALIVE_PATTERN.search(headers.get("keep-alive") or "")
    if stated is None:
        return IDLE_SECONDS
    return min(IDLE_SECONDS, int(stated[1]) - IDLE_MARGIN_SECONDS)
