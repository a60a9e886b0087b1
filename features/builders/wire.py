"""Callers that write bytes as they like, well formed or not."""

import socket
import time

TIMEOUT_SECONDS = 60


class RawCaller:
    """A bare connection to a port."""

    def __init__(self, address, port, receive_buffer=0):
        self._sock = socket.socket()
        if receive_buffer:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._sock.settimeout(TIMEOUT_SECONDS)
        self._sock.connect((address, port))
        self.received = b""

    def send(self, data):
        """Send bytes; a peer that has closed already is no error."""
        try:
            self._sock.sendall(data)
        except OSError:
            pass

    def end_sending(self):
        """Say that no more bytes will come."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def read_to_end(self):
        """Return all that comes until the peer closes."""
        try:
            while data := self._sock.recv(65_536):
                self.received += data
        except ConnectionResetError:
            pass
        return self.received

    def read_until(self, mark):
        """Return all that has come once `mark` is in it."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while mark not in self.received:
            data = self._sock.recv(65_536)
            assert data and time.monotonic() < deadline, self.received
            self.received += data
        return self.received

    def count_to_end(self):
        """Read to the end and return how many bytes came."""
        count = len(self.received)
        while data := self._sock.recv(1_048_576):
            count += len(data)
        return count

    def close(self):
        self._sock.close()


def make_request(target="/v1/models", method="GET", body=b"", key="", **headers):
    """Return the bytes of a well-formed request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: mangogauge"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body
