"""The port for hosts: one task for each peer's connection, one for each call."""

import hmac

import curio
import h2.errors
import h2.events
import h2.exceptions
from attrs import field, frozen
from curio import socket

from ..http import open_listener
from .errors import CallError, CallStatus, ChannelError
from .framing import Link, StreamState, encode_message

__all__ = ["CallContext", "Method", "ProtocolServer"]


@frozen
class Method:
    """A method that peers may call.

    Parameters
    ----------
    name : str
        Full name, such as ``"/mangogauge.Membership/Exchange"``.
    request_type : type
        Protobuf class of the request.
    handler : async callable
        Called with the request and a `CallContext`.
    """

    name = field()
    request_type = field()
    handler = field()


class CallContext:
    """How a handler answers a call.

    Attributes
    ----------
    peer : str
        Address of the caller.
    """

    def __init__(self, link, stream):
        self.peer = link.peer
        self._link = link
        self._stream = stream

    async def send(self, message):
        """Send one answer; waits while the peer's window is full."""
        if not self._stream.headers.get("answered"):
            self._stream.headers["answered"] = True
            self._link.h2.send_headers(
                self._stream.stream_id,
                [(":status", "200"), ("content-type", "application/grpc+proto")],
            )
        await self._link.send_data(self._stream, encode_message(message))


class ProtocolServer:
    """Serve calls of other hosts.

    Parameters
    ----------
    methods : iterable of Method
        What may be called.
    secret : str
        The operators' secret; callers without it are refused.
    tls : TLSContext, optional
        For mutual TLS; plain TCP if absent.
    """

    def __init__(self, methods, secret, tls=None):
        self._methods = {method.name: method for method in methods}
        self._secret = secret
        self._tls = tls
        self._listener = None
        self.traffic_bytes = 0

    @property
    def port(self):
        """The port that is listened on."""
        return self._listener.getsockname()[1]

    def bind(self, address, port):
        """Bind the listening socket, so that the port is known."""
        self._listener = open_listener(address, port)

    async def serve(self):
        """Accept peers until cancelled."""
        async with self._listener:
            async with curio.TaskGroup(wait=None) as group:
                while True:
                    sock, address = await self._listener.accept()
                    await group.spawn(self._serve_peer, sock, address, daemon=True)

    async def _serve_peer(self, sock, address):
        peer = f"{address[0]}:{address[1]}"
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                sock = await self._tls.wrap(sock)
        except OSError:
            await sock.close()
            return
        link = Link(sock, peer, client_side=False)
        calls = {}
        try:
            await link.start()
            async with curio.TaskGroup(wait=None) as group:
                await self._read_link(link, group, calls)
        except (OSError, h2.exceptions.ProtocolError, ChannelError):
            pass
        finally:
            self.traffic_bytes += link.sent_bytes + link.received_bytes
            await link.close()

    async def _read_link(self, link, group, calls):
        while not link.closed:
            events = await link.read_events()
            if not events:
                return
            for event in events:
                await self._take_event(link, group, calls, event)
            await link.flush()

    async def _take_event(self, link, group, calls, event):
        if isinstance(event, h2.events.RequestReceived):
            stream = StreamState(event.stream_id, headers=dict(event.headers))
            link.streams[event.stream_id] = stream
            return
        stream = await link.take_event(event)
        if stream is None:
            return
        if isinstance(event, h2.events.StreamEnded):
            call = await group.spawn(self._serve_call, link, stream, calls, daemon=True)
            if not call.terminated:
                calls[stream.stream_id] = call
        elif isinstance(event, h2.events.StreamReset):
            stream.reset = True
            await stream.window.set()
            link.streams.pop(stream.stream_id, None)
            call = calls.pop(stream.stream_id, None)
            if call is not None:
                await call.cancel(blocking=False)

    async def _serve_call(self, link, stream, calls):
        try:
            status, message = await self._run_handler(link, stream)
            await self._end_call(link, stream, status, message)
        except (OSError, h2.exceptions.ProtocolError, ChannelError):
            pass
        finally:
            calls.pop(stream.stream_id, None)
            link.streams.pop(stream.stream_id, None)

    async def _run_handler(self, link, stream):
        headers = stream.headers
        expected = f"Bearer {self._secret}"
        given = headers.get("authorization", "")
        if not hmac.compare_digest(given.encode(), expected.encode()):
            return CallStatus.UNAUTHENTICATED, "The operators' secret is needed."
        method = self._methods.get(headers.get(":path"))
        if method is None:
            return CallStatus.UNIMPLEMENTED, "There is no such method."
        if stream.payloads.empty():
            return CallStatus.INVALID_ARGUMENT, "There is no request."
        request = method.request_type.FromString(await stream.payloads.get())
        try:
            await method.handler(request, CallContext(link, stream))
        except CallError as error:
            return error.status, error.message
        return CallStatus.OK, ""

    async def _end_call(self, link, stream, status, message):
        trailers = [("grpc-status", str(int(status)))]
        if message:
            trailers.append(("grpc-message", message))
        if not stream.headers.get("answered"):
            trailers[:0] = [
                (":status", "200"),
                ("content-type", "application/grpc+proto"),
            ]
        link.h2.send_headers(stream.stream_id, trailers, end_stream=True)
        await link.flush()
