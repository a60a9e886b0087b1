"""An attempt at a silent endpoint, and what comes while its successor is sought."""

import curio
from attrs import define, field
from curio import socket

from features.builders.fleet import make_endpoint
from mangogauge.clock import SystemClock
from mangogauge.entry.handover import PAUSE_SECONDS, Handover
from mangogauge.http import ClientConnection, Headers

LOCAL = "127.0.0.1"
LIMIT_SECONDS = 0.05
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@define
class NamedCall:
    """A call as a `Handover` logs it."""

    request_id = field(default="r1")


class _FastClock(SystemClock):
    """Runs so fast that the shortest silence outlasts a sound endpoint's pause."""

    def read_elapsed(self):
        return super().read_elapsed() * PAUSE_SECONDS / LIMIT_SECONDS


class SilentAttempt:
    """One request to a server that acts only while a successor is sought.

    Parameters
    ----------
    is_direct : bool
        Whether the path to it is direct.
    """

    def __init__(self, is_direct):
        self._is_direct = is_direct
        self._acts = None
        self._reading = None
        self._accepted = None

    def run(self, acts):
        """Return the status of the answer, or what the attempt failed by.

        Parameters
        ----------
        acts : str
            What the server does: "answers" or "ends the connection".
        """
        self._acts = acts
        return curio.run(self._run)

    async def _run(self):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind((LOCAL, 0))
        listener.listen()
        connection = await ClientConnection.open(f"{LOCAL}:{listener.getsockname()[1]}")
        self._accepted, _ = await listener.accept()
        handover = Handover(
            NamedCall(),
            make_endpoint(),
            LIMIT_SECONDS,
            self._reserve,
            self._release,
            lambda: self._is_direct,
            _FastClock(),
        )
        handover.note_connection(connection)
        self._reading = await curio.spawn(self._request, connection)
        try:
            if not await handover.wait(self._reading):
                return "left"
            return self._reading.result
        except Exception as error:
            return type(error).__name__
        finally:
            await self._reading.cancel()
            await connection.close()
            await self._accepted.close()
            await listener.close()

    async def _request(self, connection):
        try:
            await connection.send_request("GET", "/", Headers())
            status, _ = await connection.read_head()
        except BaseException:
            await connection.close()
            raise
        return status

    async def _reserve(self):
        if self._acts == "answers":
            await self._accepted.sendall(ANSWER)
        else:
            await self._accepted.close()
        await self._reading.wait()
        return True

    async def _release(self):
        return
