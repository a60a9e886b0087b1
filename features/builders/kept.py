"""One caller's kept connection to a server in the same process."""

import logging
import socket

import curio

from mangogauge.http import Headers, HTTPServer, ServerLimits
from mangogauge.http.connection import ServerConnection

from .wire import make_request

__all__ = ["KeptConnection"]

LOCAL = "127.0.0.1"
ANSWER = b"served"
READ_SIZE_BYTES = 65_536
ANSWER_SECONDS = 10.0
STEP_SECONDS = 0.05


async def answer_whole(exchange):
    """Read the request and answer it."""
    await exchange.read_body()
    await exchange.respond(200, Headers(), ANSWER)


class MessageRecorder(logging.Handler):
    """Keeps the messages of a logger.

    Attributes
    ----------
    messages : list of str
    """

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        """Keep the message of a record."""
        self.messages.append(record.getMessage())


class KeptConnection:
    """A connection of one caller.

    Parameters
    ----------
    handler : async callable, optional
    **limits
        Those of `ServerLimits`.

    Attributes
    ----------
    begun_count : int
        How many requests were given to the handler.
    recorder : MessageRecorder
        Of what the server logs.
    """

    def __init__(self, handler=answer_whole, **limits):
        self.handler = handler
        self.begun_count = 0
        self.recorder = MessageRecorder()
        self._log = logging.getLogger("mangogauge.http")
        self._level = self._log.level
        self._log.setLevel(logging.INFO)
        self._log.addHandler(self.recorder)
        self._kernel = curio.Kernel()
        self._server = HTTPServer(self._handle, ServerLimits(**limits))
        self._caller, served = _connect()
        sock = curio.io.Socket(served)
        self._connection = ServerConnection(self._server, sock, "caller")
        self._kernel.run(self._start)

    def set_limits(self, **limits):
        """Put other limits in force."""
        self._server.limits = ServerLimits(**limits)

    def wait(self, seconds):
        """Let the server run."""
        self._kernel.run(curio.sleep, seconds)

    def ask(self, body=b"", **headers):
        """Send a request; return what comes back up to the answer's end."""
        self._caller.sendall(make_request(body=body, **headers))
        return self.read_answer()

    def ask_across_end(self, body):
        """Send the first half of a request, end the connection, then send the rest."""
        data = make_request(body=body)
        middle = len(data) - len(body) // 2
        # The answer before is over on both sides.
        self.wait(STEP_SECONDS)
        self._kernel.run(self._end_across, data[:middle])
        self._caller.sendall(data[middle:])
        return self.read_answer()

    def ask_after_end(self, body=b""):
        """End the connection, and send a request before the server runs again."""
        self.wait(STEP_SECONDS)
        self._kernel.run(self._end_before, make_request(body=body))
        return self.read_answer()

    def read_answer(self):
        """Return the bytes of one answer, or what came before the connection's end."""
        return self._kernel.run(self._read_answer)

    def close(self):
        """End both sides."""
        self._log.removeHandler(self.recorder)
        self._log.setLevel(self._level)
        self._caller.close()
        self._kernel.run(shutdown=True)

    async def _end_across(self, data):
        # Nothing else runs in between: the server has read none of the data.
        self._caller.sendall(data)
        await self._connection.end_if_idle()
        await curio.sleep(STEP_SECONDS)

    async def _end_before(self, data):
        await self._connection.end_if_idle()
        self._caller.sendall(data)
        await curio.sleep(STEP_SECONDS)

    async def _handle(self, exchange):
        self.begun_count += 1
        await self.handler(exchange)

    async def _start(self):
        await curio.spawn(self._serve, daemon=True)

    async def _serve(self):
        await self._connection.run(self._handle)
        await self._connection.close()

    async def _read_answer(self):
        received = b""
        caller = curio.io.Socket(socket.socket(fileno=self._caller.fileno()))
        try:
            async with curio.timeout_after(ANSWER_SECONDS):
                while not _is_whole(received):
                    data = await caller.recv(READ_SIZE_BYTES)
                    if not data:
                        break
                    received += data
        except ConnectionError:
            pass
        finally:
            caller._socket.detach()
        return received


def _connect():
    with socket.create_server((LOCAL, 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        served, _ = listener.accept()
    return caller, served


def _is_whole(received):
    head, end, body = received.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return bool(end) and len(body) >= int(value)
    return False
