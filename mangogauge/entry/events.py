"""Parse a stream of server-sent events.

References
----------
.. [1] WHATWG, "HTML Living Standard", section 9.2, "Server-sent events".
"""

import curio
from attrs import field, frozen

from ..http import HTTPReceiveError

__all__ = ["EventParser", "EventStream", "StreamEvent"]

# An incomplete event is kept in blocks of at least this size.
BLOCK_BYTES = 16_384
EVENT_LIMIT_BYTES = 1_048_576
# How often a silent stream is asked for again whether it may be given up.
SILENCE_CHECK_SECONDS = 0.2
EVENT_BOUNDARY = b"\n\n"
ID_FIELD = b"id:"
DATA_FIELD = b"data:"


@frozen
class StreamEvent:
    """One complete server-sent event.

    Parameters
    ----------
    raw : bytes
        Bytes as received, including the terminating empty line.
    """

    raw = field()

    @property
    def number(self):
        """The integer of the ``id`` field; None if there is none."""
        for line in self.raw.split(b"\n"):
            if line.startswith(ID_FIELD):
                text = line[len(ID_FIELD) :].strip()
                return int(text) if text.isdigit() else None
        return None

    @property
    def data(self):
        """The values of the ``data`` fields, joined by line feeds."""
        lines = [
            line[len(DATA_FIELD) :].removeprefix(b" ")
            for line in self.raw.split(b"\n")
            if line.startswith(DATA_FIELD)
        ]
        return b"\n".join(lines)


class EventParser:
    """Incremental parser that turns received bytes into complete events.

    Attributes
    ----------
    pending_bytes : int
        Size of the incomplete event.

    Examples
    --------
    >>> parser = EventParser()
    >>> [event.number for event in parser.feed(b"id: 4\\ndata: x\\n\\nid: 5")]
    [4]
    >>> parser.is_empty
    False
    """

    def __init__(self):
        self._pending = []
        # Its last bytes, with which a boundary may begin.
        self._end = b""
        self.pending_bytes = 0

    @property
    def is_empty(self):
        """Whether no incomplete event is buffered."""
        return not self._pending

    def feed(self, data):
        """Add received bytes and return the events that they complete.

        Raises
        ------
        ValueError
            If an event exceeds `EVENT_LIMIT_BYTES`.
        """
        # The boundary may have begun before.
        if EVENT_BOUNDARY in self._end + data:
            *complete, rest = b"".join([*self._pending, data]).split(EVENT_BOUNDARY)
            self._pending, self.pending_bytes, self._end = [], 0, b""
            self._keep(rest)
        else:
            complete = []
            self._keep(data)
        if self.pending_bytes > EVENT_LIMIT_BYTES:
            raise ValueError("An event is over the limit.")
        return [StreamEvent(raw + EVENT_BOUNDARY) for raw in complete]

    def _keep(self, data):
        """Keep a part of an event, in blocks that later parts don't copy."""
        if self._pending and len(self._pending[-1]) < BLOCK_BYTES:
            self._pending[-1] += data
        elif data:
            self._pending.append(data)
        self.pending_bytes += len(data)
        self._end = (self._end + data)[1 - len(EVENT_BOUNDARY) :]


class EventStream:
    """Reads an endpoint's answer as server-sent events.

    Parameters
    ----------
    response : ClientResponse
    """

    def __init__(self, response):
        self._response = response
        self._pieces = response.iterate()
        self._parser = EventParser()
        self._buffer = response.buffers.open()

    async def close(self):
        """Close the response, and hold no incomplete event any more."""
        self._buffer.close()
        await self._response.close()

    async def read_events(self, idle_timeout=None, may_give_up=None):
        """Return the next complete events; an empty list at the end of the stream.

        Parameters
        ----------
        idle_timeout : float, optional
            Seconds within which a complete event has to arrive. Incomplete events
            don't count: a stalled endpoint may still send single bytes.
        may_give_up : async callable, optional
            Asked each time that none has; the stream is read on while it returns
            False.

        Raises
        ------
        HTTPReceiveError
            If the connection breaks, no event arrives in time, or an event is too
            large or incomplete at the end of the stream.
        """
        if idle_timeout is None:
            return await self._read_complete_events()
        patience = idle_timeout
        while True:
            try:
                async with curio.timeout_after(patience):
                    return await self._read_complete_events()
            except curio.TaskTimeout:
                # Its generator has ended with the time-out; nothing read is lost.
                self._pieces = self._response.iterate()
            patience = min(idle_timeout, SILENCE_CHECK_SECONDS)
            if may_give_up is None or await may_give_up():
                raise HTTPReceiveError(
                    f"No event within {idle_timeout:.3f} s.", step="receive"
                )

    async def _read_complete_events(self):
        events = []
        while not events:
            piece = await anext(self._pieces, None)
            if piece is None:
                self._check_end()
                break
            events = self._parse(piece)
        return events

    def _parse(self, piece):
        try:
            events = self._parser.feed(piece)
            self._buffer.resize(self._parser.pending_bytes)
            return events
        except ValueError as error:
            raise HTTPReceiveError(str(error), step="receive") from error

    def _check_end(self):
        if not self._parser.is_empty:
            raise HTTPReceiveError("The stream ended within an event.", step="receive")
