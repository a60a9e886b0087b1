"""Whether a body of server-sent events ends where an event does."""

__all__ = ["EVENT_STREAM", "EventEndCheck"]

EVENT_STREAM = "text/event-stream"
# An event ends with an empty line, of either kind of line ends.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
MAX_EVENT_END_BYTES = 4


class EventEndCheck:
    """Follows the pieces of a body, which may be cut anywhere.

    Examples
    --------
    >>> check = EventEndCheck()
    >>> check.feed(b"id: 1\\n")
    >>> check.ends_with_event
    False
    >>> check.feed(b"\\n")
    >>> check.ends_with_event
    True
    """

    def __init__(self):
        self._end = b""

    def feed(self, piece):
        """Add a piece of the body."""
        self._end = (self._end + piece)[-MAX_EVENT_END_BYTES:]

    @property
    def ends_with_event(self):
        """Whether the body so far ends with a complete event."""
        return self._end.endswith(EVENT_ENDS)
