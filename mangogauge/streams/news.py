"""What hosts tell each other of streams and record in the store, and its encoding."""

import orjson
from attrs import field, frozen

from .origins import StreamOrigin

__all__ = ["NEWS_FORMAT", "StreamNews"]

NEWS_FORMAT = "streams 1"


@frozen
class StreamNews:
    """Streams by origin, each given by the digest of its id.

    Parameters
    ----------
    streams : dict of StreamOrigin to tuple of str

    Examples
    --------
    >>> news = StreamNews.collect([("a1", StreamOrigin("llm", "v1"))])
    >>> news.to_bytes()
    b'["streams 1",[["llm","v1",["a1"]]]]'
    """

    streams = field()

    def __bool__(self):
        return bool(self.streams)

    @classmethod
    def collect(cls, pairs):
        """Return the news of pairs of a stream and its `StreamOrigin`."""
        streams = {}
        for stream, origin in pairs:
            streams.setdefault(origin, []).append(stream)
        return cls({origin: tuple(names) for origin, names in streams.items()})

    @classmethod
    def from_value(cls, value):
        """Decode news from their parsed JSON.

        Raises
        ------
        ValueError, TypeError
            If the value is no news of this format.
        """
        version, rows = value
        if version != NEWS_FORMAT:
            raise ValueError(f"news format {version!r} is not supported")
        return cls(
            {
                StreamOrigin(str(service), str(software)): tuple(map(str, names))
                for service, software, names in rows
            }
        )

    def list_streams(self):
        """Return pairs of a stream and its origin."""
        return [(name, o) for o, names in self.streams.items() for name in names]

    def to_bytes(self):
        """Encode the news as JSON."""
        rows = [
            [origin.service, origin.software, names]
            for origin, names in self.streams.items()
        ]
        return orjson.dumps([NEWS_FORMAT, rows])
