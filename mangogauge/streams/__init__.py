"""Software versions of streams: a stream may go on only at the one that began it.

Endpoints of several versions of their software may serve side by side, and what two of
them write doesn't fit together. Each host remembers the origin of the streams that it
relays. While a service has several versions, hosts tell those of their data centre and
record it in the platform's store, so that callers may resume their streams at any host,
also at one that has just started.
"""

from .beginnings import StreamBeginning
from .confirmation import VersionConfirmation
from .finder import OriginFinder
from .history import VersionHistory
from .news import NEWS_FORMAT, StreamNews
from .origins import StreamOrigin, StreamOrigins
from .record import StreamRecord
from .versions import VersionRecord

__all__ = [
    "NEWS_FORMAT",
    "OriginFinder",
    "StreamBeginning",
    "StreamNews",
    "StreamOrigin",
    "StreamOrigins",
    "StreamRecord",
    "VersionConfirmation",
    "VersionHistory",
    "VersionRecord",
]
