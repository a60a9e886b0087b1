"""Cut a stream of server-sent events into whole ones.

References
----------
.. [1] WHATWG, "HTML Living Standard", section 9.2, "Server-sent events".
"""

from attrs import field, frozen

__all__ = ["EventCutter", "StreamPiece"]

EVENT_LIMIT_BYTES = 1_048_576
BOUNDARY = b"\n\n"
NUMBER_FIELD = b"id:"
DATA_FIELD = b"data:"


@frozen
class StreamPiece:
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
            if line.startswith(NUMBER_FIELD):
                text = line[len(NUMBER_FIELD) :].strip()
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


class EventCutter:
    """Collects bytes and gives out whole events.

    Examples
    --------
    >>> cutter = EventCutter()
    >>> [piece.number for piece in cutter.feed(b"id: 4\\ndata: x\\n\\nid: 5")]
    [4]
    >>> cutter.is_clean
    False
    """

    def __init__(self):
        self._rest = b""

    @property
    def is_clean(self):
        """Whether no part of an event is left over."""
        return not self._rest

    def feed(self, data):
        """Add bytes; return the events that are now whole.

        Raises
        ------
        ValueError
            If an event grows beyond its limit.
        """
        *whole, self._rest = (self._rest + data).split(BOUNDARY)
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise ValueError("An event is over the limit.")
        return [StreamPiece(raw + BOUNDARY) for raw in whole]
