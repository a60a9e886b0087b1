"""Endpoints whose answers break the protocol, each in a way that has a name."""

import time
from collections import Counter

from .rawserver import RawServer
from .twins import make_refusal, make_success, read_request

__all__ = ["BrokenAnswerEndpoint", "RepeatingEndpoint"]

WORK_SECONDS = 0.1
EVENTS = b"id: 1\ndata: x-1\n\nid: 2\ndata: x-2\n\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp-b\r\nX-Request-Id: %s\r\n"
    b"Content-Type: text/event-stream\r\n"
)
# What follows a request's id is the end of what is sent before the connection closes.
BROKEN_ANSWERS = {
    "within the status line": lambda name: b"HTTP/1.1 200 O",
    "after the status line": lambda name: b"HTTP/1.1 200 OK\r\n",
    "within a header field": lambda name: HEAD % name + b"Content-Le",
    "before the end of the head": lambda name: HEAD % name,
    "after the head, with no length": lambda name: HEAD % name + b"\r\n",
    "within an event, with no length": lambda name: (
        HEAD % name + b"\r\n" + EVENTS + b"id: 3\nda"
    ),
    "within a chunk": lambda name: (
        HEAD % name + b"Transfer-Encoding: chunked\r\n\r\n40\r\n" + EVENTS
    ),
}


class BrokenAnswerEndpoint(RawServer):
    """Begins to answer each request and closes the connection somewhere within.

    Parameters
    ----------
    address : str
        IP number to listen at.
    where : str
        A key of `BROKEN_ANSWERS`.
    """

    def __init__(self, address, where):
        self._make_answer = BROKEN_ANSWERS[where]
        super().__init__(address)

    def serve(self, connection):
        """Answer one request in part."""
        request_id = read_request(connection)
        if request_id:
            connection.sendall(self._make_answer(request_id))


class RepeatingEndpoint(RawServer):
    """Refuses the first request of each connection, and says so again at the second.

    Parameters
    ----------
    address : str
        IP number to listen at.
    with_id : bool
        Whether the copy of the refusal names the request that was refused.

    Attributes
    ----------
    runs : Counter
        How often each request has run here, by its id.
    """

    def __init__(self, address, with_id):
        self._with_id = with_id
        self.runs = Counter()
        super().__init__(address)

    def serve(self, connection):
        """Answer one request after the other."""
        refused_id = read_request(connection)
        if not refused_id:
            return
        refusal = make_refusal(refused_id)
        connection.sendall(refusal)
        if not self._with_id:
            refusal = refusal.replace(b"X-Request-Id: %s\r\n" % refused_id, b"")
        while request_id := read_request(connection):
            self.runs[request_id] += 1
            connection.sendall(refusal)
            time.sleep(WORK_SECONDS)
            connection.sendall(make_success(request_id))
