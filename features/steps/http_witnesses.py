"""Steps of second connections to servers whose answers have no length."""

import threading
import time

import curio
from behave import given, then, when

from features.builders.platform.rawserver import RawServer
from mangogauge.http import ClientPool, Headers

LOCAL = "127.0.0.1"
WORK_SECONDS = 0.3
HEADS = {
    "no length": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "a length": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\n",
}


class CountingServer(RawServer):
    """Answers each request slowly, and counts the other connections meanwhile.

    Attributes
    ----------
    others : list of (int, int)
        How many others were open when each request came, and at its answer's end.
    """

    def __init__(self, head):
        self._head = head
        self._lock = threading.Lock()
        self._open = 0
        self.others = []
        super().__init__(LOCAL)

    def serve(self, connection):
        """Serve one connection."""
        with self._lock:
            self._open += 1
        try:
            if connection.recv(65_536):
                self._answer(connection)
        finally:
            with self._lock:
                self._open -= 1

    def _answer(self, connection):
        before = self._open - 1
        connection.sendall(self._head + b"ab")
        time.sleep(WORK_SECONDS)
        self.others.append((before, self._open - 1))
        connection.sendall(b"cd")


@given("a server whose answers have {length}")
def start_server(context, length):
    context.server = CountingServer(HEADS[length])
    context.add_cleanup(context.server.close)


@when("it is asked once, and again after {seconds:g} s")
def ask_twice(context, seconds):
    async def ask_all():
        pool = ClientPool(proves_ends=True)
        for pause in (0.0, seconds):
            await curio.sleep(pause)
            response = await pool.request(
                context.server.address, "GET", "/", Headers(), fresh=True
            )
            assert await response.read() == b"abcd"

    curio.run(ask_all)


@then(
    "a second connection was open while the last answer came, from before its request"
)
def check_witness(context):
    assert context.server.others[-1] == (1, 1), context.server.others


@then("it has had one connection at a time")
def check_none(context):
    assert context.server.others == [(0, 0), (0, 0)], context.server.others
