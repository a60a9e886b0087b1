"""Stand-in for a worker: ``python worker2.py ADDRESS NAME JOURNAL FRAMING VERSION``.

It runs up to `SLOTS` requests at a time and queues some more, answers each by a stream
of numbered events, and drops a request when its connection closes. FRAMING is
"chunked", or "unframed" for answers that end with their connection. What it runs goes
to the journal, which all workers of a case share.
"""

import json
import os
import select
import socket
import sys
import threading
import time

EVENT_SECONDS = 0.012
SLOTS = 8
QUEUED = 24
BACKLOG = 256
END_OF_CHUNKS = b"0\r\n\r\n"


class CallerLeftError(OSError):
    """The connection was closed within an answer."""


class Worker:
    """A worker behind its port."""

    def __init__(self, address, name, journal, framing, version):
        self._name = name
        self._version = version
        self._is_chunked = framing == "chunked"
        self._journal = os.open(journal, os.O_WRONLY | os.O_APPEND)
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(SLOTS)
        self._waiting = 0
        host, _, port = address.rpartition(":")
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.listen(BACKLOG)

    def serve(self):
        """Accept connections until killed."""
        print("listens", flush=True)
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve_connection, args=(connection,), daemon=True
            ).start()

    def _serve_connection(self, connection):
        reader = connection.makefile("rb")
        try:
            while self._serve_request(connection, reader):
                pass
        except OSError:
            pass
        finally:
            reader.close()
            connection.close()

    def _serve_request(self, connection, reader):
        """Serve one request; return whether the connection may carry another."""
        if not reader.readline():
            return False
        fields = {}
        while line := reader.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.lower()] = value.strip()
        reader.read(int(fields.get("content-length", 0)))
        request_id = fields.get("x-request-id", "")
        if fields.get("x-expect-instance", self._name) != self._name:
            return self._refuse(connection, 421, request_id)
        with self._lock:
            is_full = self._waiting >= QUEUED
            self._waiting += not is_full
        if is_full:
            return self._refuse(connection, 503, request_id)
        with self._slots:
            with self._lock:
                self._waiting -= 1
            return self._run(connection, fields, request_id)

    def _refuse(self, connection, status, request_id):
        connection.sendall(
            f"HTTP/1.1 {status} Not run\r\nX-Not-Run: 1\r\n"
            f"X-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        return True

    def _run(self, connection, fields, request_id):
        last = fields.get("last-event-id")
        count = int(fields["x-token-count"].split(",")[1])
        self._note("begins", request_id, last)
        framing = "Transfer-Encoding: chunked" if self._is_chunked else ""
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Server-Stamp: stamp.{self._name}",
            "Content-Type: text/event-stream",
            framing or "Connection: close",
        ]
        connection.sendall("\r\n".join([*head, "", ""]).encode())
        number = int(last or 0)
        try:
            while number < count:
                time.sleep(EVENT_SECONDS)
                if select.select([connection], [], [], 0)[0]:
                    raise CallerLeftError("the caller has left")
                number += 1
                self._send(connection, self._make_event(request_id, number))
            if self._is_chunked:
                connection.sendall(END_OF_CHUNKS)
        except OSError:
            self._note("is dropped", request_id, number)
            raise
        self._note("ends", request_id, number)
        return self._is_chunked

    def _make_event(self, request_id, number):
        data = f"{request_id}-{number}-{self._version}"
        return f"id: {number}\ndata: {data}\n\n".encode()

    def _send(self, connection, event):
        if self._is_chunked:
            event = b"%x\r\n%s\r\n" % (len(event), event)
        connection.sendall(event)

    def _note(self, what, request_id, last):
        row = {
            "at": time.time(),
            "worker": self._name,
            "version": self._version,
            "what": what,
            "id": request_id,
            "last": last,
        }
        os.write(self._journal, json.dumps(row).encode() + b"\n")


if __name__ == "__main__":
    Worker(*sys.argv[1:]).serve()
