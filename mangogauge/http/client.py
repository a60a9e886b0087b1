"""HTTP/1.1 client: one connection."""

import select
import time
from collections import deque

import curio
import h11
from curio import socket

from ..ticks import sleep_to_tick
from .errors import (
    HTTPEncodeError,
    HTTPLimitError,
    HTTPReceiveError,
    HTTPSendError,
)
from .headers import Headers
from .limits import ClientLimits
from .lingering import read_to_end
from .liveness import read_idle_seconds
from .requests import make_request
from .sockets import DEFAULT_CONNECT_TIMEOUT, RESET_ON_CLOSE, open_socket

__all__ = ["ClientConnection"]

READ_SIZE_BYTES = 65_536
# A body beyond this may fill the server's window, so that it is sent while the
# answer is awaited: a server may answer before it has read it.
EAGER_BODY_BYTES = 32_768
# Ids that one connection remembers; a copy of an older answer came long before.
REQUEST_IDS_PER_CONNECTION = 256
# h11 checks only that a status has three digits and isn't below 100.
MAX_STATUS = 599
# States of the server while it owes an answer, or the rest of one.
UNANSWERED_STATES = frozenset({h11.SEND_RESPONSE, h11.SEND_BODY})


class ClientConnection:
    """One connection to a server.

    Parameters
    ----------
    address : str
        Names the server, in logs and as the key of idle connections.
    sock : curio.io.Socket or TunnelSocket
    limits : ClientLimits, optional
    is_plain : bool, optional
        Whether `sock` is a TCP connection without TLS.

    Attributes
    ----------
    gather_seconds : float
        How long data is left to gather before it is read.
    on_left : async callable or None
        Called with the connection when it is closed within an answer, in place of
        closing it; has to await `await_end`.
    """

    def __init__(self, address, sock, limits=None, is_plain=False):
        self.address = address
        self.limits = limits or ClientLimits()
        self._sock = sock
        self._opened_at = time.monotonic()
        self._h11 = self._make_parser()
        self._sending = None
        self._idle_since = time.monotonic()
        self._idle_until = self._idle_since + read_idle_seconds(Headers())
        self.gather_seconds = 0.0
        self._request_ids = deque(maxlen=REQUEST_IDS_PER_CONNECTION)
        self._is_first_answer = True
        self._is_plain = is_plain
        self._has_ended_sending = False
        self._has_failed_sending = False
        self.on_left = None

    @classmethod
    async def open(
        cls, address, timeout=DEFAULT_CONNECT_TIMEOUT, tls=None, limits=None
    ):
        """Connect, or raise `HTTPConnectError`."""
        sock = await open_socket(address, timeout, tls)
        return cls(address, sock, limits, is_plain=tls is None)

    @property
    def open_seconds(self):
        """Seconds since it was made."""
        return time.monotonic() - self._opened_at

    @property
    def idle_seconds(self):
        """Seconds since it carried an answer."""
        return time.monotonic() - self._idle_since

    @property
    def is_sending(self):
        """Whether a part of the request is still to be sent."""
        return self._sending is not None and not self._sending.terminated

    @property
    def is_stale(self):
        """Whether the server has closed, is about to, or spoke out of turn."""
        return time.monotonic() > self._idle_until or self.has_input()

    def has_input(self):
        """Return whether the server has sent something unread, or has closed."""
        return self._poll(select.POLLIN)

    def has_ended(self):
        """Return whether the server has closed, also if data is still unread."""
        return self._poll(select.POLLRDHUP)

    def _poll(self, events):
        descriptor = self._sock.fileno()
        if descriptor < 0:
            return True
        poller = select.poll()
        poller.register(descriptor, events)
        return bool(poller.poll(0))

    async def wait_for_input(self):
        """Wait until the server sends something, which is dropped, or has closed."""
        try:
            await self._sock.recv(READ_SIZE_BYTES)
        except OSError:
            return

    def note_request_id(self, request_id):
        """Remember the id of a request that is about to be sent; may be empty."""
        if request_id:
            self._request_ids.append(request_id)

    def has_carried(self, request_id):
        """Return whether a request of this id was sent on the connection."""
        return request_id in self._request_ids

    async def end_sending(self):
        """Tell the server that this side has left, and go on reading.

        If the connection is then closed before the server has ended it, it is reset,
        so that the server notices at its next write.

        Returns
        -------
        bool
            False if nothing but closing the connection tells the server.
        """
        is_closed = self._sock.fileno() < 0
        if is_closed or not self._is_plain or self.is_sending:
            return False
        try:
            await self._sock.shutdown(socket.SHUT_WR)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            return False
        self._has_ended_sending = True
        return True

    async def close(self):
        """Close the connection."""
        if self._sending is not None:
            await self._sending.cancel()
            self._sending = None
        on_left, self.on_left = self.on_left, None
        is_answered = self._h11.their_state not in UNANSWERED_STATES
        if on_left is None or is_answered or not await self.end_sending():
            await self._close_socket()
            return
        await on_left(self)

    async def await_end(self):
        """Wait until the server has ended the connection; close it after a time."""
        try:
            await read_to_end(self._sock)
        finally:
            await self._close_socket()

    async def _close_socket(self):
        try:
            await self._sock.close()
        except OSError:
            pass

    def prepare_next(self, headers):
        """Return whether another request may be sent, and get ready for it.

        Parameters
        ----------
        headers : Headers
            Of the answer just read; they may say how long the server waits.
        """
        if self.is_sending or self._has_ended_sending or self._has_failed_sending:
            return False
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        if self._h11.trailing_data[0]:
            # More came than the answer: what follows can't be trusted.
            return False
        self._sending = None
        self.on_left = None
        self.gather_seconds = 0.0
        self._idle_since = time.monotonic()
        self._idle_until = self._idle_since + read_idle_seconds(headers)
        self._h11.start_next_cycle()
        return True

    async def send_request(self, method, target, headers, body=b""):
        """Send a whole request.

        Raises
        ------
        HTTPEncodeError
            If the request is none that HTTP can carry; nothing was sent.
        HTTPSendError
            If the connection breaks first.
        """
        headers = headers.copy()
        if "host" not in headers:
            headers.set("Host", self.address)
        if body or method in ("POST", "PUT", "PATCH"):
            headers.set("Content-Length", str(len(body)))
        data = self._frame_request(method, target, headers, body)
        if len(body) > EAGER_BODY_BYTES:
            self._sending = await curio.spawn(self._send, data, daemon=True)
            return
        try:
            await self._sock.sendall(data)
        except OSError as error:
            raise HTTPSendError(
                f"Sending failed: {error!r}.", step="send", peer=self.address
            ) from error

    def _frame_request(self, method, target, headers, body):
        request = make_request(method, target, headers, self.address)
        try:
            data = self._h11.send(request)
            if body:
                data += self._h11.send(h11.Data(data=body))
            return data + self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise HTTPEncodeError(
                f"The request can't be written as HTTP: {error}.",
                step="send",
                peer=self.address,
            ) from error

    async def _send(self, data):
        try:
            await self._sock.sendall(data)
        except OSError:
            # The socket reports a reset only once; a later read finds an orderly end.
            self._has_failed_sending = True

    async def skip_response(self):
        """Read past an answer that belongs to no request of this connection."""
        skipped_bytes = self.limits.skipped_bytes
        async for _ in self.iterate_body("skipped_bytes", skipped_bytes):
            pass
        rest, ended = self._h11.trailing_data
        self._h11 = self._make_parser()
        # The request under way was sent before; only the parser is told again.
        self._h11.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(rest)
        if ended:
            self._h11.receive_data(b"")

    async def read_head(self):
        """Return the answer's status and header fields."""
        for _ in range(self.limits.interim_answers + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._check_status(event.status_code)
                return event.status_code, Headers.from_raw(event.headers.raw_items())
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken("before the answer's head")
        raise self._over_limit("interim_answers", self.limits.interim_answers)

    async def read_answer_head(self, is_answer):
        """Return the status and the header fields of the answer that is one.

        Parameters
        ----------
        is_answer : callable
            Takes header fields, and whether the connection has carried no answer
            before; returns whether they belong to the request's answer. Answers that
            don't are read and dropped.
        """
        for _ in range(self.limits.skipped_answers + 1):
            status, fields = await self.read_head()
            is_first, self._is_first_answer = self._is_first_answer, False
            if is_answer(fields, is_first):
                return status, fields
            await self.skip_response()
        raise self._over_limit("skipped_answers", self.limits.skipped_answers)

    async def iterate_body(self, limit, value):
        """Yield pieces of the answer's body.

        Parameters
        ----------
        limit : str
            Name of the limit on its size.
        value : int or None
            Most bytes that it may have; None for any.
        """
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise self._broken("within the answer's body")
            size += len(event.data)
            if value is not None and size > value:
                raise self._over_limit(limit, value)
            yield bytes(event.data)

    def _make_parser(self):
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self.limits.head_bytes
        )

    def _over_limit(self, limit, value):
        return HTTPLimitError(limit, value, peer=self.address)

    async def _next_event(self):
        try:
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if self.gather_seconds:
                    await sleep_to_tick(self.gather_seconds)
                data = await self._sock.recv(READ_SIZE_BYTES)
                if not data:
                    self._check_end()
                self._h11.receive_data(data)
        except (OSError, h11.RemoteProtocolError) as error:
            raise HTTPReceiveError(
                f"Receiving failed: {error!r}.", step="receive", peer=self.address
            ) from error

    def _check_status(self, status):
        if status > MAX_STATUS:
            raise HTTPReceiveError(
                f"Status {status} is not defined.", step="receive", peer=self.address
            )

    def _check_end(self):
        """Raise `HTTPReceiveError` if the connection's end may be a reset.

        Notes
        -----
        A body without a length may then have been cut short.
        """
        if self._has_ended_sending:
            raise self._broken("after its server was told to end it")
        if self._has_failed_sending:
            raise self._broken("while the request was being sent")

    def _broken(self, where):
        return HTTPReceiveError(
            f"The connection ended {where}.", step="receive", peer=self.address
        )
