"""Run one host whose connections can be cut: ``python -m ...linkedhost SOURCE FILE``.

Its connections come from an address of its own. The file, which may change at any
time, says which addresses lead elsewhere: where nobody answers or nobody listens.
"""

import socket
import sys
from pathlib import Path

import orjson

from mangogauge.processes import run_process

# Linux's number: the port is chosen when the connection is made.
IP_BIND_ADDRESS_NO_PORT = 24


def redirect_connections(source, file):
    """Have all TCP connections of this process come from `source`."""
    connect = socket.socket.connect

    def connect_from_source(sock, address):
        if sock.type != socket.SOCK_STREAM or sock.family != socket.AF_INET:
            return connect(sock, address)
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((source, 0))
        return connect(sock, read_way(file, address))

    socket.socket.connect = connect_from_source


def read_way(file, address):
    """Return where a connection to an address leads at present."""
    ways = orjson.loads(file.read_bytes())
    host, _, port = ways.get("{}:{}".format(*address), "").rpartition(":")
    return (host, int(port)) if port else address


if __name__ == "__main__":
    redirect_connections(sys.argv[1], Path(sys.argv[2]))
    run_process("mangogauge.platform.service")
