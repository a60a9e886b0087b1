"""A caller's connection: requests one after another, until either side ends it."""

import os
import time

import curio
import h11
from curio import socket

from ..telemetry import get_logger
from .errors import CallerLostError, HTTPRequestError
from .exchange import Exchange, make_response
from .heads import has_body, has_short_body, judge_head, render_unreadable
from .sockets import RESET_ON_CLOSE
from .unread import has_unread, has_unread_bytes, wait_for_unread, wake_reader

__all__ = ["ServerConnection"]

READ_SIZE_BYTES = 65_536
PIPELINE_LIMIT_BYTES = 65_536
LINGER_SECONDS = 0.5
FRESH_SECONDS = 1.0
LINGER_BYTES = 16_777_216
SKIPPED_BODY_BYTES = 65_536
SKIP_SECONDS = 0.5
# States of this side once an answer has been sent whole.
ANSWERED_STATES = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})

log = get_logger("http")


class ServerConnection:
    """The state of one caller's connection.

    Parameters
    ----------
    server : HTTPServer
    sock : curio.io.Socket
    peer : str

    Attributes
    ----------
    busy : bool
        Whether a request is being served.
    caller_left : bool
        Whether the caller ended the connection within a request.
    """

    def __init__(self, server, sock, peer):
        self._server = server
        self.sock = sock
        self.peer = peer
        self.busy = False
        self.caller_left = False
        self._make_parser()
        self._broken = False
        self._ended = False
        self._end_reason = "the handler was cancelled"
        self._served = False
        self._opened_at = time.monotonic()
        self._skippable = False
        self._ends_answer_by_close = False
        self._body_done = curio.Event()

    @property
    def limits(self):
        """The limits in force, which may change while the connection is open."""
        return self._server.limits

    @property
    def buffers(self):
        """What the bodies of requests on all connections hold in memory."""
        return self._server.buffers

    @property
    def must_close(self):
        """Whether the connection ends with the answer under way."""
        if self._server.closing:
            return True
        return self._h11.their_state is h11.SEND_BODY and not self._skippable

    async def run(self, handler):
        """Serve requests until either side ends the connection."""
        while True:
            request = await self._read_request()
            if request is None:
                return
            self.busy = self._served = True
            try:
                await self._serve_request(handler, request)
            finally:
                self.busy = False
            if self._broken or not self._prepare_next():
                return

    async def end_if_idle(self):
        """End the connection if no part of a request has come.

        A request that comes later is left unread, so that its caller may send it
        again.
        """
        if self.busy or self._h11.trailing_data[0] or has_unread(self.sock):
            return
        if not self._served and time.monotonic() < self._opened_at + FRESH_SECONDS:
            # Its first request is still on the way; nothing told its caller
            # not to send one.
            return
        self._ended = True
        wake_reader(self.sock)

    async def close(self, linger=True):
        """Close, first reading what the caller still sends.

        Closing with unread data would reset the connection, and the caller
        could lose an answer that it has not read yet.

        Parameters
        ----------
        linger : bool, optional
            Wait for the caller's data, where some is to be expected.

        Notes
        -----
        A reset shows that an answer broke off whose end would be that of the
        connection.
        """
        self._log_unread()
        try:
            if self._ends_answer_by_close and self._h11.our_state is h11.SEND_BODY:
                self.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                await self.sock.close()
                return
            await self.sock.shutdown(socket.SHUT_WR)
            if linger and self._expects_input:
                async with curio.ignore_after(LINGER_SECONDS):
                    await self._discard_input()
        except (OSError, ValueError):
            pass
        try:
            await self.sock.close()
        except OSError:
            pass

    @property
    def _expects_input(self):
        state = self._h11.their_state
        return state in (h11.SEND_BODY, h11.ERROR) or bool(self._h11.trailing_data[0])

    async def iterate_body(self):
        """Yield pieces of the current request's body."""
        while not self._body_done.is_set():
            event = await self._read_body_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                await self._body_done.set()
            else:
                raise HTTPRequestError(
                    400, "The connection ended within the body.", peer=self.peer
                )

    async def send_event(self, event):
        """Send one `h11` event, waiting while the caller's window is full."""
        if isinstance(event, h11.Response):
            self._ends_answer_by_close = self._is_ended_by_close(event)
        data = self._h11.send(event)
        try:
            sent = self._send_at_once(data)
            if sent == len(data):
                return
            async with curio.timeout_after(self.limits.write_timeout):
                await self.sock.sendall(data[sent:])
        except curio.TaskTimeout:
            raise CallerLostError("The caller does not read.") from None
        except OSError as error:
            raise CallerLostError(repr(error)) from error

    def _is_ended_by_close(self, response):
        """Return whether nothing but the connection's end ends an answer's body."""
        if self._h11.their_http_version not in (None, b"1.0"):
            return False
        return all(name != b"content-length" for name, _ in response.headers)

    def _send_at_once(self, data):
        """Send what fits into the socket's buffer; return how many bytes.

        Most pieces of a stream fit, and then need no timer of their own.
        """
        if not data or self._server.tls is not None:
            return 0
        try:
            return os.write(self.sock.fileno(), data)
        except BlockingIOError:
            return 0

    def _make_parser(self):
        self._header_bytes = self.limits.header_bytes
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._header_bytes
        )

    async def _await_head(self):
        """Return the event that follows; its time-out may change meanwhile.

        Notes
        -----
        Callers use the connection again by the idle time that is in force then.
        """
        began = time.monotonic()
        while True:
            left = began + self.limits.header_timeout - time.monotonic()
            try:
                async with curio.timeout_after(max(0.0, left)):
                    return await self._next_event()
            except curio.TaskTimeout:
                if time.monotonic() >= began + self.limits.header_timeout:
                    raise

    async def _read_request(self):
        try:
            event = await self._await_head()
        except h11.RemoteProtocolError as error:
            await self._refuse_unreadable(error.error_status_hint or 400)
            return None
        except curio.TaskTimeout:
            self._ended = True
            if self._h11.trailing_data[0]:
                await self._refuse_unreadable(408)
            return None
        if not isinstance(event, h11.Request):
            return None
        status = judge_head(event, self.limits)
        if status:
            await self._refuse_unreadable(status)
            return None
        self._skippable = has_short_body(event, SKIPPED_BODY_BYTES)
        self._body_done.clear()
        if not has_body(event):
            self._h11.next_event()
            await self._body_done.set()
        return event

    async def _serve_request(self, handler, request):
        exchange = Exchange(self, request)
        try:
            async with curio.TaskGroup(wait=any) as group:
                handling = await group.spawn(self._call_handler, handler, exchange)
                await group.spawn(self._watch_caller)
        finally:
            exchange.close()
            self._log_incomplete(exchange)
        if not handling.terminated or handling.exception is not None:
            self._broken = True
        if not self._broken:
            await self._skip_body()

    async def _call_handler(self, handler, exchange):
        try:
            await handler(exchange)
        except ConnectionAbortedError as error:
            # The caller is gone, or the answer is cut off on purpose.
            self._broken = True
            self._end_reason = repr(error)
        except HTTPRequestError as error:
            self._broken = True
            await self._refuse_unreadable(error.status, error.message)
        except (Exception, curio.TaskTimeout) as error:
            # A mistake in a handler costs this request, never the daemon.
            self._broken = True
            self._end_reason = repr(error)
            log.exception("handler failed", extra={"peer": self.peer, "step": "handle"})
            await self._refuse_unreadable(500, "The host failed.", "unknown")

    async def _watch_caller(self):
        """Return when the caller hangs up; the handler is then cancelled."""
        await self._body_done.wait()
        while len(self._h11.trailing_data[0]) < PIPELINE_LIMIT_BYTES:
            data = await self._receive()
            if not data:
                self._broken = self.caller_left = True
                return
            self._h11.receive_data(data)
        await curio.Event().wait()

    def _log_incomplete(self, exchange):
        """Log a request whose answer is not whole, unless its caller left."""
        if self.caller_left or self._h11.our_state in ANSWERED_STATES:
            return
        log.info(
            "request ended without a whole answer",
            extra={
                "peer": self.peer,
                "reason": self._end_reason,
                "answer_begun": exchange.response_started,
                "request_read": self._body_done.is_set(),
                "closing": self._server.closing,
            },
        )

    def _log_unread(self):
        """Log bytes that arrived too late to be read, such as those of a request."""
        if self._ended and has_unread_bytes(self.sock):
            log.info(
                "connection ended with bytes unread",
                extra={
                    "peer": self.peer,
                    "served": self._served,
                    "closing": self._server.closing,
                },
            )

    async def _skip_body(self):
        """Read the short rest of a body that the handler did not want."""
        if self._h11.their_state is not h11.SEND_BODY:
            return
        skipped = 0
        try:
            async with curio.ignore_after(SKIP_SECONDS):
                async for piece in self.iterate_body():
                    skipped += len(piece)
                    if skipped > SKIPPED_BODY_BYTES:
                        return
        except HTTPRequestError:
            self._broken = True

    async def _discard_input(self):
        discarded = 0
        while discarded < LINGER_BYTES:
            data = await self.sock.recv(READ_SIZE_BYTES)
            if not data:
                return
            discarded += len(data)

    async def _receive(self):
        try:
            if not self.busy and not self._ended:
                # Bytes that come after the end stay unread: a request read here would
                # not be answered.
                await wait_for_unread(self.sock, self._server.tls is not None)
            if self._ended:
                return b""
            return await self.sock.recv(READ_SIZE_BYTES)
        except OSError:
            return b""

    def _prepare_next(self):
        # An answer that said "close" isn't DONE; after any other its caller may send.
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def _read_body_event(self):
        try:
            async with curio.timeout_after(self.limits.body_timeout):
                return await self._next_event()
        except curio.TaskTimeout:
            raise HTTPRequestError(
                408, "The body came too slowly.", peer=self.peer
            ) from None
        except h11.RemoteProtocolError as error:
            raise HTTPRequestError(
                400, "The body is not framed as HTTP/1.1 asks.", peer=self.peer
            ) from error

    async def _next_event(self):
        while True:
            if self._h11.they_are_waiting_for_100_continue:
                await self.send_event(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive()
                self._update_parser()
                self._h11.receive_data(data)
                continue
            return event

    def _update_parser(self):
        """Put the limit on a head in force, if no part of one has come."""
        if self._header_bytes == self.limits.header_bytes:
            return
        if self._h11.their_state is h11.IDLE and not self._h11.trailing_data[0]:
            self._make_parser()

    async def _refuse_unreadable(self, status, message="", executed="no"):
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers, body = render_unreadable(status, message, executed)
        try:
            await self.send_event(make_response(status, headers))
            await self.send_event(h11.Data(data=body))
            await self.send_event(h11.EndOfMessage())
        except (OSError, h11.ProtocolError):
            return
