"""An endpoint that acts late on the end of its caller's side: ``... told ...``.

Its answers stop until the caller has ended its sending side. It then goes on for a
few events, or not at all, and closes the connection in good order.
"""

import select
import sys

from features.builders.platform.pausable import PausableEndpoint, RunEndedError

# Longest wait for the caller to end its side.
PATIENCE_SECONDS = 4.0
EVENTS_BEFORE = 3
HEADS = {
    # Nothing but the connection's end ends the body.
    "without length": "Connection: close\r\n",
    "in chunks": "Transfer-Encoding: chunked\r\n",
}


class ToldEndpoint(PausableEndpoint):
    """An endpoint that sends a part of each answer.

    Parameters
    ----------
    name, journal : str
        As of `PausableEndpoint`.
    slots : int
    framing : str
        How its answers say where they end; a key of `HEADS`.
    begins : str
        Whether the part comes "before" the caller has ended its side or "after".
    """

    def __init__(self, name, slots, journal, framing, begins):
        super().__init__(name, slots, "never", journal)
        self._framing = framing
        self._begins = begins

    def _answer(self, connection, request, ends_at):
        if self._begins == "after":
            self._await_end(connection)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Server-Stamp: stamp-{self.name}\r\n"
            f"X-Request-Id: {request.request_id}\r\n{HEADS[self._framing]}\r\n"
        )
        connection.sendall(head.encode())
        for number in range(request.first_event, request.first_event + EVENTS_BEFORE):
            self._note(request, "event", number=number)
            event = f"id: {number}\ndata: {request.request_id}-{number}\n\n".encode()
            if self._framing == "in chunks":
                event = b"%x\r\n%s\r\n" % (len(event), event)
            connection.sendall(event)
        if self._begins == "before":
            self._await_end(connection)
        raise RunEndedError("the caller has closed")

    def _await_end(self, connection):
        select.select([connection], [], [], PATIENCE_SECONDS)


def main(address, name, slots, journal, framing, begins):
    """Serve until killed."""
    endpoint = ToldEndpoint(name, int(slots), journal, framing, begins)
    host, _, port = address.rpartition(":")
    endpoint.serve(host, int(port))


if __name__ == "__main__":
    main(*sys.argv[1:])
