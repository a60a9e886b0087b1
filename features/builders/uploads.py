"""A server that answers uploads early, and a client that sends them."""

import socket
import threading

import curio

from mangogauge.http import ClientConnection, Headers, HTTPError
from mangogauge.http.sockets import RESET_ON_CLOSE

__all__ = ["UploadServer", "send_upload"]

HEAD_BYTES = 65_536
WAIT_SECONDS = 10.0
BODY = b"part of a body"


class UploadServer:
    """Answers one request on a connection of its own.

    Parameters
    ----------
    answer : bytes
        What it sends.
    reads_body : bool, optional
        Whether it reads the whole request first, and ends the connection in order.
        Else it resets the connection when told to.
    """

    def __init__(self, answer, reads_body=False):
        self._answer = answer
        self._reads_body = reads_body
        self._may_reset = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def reset(self):
        """Reset the connection."""
        self._may_reset.set()
        self._thread.join()

    def _serve(self):
        sock, _ = self._listener.accept()
        self._listener.close()
        with sock:
            data = sock.recv(HEAD_BYTES)
            if self._reads_body:
                self._read_rest(sock, data)
            sock.sendall(self._answer)
            if self._reads_body:
                return
            self._may_reset.wait(WAIT_SECONDS)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _read_rest(self, sock, data):
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        size = len(body)
        while size < length:
            size += len(sock.recv(HEAD_BYTES))


def send_upload(server, size, waits_for_failure):
    """Send a body of `size` bytes; return the answer's body, or the `HTTPError`.

    Parameters
    ----------
    server : UploadServer
    size : int
    waits_for_failure : bool
        Whether the server resets the connection after its head has been read, and the
        body is read once sending has failed.
    """
    return curio.run(_send_upload, server, size, waits_for_failure)


async def _send_upload(server, size, waits_for_failure):
    connection = await ClientConnection.open(server.address)
    try:
        await connection.send_request("POST", "/", Headers(), b"x" * size)
        await connection.read_head()
        if waits_for_failure:
            await curio.run_in_thread(server.reset)
            async with curio.timeout_after(WAIT_SECONDS):
                while connection.is_sending:
                    await curio.sleep(0.005)
        pieces = connection.iterate_body("body_bytes", None)
        return b"".join([piece async for piece in pieces])
    except HTTPError as error:
        return error
    finally:
        await connection.close()
