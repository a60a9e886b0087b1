"""Cut a stream of server-sent events into whole ones.

References
----------
.. [1] WHATWG, "HTML Living Standard", section 9.2, "Server-sent events".
"""

import curio
from attrs import field, frozen

from ..http import HTTPReceiveError

__all__ = ["EventParser", "EventStream", "StreamEvent"]

EVENT_LIMIT_BYTES = 1_048_576
EVENT_BOUNDARY = b"\n\n"
ID_FIELD = b"id:"
DATA_FIELD = b"data:"


@frozen
class StreamEvent:
    """One whole event.

    Parameters
    ----------
    raw : bytes
        As it came, with its empty line.
    """

    raw = field()

    @property
    def number(self):
        """Its number, or None if it has none."""
        for line in self.raw.split(b"\n"):
            if line.startswith(ID_FIELD):
                text = line[len(ID_FIELD) :].strip()
                return int(text) if text.isdigit() else None
        return None

    @property
    def data(self):
        """Its data lines, joined by line feeds."""
        lines = [
            line[len(DATA_FIELD) :].removeprefix(b" ")
            for line in self.raw.split(b"\n")
            if line.startswith(DATA_FIELD)
        ]
        return b"\n".join(lines)


class EventParser:
    """Collects bytes and gives out whole events.

    Examples
    --------
    >>> cutter = EventParser()
    >>> [piece.number for piece in cutter.feed(b"id: 4\\ndata: x\\n\\nid: 5")]
    [4]
    >>> cutter.is_empty
    False
    """

    def __init__(self):
        self._pending = b""

    @property
    def is_empty(self):
        """Whether no part of an event is left over."""
        return not self._pending

    def feed(self, data):
        """Add bytes; return the events that are now whole.

        Raises
        ------
        ValueError
            If an event grows beyond its limit.
        """
        *whole, self._pending = (self._pending + data).split(EVENT_BOUNDARY)
        if len(self._pending) > EVENT_LIMIT_BYTES:
            raise ValueError("An event is over the limit.")
        return [StreamEvent(raw + EVENT_BOUNDARY) for raw in whole]


class EventStream:
    """An endpoint's answer, read event by event.

    Parameters
    ----------
    response : ClientResponse
    """

    def __init__(self, response):
        self._pieces = response.iterate()
        self._parser = EventParser()

    async def read_events(self, idle_timeout=None):
        """Return the next whole events; none at the stream's end.

        Parameters
        ----------
        idle_timeout : float, optional
            Seconds within which a whole event has to come. Bytes that make none
            don't count: a stalled endpoint may send one now and then.

        Raises
        ------
        HTTPReceiveError
            If the endpoint breaks off, falls silent, or sends what is no event.
        """
        if idle_timeout is None:
            return await self._read_whole_events()
        try:
            async with curio.timeout_after(idle_timeout):
                return await self._read_whole_events()
        except curio.TaskTimeout:
            raise HTTPReceiveError(
                f"No event within {idle_timeout:.3f} s.", step="receive"
            ) from None

    async def _read_whole_events(self):
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
            return self._parser.feed(piece)
        except ValueError as error:
            raise HTTPReceiveError(str(error), step="receive") from error

    def _check_end(self):
        if not self._parser.is_empty:
            raise HTTPReceiveError("The stream ended within an event.", step="receive")
