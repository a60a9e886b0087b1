"""Where an answer goes: to a caller, or into memory for a batch item."""

from abc import ABC, abstractmethod

from ..http import BufferBudget, Headers, HTTPLimitError

__all__ = ["ExchangeSink", "MemorySink", "Sink"]

# Largest answer that is kept, in bytes.
MAX_KEPT_BYTES = 8_388_608


class Sink(ABC):
    """Receives one answer.

    Attributes
    ----------
    started : bool
        Whether anything has been passed on, so that no other attempt's
        answer may follow.
    """

    started = False

    @abstractmethod
    async def start(self, status, headers):
        """Take the head of the answer."""

    @abstractmethod
    async def write(self, data):
        """Take a piece of the body."""

    @abstractmethod
    async def finish(self):
        """The answer is whole."""


class ExchangeSink(Sink):
    """Passes the answer to a caller as it arrives.

    Parameters
    ----------
    exchange : Exchange
    request_id : str
    on_first : callable, optional
        Called when the first piece of the body is there.

    Attributes
    ----------
    status : int
        Status of the answer; 0 until it starts.
    """

    def __init__(self, exchange, request_id, on_first=None):
        self.status = 0
        self._exchange = exchange
        self._request_id = request_id
        self._on_first = on_first

    async def start(self, status, headers):
        """Pass on the head."""
        self.started = True
        self.status = status
        headers = headers.without_hop_by_hop()
        headers.set("X-Request-Id", self._request_id)
        await self._exchange.start_response(status, headers)

    async def write(self, data):
        """Pass on a piece; waits while the caller's window is full."""
        on_first, self._on_first = self._on_first, None
        if on_first is not None:
            on_first()
        if self._exchange.method != "HEAD":
            await self._exchange.send_data(data)

    async def finish(self):
        """End the answer."""
        await self._exchange.finish()


class MemorySink(Sink):
    """Keeps the answer.

    Attributes
    ----------
    status : int
    headers : Headers
    body : bytes
    whole : bool
        Whether the answer has ended.

    Parameters
    ----------
    buffers : BufferBudget, optional
        For what this sink and others keep together.
    """

    def __init__(self, buffers=None):
        self.status = 0
        self.headers = Headers()
        self.body = b""
        self.whole = False
        self._pieces = []
        self._size = 0
        self._buffer = (buffers or BufferBudget(MAX_KEPT_BYTES)).open()

    async def start(self, status, headers):
        """Keep the head."""
        self.started = True
        self.status = status
        self.headers = headers

    async def write(self, data):
        """Keep a piece.

        Raises
        ------
        HTTPLimitError
            If the answer is larger than `MAX_KEPT_BYTES`, or all that are kept hold
            too much.
        """
        self._size += len(data)
        if self._size > MAX_KEPT_BYTES:
            raise HTTPLimitError("kept_bytes", MAX_KEPT_BYTES)
        self._buffer.resize(self._size)
        self._pieces.append(data)

    def close(self):
        """Keep nothing any more."""
        self._pieces.clear()
        self.body = b""
        self._buffer.close()

    async def finish(self):
        """Put the pieces together."""
        self.body = b"".join(self._pieces)
        self.whole = True
