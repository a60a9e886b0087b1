"""An endpoint whose answers end with their connections: ``... unframed ...``.

A word tells how it treats a connection that carries nothing: it keeps it open, or
ends it soon.
"""

import json
import select
import socket
import sys
import threading

from features.builders.platform.pausable import (
    BACKLOG,
    PausableEndpoint,
    RunEndedError,
)

# How long a connection may carry nothing, by the word.
IDLE_SECONDS = {"keeps": 60.0, "ends": 0.05}
HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
    "X-Server-Stamp: stamp-{0}\r\nX-Request-Id: {1}\r\n\r\n"
)


class UnframedEndpoint(PausableEndpoint):
    """An endpoint that closes each connection behind the last event of an answer.

    Parameters
    ----------
    name, journal : str
        As of `PausableEndpoint`.
    slots : int
    idle : str
        How it treats connections that carry nothing; a key of `IDLE_SECONDS`.
    event_seconds : float
    """

    def __init__(self, name, slots, journal, idle, event_seconds):
        super().__init__(name, slots, "at once", journal)
        self._idle_seconds = IDLE_SECONDS[idle]
        self._event_seconds = event_seconds

    def serve(self, address, port):
        """Accept connections until the process is killed."""
        listener = socket.create_server((address, port), backlog=BACKLOG)
        print(json.dumps({"address": f"{address}:{port}"}), flush=True)
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve_unless_idle, args=(connection,), daemon=True
            ).start()

    def _serve_unless_idle(self, connection):
        with connection:
            if select.select([connection], [], [], self._idle_seconds)[0]:
                self._serve_connection(connection)

    def _handle(self, connection, request):
        if request.path == "/load":
            self._send_load(connection)
        else:
            super()._handle(connection, request)

    def _send_load(self, connection):
        load = b'{"running": 0, "waiting": 0, "slots": 64}'
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(load)}\r\n\r\n"
        connection.sendall(head.encode() + load)

    def _answer(self, connection, request, ends_at):
        self._send(connection, HEAD.format(self.name, request.request_id).encode())
        for number in range(request.first_event, request.events + 1):
            self._sleep_between_events()
            self._note(request, "event", number=number)
            event = f"id: {number}\ndata: {request.request_id}-{number}\n\n"
            self._send(connection, event.encode())
        raise RunEndedError("the answer is whole")

    def _sleep_between_events(self):
        threading.Event().wait(self._event_seconds)


def main(address, name, slots, journal, idle, event_seconds):
    """Serve until killed."""
    endpoint = UnframedEndpoint(name, int(slots), journal, idle, float(event_seconds))
    host, _, port = address.rpartition(":")
    endpoint.serve(host, int(port))


if __name__ == "__main__":
    main(*sys.argv[1:])
