"""An endpoint that refuses each request once and sends that refusal twice, late."""

import re
import threading
import time
from collections import Counter

from .rawserver import RawServer

TWIN_SECONDS = 0.04
WORK_SECONDS = 0.15
REQUEST_ID = re.compile(rb"x-request-id: *([^\r]+)", re.IGNORECASE)
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


class TwinEndpoint(RawServer):
    """Refuses a request when it comes first, and runs it when it comes again.

    The second copy of the refusal goes out on the same connection, a moment later,
    when the request may be running there.

    Parameters
    ----------
    address : str
        IP number to listen at.

    Attributes
    ----------
    runs : Counter
        How often each request has run here, by its id.
    """

    def __init__(self, address):
        self._seen = Counter()
        self.runs = Counter()
        super().__init__(address)

    def serve(self, connection):
        """Answer one request after the other."""
        try:
            while request_id := read_request(connection):
                self._answer(connection, request_id)
        except OSError:
            return

    def _answer(self, connection, request_id):
        self._seen[request_id] += 1
        if self._seen[request_id] == 1:
            refusal = make_refusal(request_id)
            connection.sendall(refusal)
            threading.Timer(TWIN_SECONDS, send, (connection, refusal)).start()
            return
        self.runs[request_id] += 1
        time.sleep(WORK_SECONDS)
        connection.sendall(make_success(request_id))


def send(connection, data):
    """Send on a connection that may have been closed meanwhile."""
    try:
        connection.sendall(data)
    except OSError:
        return


def read_request(connection):
    """Read one request whole; return its id, empty if the connection has ended."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65_536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = LENGTH.search(head)
    left = int(length[1]) - len(body) if length else 0
    while left > 0:
        left -= len(connection.recv(left))
    return REQUEST_ID.search(head)[1]


def make_refusal(request_id):
    """Return an answer that says that the request was not run."""
    return (
        b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request-Id: %s\r\n"
        b"Content-Length: 0\r\n\r\n" % request_id
    )


def make_success(request_id):
    """Return a whole answer of one event."""
    event = b"id: 1\ndata: %s-1\n\n" % request_id
    return (
        b"HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp-twin\r\nX-Request-Id: %s\r\n"
        b"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s"
        % (request_id, len(event), event)
    )
