"""The origins of recent streams, as far as this host knows them."""

from collections import OrderedDict

import xxhash
from attrs import field, frozen

__all__ = ["RETENTION_SECONDS", "StreamOrigin", "StreamOrigins", "digest_stream_id"]

# How long a stream may be resumed after it began.
RETENTION_SECONDS = 60.0
# Streams to keep; the oldest are evicted first.
MAX_STREAMS = 65_536


@frozen(order=True)
class StreamOrigin:
    """What an endpoint has in common with those that may resume its streams.

    Parameters
    ----------
    service : str
    software : str
        Version of the endpoint's software; empty if unknown.
    """

    service = field()
    software = field()

    @classmethod
    def of(cls, endpoint):
        """Return the origin of the streams that a `FleetEndpoint` begins."""
        return cls(endpoint.service, endpoint.software)


@frozen
class _KnownOrigin:
    """An origin, and the elapsed time at which it was noted."""

    origin = field()
    noted_at = field()


class StreamOrigins:
    """Origins by digest of the id of the request that began the stream.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> clock = ManualClock()
    >>> origins = StreamOrigins(clock)
    >>> origins.note(digest_stream_id("r1"), StreamOrigin("llm", "v1"))
    >>> origins.find(digest_stream_id("r1"))
    StreamOrigin(service='llm', software='v1')
    >>> clock.advance(61.0)
    >>> origins.find(digest_stream_id("r1"))
    """

    def __init__(self, clock):
        self._clock = clock
        # In the order in which they were noted.
        self._known = OrderedDict()

    def __len__(self):
        return len(self._known)

    def note(self, stream, origin):
        """Remember the origin of a stream, given by the digest of its id."""
        self._known.pop(stream, None)
        self._known[stream] = _KnownOrigin(origin, self._clock.read_elapsed())
        self._evict()

    def forget(self, stream):
        """Remove what is known of a stream."""
        self._known.pop(stream, None)

    def merge(self, news):
        """Add what `StreamNews` tell of streams that aren't known yet."""
        for stream, origin in news.list_streams():
            if stream not in self._known:
                self.note(stream, origin)

    def find(self, stream):
        """Return the `StreamOrigin` of a stream, or None if it isn't known."""
        self._evict()
        known = self._known.get(stream)
        return None if known is None else known.origin

    def _evict(self):
        oldest = self._clock.read_elapsed() - RETENTION_SECONDS
        while self._known:
            known = next(iter(self._known.values()))
            if known.noted_at > oldest and len(self._known) <= MAX_STREAMS:
                return
            self._known.popitem(last=False)


def digest_stream_id(request_id):
    """Return the short name of a stream that the request of this id began.

    Examples
    --------
    >>> len(digest_stream_id("9c41d07be2a35f68" * 100))
    16
    """
    return xxhash.xxh3_64_hexdigest(request_id.encode())
