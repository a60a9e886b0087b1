"""Server-sent events of a token stream, cut out whole and counted."""

import orjson
from attrs import field, frozen

__all__ = ["EventReader", "StreamEvent"]

EVENT_LIMIT_BYTES = 1_048_576
DONE = b"[DONE]"


@frozen
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    raw : bytes
        The event as it came, with its empty line.
    tokens : int
        Tokens in it: 1 if it carries text, else 0.
    finishes : bool
        Whether it gives the reason for which generation ended.
    done : bool
        Whether it is the mark that ends the stream.
    """

    raw = field()
    tokens = field(default=0)
    finishes = field(default=False)
    done = field(default=False)

    def with_usage_from(self, first):
        """Return the event with `first` tokens added to any usage in it.

        An engine that resumed a stream counts only what it made itself.
        """
        if b'"usage"' not in self.raw:
            return self
        try:
            value = orjson.loads(_read_data(self.raw))
            usage = value["usage"]
            usage["completion_tokens"] += first
            usage["total_tokens"] += first
        except (ValueError, KeyError, TypeError):
            return self
        raw = b"data: " + orjson.dumps(value) + b"\n\n"
        return StreamEvent(raw, self.tokens, self.finishes, self.done)


class EventReader:
    """Cut a stream of bytes into events.

    Examples
    --------
    >>> reader = EventReader()
    >>> [event.done for event in reader.feed(b"data: [DONE]\\n\\ndata: ")]
    [True]
    """

    def __init__(self):
        self._buffer = b""

    def feed(self, data):
        """Add `data` and return the events that are now whole.

        Raises
        ------
        ValueError
            If an event grows beyond its limit.
        """
        self._buffer += data
        *whole, self._buffer = self._buffer.replace(b"\r\n", b"\n").split(b"\n\n")
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise ValueError("An event is over the limit.")
        return [_parse_event(raw + b"\n\n") for raw in whole]


def _parse_event(raw):
    data = _read_data(raw)
    if data == DONE:
        return StreamEvent(raw, done=True)
    try:
        choice = orjson.loads(data)["choices"][0]
        text = choice.get("text") or choice.get("delta", {}).get("content")
        finishes = choice.get("finish_reason") is not None
    except (ValueError, LookupError, TypeError, AttributeError):
        return StreamEvent(raw)
    return StreamEvent(raw, tokens=1 if text else 0, finishes=finishes)


def _read_data(raw):
    lines = [line for line in raw.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line[5:].strip() for line in lines)
