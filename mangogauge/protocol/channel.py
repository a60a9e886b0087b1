"""Calls to a peer: one connection for each peer, many calls on it."""

import curio
import h2.errors
import h2.events
import h2.exceptions
from curio import socket

from .errors import CallError, CallStatus, ChannelError
from .framing import Link, StreamState, encode_message

__all__ = ["Channel", "ChannelPool"]

CONNECT_TIMEOUT = 2.0
DEFAULT_CALL_TIMEOUT = 5.0


class Channel:
    """A connection to one peer, opened when first needed.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer's port for hosts.
    secret : str
        The operators' secret, which peers ask for.
    tls : TLSContext, optional
        For mutual TLS; plain TCP if absent.
    """

    def __init__(self, address, secret, tls=None):
        self.address = address
        self._secret = secret
        self._tls = tls
        self._link = None
        self._reader = None
        self._opening = curio.Lock()
        self._closed_bytes = 0

    @property
    def traffic_bytes(self):
        """Bytes sent and received on this channel so far."""
        link = self._link
        now = link.sent_bytes + link.received_bytes if link else 0
        return self._closed_bytes + now

    async def call(self, method, request, response_type, timeout=DEFAULT_CALL_TIMEOUT):
        """Make a call with a single answer.

        Parameters
        ----------
        method : str
            Full name, such as ``"/mangogauge.Membership/Exchange"``.
        request : protobuf message
            What to send.
        response_type : type
            Class of the answer.
        timeout : float, optional
            Seconds until the call is given up.

        Raises
        ------
        ChannelError
            If the peer can't be reached or doesn't answer in time.
        CallError
            If the peer answers with a status other than OK.
        """
        answers = []
        try:
            # Read to the end: a generator that is left early is not finalized.
            async with curio.timeout_after(timeout):
                async for message in self.stream(method, request, response_type):
                    answers.append(message)
        except curio.TaskTimeout:
            raise ChannelError(
                f"No answer within {timeout} s.", step=method, peer=self.address
            ) from None
        if answers:
            return answers[0]
        raise CallError(
            CallStatus.UNKNOWN, "No answer.", step=method, peer=self.address
        )

    async def stream(self, method, request, response_type):
        """Make a call and yield its answers as they arrive.

        Leaving the iteration early cancels the call at the peer.
        """
        link = await self._open_link()
        stream = await self._send_request(link, method, request)
        try:
            while True:
                payload = await stream.payloads.get()
                if payload is None:
                    break
                yield response_type.FromString(payload)
            self._check_ending(stream, method)
        finally:
            await self._forget_stream(link, stream)

    async def close(self):
        """Close the connection."""
        reader, self._reader = self._reader, None
        if reader is not None:
            await reader.cancel()
        await self._drop_link(self._link)

    async def _open_link(self):
        async with self._opening:
            if self._link is not None and not self._link.closed:
                return self._link
            host, _, port = self.address.rpartition(":")
            try:
                async with curio.timeout_after(CONNECT_TIMEOUT):
                    sock = await curio.open_connection(
                        host, int(port), **self._make_tls_options(host)
                    )
            except (OSError, curio.TaskTimeout) as error:
                raise ChannelError(
                    f"No connection: {error!r}.",
                    step="connect",
                    peer=self.address,
                    sent=False,
                ) from error
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(sock, self.address, client_side=True)
            await link.start()
            self._link = link
            self._reader = await curio.spawn(self._read_link, link, daemon=True)
            return link

    def _make_tls_options(self, host):
        if self._tls is None:
            return {}
        return {"ssl": self._tls.get(), "server_hostname": host}

    async def _send_request(self, link, method, request):
        try:
            stream = StreamState(link.h2.get_next_available_stream_id())
            link.streams[stream.stream_id] = stream
            link.h2.send_headers(stream.stream_id, self._make_headers(method))
            await link.send_data(stream, encode_message(request), end_stream=True)
        except (OSError, h2.exceptions.ProtocolError) as error:
            await self._drop_link(link)
            raise ChannelError(
                f"Sending failed: {error!r}.", step=method, peer=self.address
            ) from error
        return stream

    def _make_headers(self, method):
        return [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", method),
            (":authority", self.address),
            ("te", "trailers"),
            ("content-type", "application/grpc+proto"),
            ("authorization", f"Bearer {self._secret}"),
        ]

    async def _read_link(self, link):
        try:
            while not link.closed:
                events = await link.read_events()
                if not events:
                    break
                for event in events:
                    await self._take_event(link, event)
                await link.flush()
        except (OSError, h2.exceptions.ProtocolError, ChannelError):
            pass
        finally:
            await self._drop_link(link)

    async def _take_event(self, link, event):
        stream = await link.take_event(event)
        if stream is None:
            return
        if isinstance(event, h2.events.ResponseReceived):
            stream.headers = dict(event.headers)
        elif isinstance(event, h2.events.TrailersReceived):
            stream.trailers = dict(event.headers)
        elif isinstance(event, h2.events.StreamReset):
            stream.reset = True
            await stream.window.set()
            await stream.payloads.put(None)
        elif isinstance(event, h2.events.StreamEnded):
            stream.ended = True
            await stream.payloads.put(None)

    def _check_ending(self, stream, method):
        if not stream.ended:
            raise ChannelError(
                "The connection ended within the call.",
                step=method,
                peer=self.address,
            )
        trailers = stream.trailers or stream.headers
        status = CallStatus(int(trailers.get("grpc-status", CallStatus.UNKNOWN)))
        if status is not CallStatus.OK:
            message = trailers.get("grpc-message", status.name)
            raise CallError(status, message, step=method, peer=self.address)

    async def _forget_stream(self, link, stream):
        link.streams.pop(stream.stream_id, None)
        if stream.ended or stream.reset or link.closed:
            return
        try:
            link.h2.reset_stream(stream.stream_id, h2.errors.ErrorCodes.CANCEL)
            await link.flush()
        except (OSError, h2.exceptions.ProtocolError):
            pass

    async def _drop_link(self, link):
        if link is None:
            return
        if self._link is link:
            self._link = None
            self._closed_bytes += link.sent_bytes + link.received_bytes
        await link.close()


class ChannelPool:
    """Channels by address.

    Parameters
    ----------
    secret : str
        The operators' secret.
    tls : TLSContext, optional
        For mutual TLS.
    """

    def __init__(self, secret, tls=None):
        self._secret = secret
        self._tls = tls
        self._channels = {}

    def get(self, address):
        """Return the channel to `address`."""
        channel = self._channels.get(address)
        if channel is None:
            channel = Channel(address, self._secret, self._tls)
            self._channels[address] = channel
        return channel

    async def forget(self, address):
        """Close the channel to a peer that is gone."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self):
        """Close all channels."""
        for address in list(self._channels):
            await self.forget(address)

    @property
    def traffic_bytes(self):
        """Bytes sent and received on all channels so far."""
        return sum(channel.traffic_bytes for channel in self._channels.values())
