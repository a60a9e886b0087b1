"""gRPC framing of messages, and a link that drives `h2` over a curio socket."""

import struct

import curio
import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
from attrs import define, field
from curio import socket

from .errors import ChannelError

__all__ = ["Link", "MessageReader", "StreamState", "encode_message"]

READ_SIZE_BYTES = 65_536
PREFIX = struct.Struct("!BI")
STREAM_WINDOW_BYTES = 1_048_576
CONNECTION_WINDOW_BYTES = 16_777_216
MESSAGE_LIMIT_BYTES = 16_777_216
CONCURRENT_STREAMS = 10_000


def encode_message(message):
    """Return `message` with the five bytes of gRPC's prefix before it."""
    payload = message.SerializeToString()
    return PREFIX.pack(0, len(payload)) + payload


class MessageReader:
    """Cut a stream of bytes into messages.

    Examples
    --------
    >>> reader = MessageReader()
    >>> reader.feed(PREFIX.pack(0, 2) + b"ab" + b"x")
    [b'ab']
    """

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Add `data` and return the payloads that are now whole."""
        self._buffer += data
        payloads = []
        while len(self._buffer) >= PREFIX.size:
            _, size = PREFIX.unpack_from(self._buffer)
            if size > MESSAGE_LIMIT_BYTES:
                raise ChannelError("A message is over the limit.", step="decode")
            end = PREFIX.size + size
            if len(self._buffer) < end:
                break
            payloads.append(bytes(self._buffer[PREFIX.size : end]))
            del self._buffer[:end]
        return payloads


@define(eq=False)
class StreamState:
    """What a link knows of one HTTP/2 stream."""

    stream_id = field()
    headers = field(factory=dict)
    trailers = field(factory=dict)
    reader = field(factory=MessageReader)
    payloads = field(factory=curio.Queue)
    window = field(factory=curio.Event)
    reset = field(default=False)
    ended = field(default=False)


class Link:
    """One HTTP/2 connection: reads events, and sends within the window.

    Parameters
    ----------
    sock : curio.io.Socket
        The connected socket.
    peer : str
        Address of the other side.
    client_side : bool
        Whether this side opens streams.
    """

    def __init__(self, sock, peer, client_side):
        config = h2.config.H2Configuration(
            client_side=client_side,
            header_encoding="utf-8",
            validate_inbound_headers=False,
            normalize_outbound_headers=False,
            validate_outbound_headers=False,
        )
        self.peer = peer
        self.h2 = h2.connection.H2Connection(config)
        self.streams = {}
        self.closed = False
        self.received_bytes = 0
        self.sent_bytes = 0
        self._sock = sock
        self._write_lock = curio.Lock()
        self._reading = False

    async def start(self):
        """Exchange settings."""
        self.h2.local_settings = h2.settings.Settings(
            client=self.h2.config.client_side,
            initial_values={
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW_BYTES,
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: CONCURRENT_STREAMS,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_BYTES)
        await self.flush()

    async def flush(self):
        """Send what `h2` has queued."""
        async with self._write_lock:
            data = self.h2.data_to_send()
            if not data:
                return
            self.sent_bytes += len(data)
            await self._sock.sendall(data)

    async def read_events(self):
        """Return the next batch of events; empty when the peer has closed."""
        data = await self._receive()
        if not data:
            return []
        self.received_bytes += len(data)
        return self.h2.receive_data(data) or [None]

    async def take_event(self, event):
        """Note a window, data, or ending event; return its stream, if any."""
        stream = self.streams.get(getattr(event, "stream_id", None))
        if isinstance(event, h2.events.WindowUpdated):
            await self._open_windows(event.stream_id)
        elif isinstance(event, h2.events.RemoteSettingsChanged):
            await self._open_windows(0)
        elif isinstance(event, h2.events.DataReceived):
            await self._take_data(event, stream)
        elif isinstance(event, h2.events.ConnectionTerminated):
            self.closed = True
        return stream

    async def send_data(self, stream, data, end_stream=False):
        """Send `data` on `stream`, waiting for room in the peer's window."""
        view = memoryview(data)
        while view:
            room = await self._wait_for_window(stream)
            piece = bytes(view[:room])
            view = view[room:]
            self.h2.send_data(
                stream.stream_id, piece, end_stream=end_stream and not view
            )
            await self.flush()

    async def close(self):
        """Close the socket and wake whoever waits on a stream."""
        self.closed = True
        for stream in list(self.streams.values()):
            stream.reset = True
            await stream.window.set()
            await stream.payloads.put(None)
        # A socket that is closed while another task waits on it breaks
        # curio's kernel, so that task is woken first, and a reader closes.
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        async with self._write_lock:
            if not self._reading:
                await self._close_socket()

    async def _receive(self):
        self._reading = True
        try:
            return await self._sock.recv(READ_SIZE_BYTES)
        finally:
            self._reading = False
            if self.closed:
                await self._close_socket()

    async def _close_socket(self):
        try:
            await self._sock.close()
        except OSError:
            pass

    async def _wait_for_window(self, stream):
        while True:
            if stream.reset or self.closed:
                raise ChannelError("The stream was reset.", step="send", peer=self.peer)
            window = self.h2.local_flow_control_window(stream.stream_id)
            room = min(window, self.h2.max_outbound_frame_size)
            if room > 0:
                return room
            stream.window.clear()
            await stream.window.wait()

    async def _open_windows(self, stream_id):
        if stream_id:
            stream = self.streams.get(stream_id)
            if stream is not None:
                await stream.window.set()
            return
        for stream in list(self.streams.values()):
            await stream.window.set()

    async def _take_data(self, event, stream):
        size = event.flow_controlled_length
        if stream is None:
            # The stream is gone; only the connection's window is given back.
            if size:
                self.h2.increment_flow_control_window(size)
            return
        for payload in stream.reader.feed(event.data):
            await stream.payloads.put(payload)
        if size:
            self.h2.acknowledge_received_data(size, stream.stream_id)
