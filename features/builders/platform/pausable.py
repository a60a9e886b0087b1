"""An endpoint that is stopped and goes on: ``python -m ...pausable ...``.

Each connection is served by a thread with blocking sockets, as many servers do: a
request that came while the process was stopped is read and run when it goes on, and
the end of a connection is noticed at a write, by looking for it, or never. It appends
to a file what it does with each request, by the machine's monotonic clock.
"""

import itertools
import json
import os
import select
import socket
import sys
import threading
import time

from attrs import define, field

BACKLOG = 128
QUEUE = 24
READ_SIZE_BYTES = 65_536
# From the begin of a run to its first event, and from one event to the next.
FIRST_SECONDS = 0.15
EVENT_SECONDS = 0.03
HEAD_END = b"\r\n\r\n"
MILLISECONDS_PER_SECOND = 1000


class RunEndedError(Exception):
    """The caller has closed its connection, or its deadline has passed."""


@define(eq=False)
class Request:
    """A request as it was read."""

    method = field()
    path = field()
    headers = field()
    # Tells the runs of one request at one endpoint apart.
    number = field(factory=itertools.count(1).__next__)

    @property
    def request_id(self):
        return self.headers.get("x-request-id", "")

    @property
    def first_event(self):
        return int(self.headers.get("last-event-id", "0")) + 1

    @property
    def events(self):
        return int(self.headers.get("x-token-count", "1,10").split(",")[1])

    @property
    def seconds(self):
        patience = self.headers.get("x-deadline-ms", "60000")
        return int(patience) / MILLISECONDS_PER_SECOND


class RequestReader:
    """Reads requests from one connection."""

    def __init__(self, connection):
        self._connection = connection
        self._data = b""

    def read(self):
        """Return the next `Request`; None at the end of the connection."""
        while HEAD_END not in self._data:
            if not self._receive():
                return None
        head, _, self._data = self._data.partition(HEAD_END)
        line, *rows = head.decode("latin-1").split("\r\n")
        method, path, _ = line.split(" ")
        fields = (row.partition(":") for row in rows)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        size = int(headers.get("content-length", "0"))
        while len(self._data) < size:
            if not self._receive():
                return None
        self._data = self._data[size:]
        return Request(method, path, headers)

    def _receive(self):
        data = self._connection.recv(READ_SIZE_BYTES)
        self._data += data
        return bool(data)


class PausableEndpoint:
    """An endpoint behind its port.

    Parameters
    ----------
    name : str
    slots : int
    notices : str
        How it finds out that a caller has closed: "at once", "at a write", "never".
    journal : str
        Path of the file to append to.
    """

    def __init__(self, name, slots, notices, journal):
        self.name = name
        self.notices = notices
        self._slots = threading.Semaphore(slots)
        self._waiting = 0
        self._journal = os.open(journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def serve(self, address, port):
        """Accept connections until the process is killed."""
        listener = socket.create_server((address, port), backlog=BACKLOG)
        print(json.dumps({"address": f"{address}:{port}"}), flush=True)
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve_connection, args=(connection,), daemon=True
            ).start()

    def _serve_connection(self, connection):
        reader = RequestReader(connection)
        with connection:
            try:
                while (request := reader.read()) is not None:
                    self._handle(connection, request)
            except (OSError, RunEndedError):
                return

    def _handle(self, connection, request):
        if request.path == "/health":
            fields = [f"X-Instance-Id: {self.name}", f"X-Server-Stamp: s-{self.name}"]
            self._send_short(connection, "200 OK", fields)
        elif not request.request_id:
            self._send_short(connection, "400 No", ["X-Not-Run: 1"])
        elif request.headers.get("x-expect-instance", self.name) != self.name:
            self._refuse(connection, request, "421 Other")
        elif self._waiting >= QUEUE:
            self._refuse(connection, request, "503 Full")
        else:
            self._note(request, "read", patience=request.seconds)
            self._run(connection, request)

    def _run(self, connection, request):
        self._waiting += 1
        ends_at = time.monotonic() + request.seconds
        with self._slots:
            self._waiting -= 1
            how = "cut"
            try:
                self._check_caller(connection)
                self._note(request, "begun", after=request.first_event - 1)
                self._answer(connection, request, ends_at)
                how = "done"
            finally:
                self._note(request, "ended", how=how)

    def _answer(self, connection, request, ends_at):
        time.sleep(FIRST_SECONDS)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Server-Stamp: stamp-{self.name}\r\n"
            f"X-Request-Id: {request.request_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self._send(connection, head.encode())
        for number in range(request.first_event, request.events + 1):
            if time.monotonic() > ends_at:
                raise RunEndedError("the deadline has passed")
            time.sleep(EVENT_SECONDS)
            self._note(request, "event", number=number)
            event = f"id: {number}\ndata: {request.request_id}-{number}\n\n".encode()
            self._send(connection, b"%x\r\n%s\r\n" % (len(event), event))
        self._send(connection, b"0\r\n\r\n")

    def _send(self, connection, data):
        self._check_caller(connection)
        try:
            connection.sendall(data)
        except OSError:
            if self.notices != "never":
                raise

    def _check_caller(self, connection):
        if self.notices != "at once" or not select.select([connection], [], [], 0)[0]:
            return
        if not connection.recv(1, socket.MSG_PEEK):
            raise RunEndedError("the caller has closed")

    def _refuse(self, connection, request, status):
        self._note(request, "refused", status=status)
        fields = ["X-Not-Run: 1", f"X-Request-Id: {request.request_id}"]
        self._send_short(connection, status, fields)

    def _send_short(self, connection, status, fields):
        lines = [f"HTTP/1.1 {status}", *fields, "Content-Length: 0", "", ""]
        connection.sendall("\r\n".join(lines).encode())

    def _note(self, request, what, **more):
        entry = {
            "at": time.monotonic(),
            "endpoint": self.name,
            "what": what,
            "run": request.number,
            "request_id": request.request_id,
            "path": request.path,
            **more,
        }
        os.write(self._journal, json.dumps(entry).encode() + b"\n")


def main(address, name, slots, notices, journal):
    """Serve until killed."""
    endpoint = PausableEndpoint(name, int(slots), notices, journal)
    host, _, port = address.rpartition(":")
    endpoint.serve(host, int(port))


if __name__ == "__main__":
    main(*sys.argv[1:])
