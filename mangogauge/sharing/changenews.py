"""Changes below a prefix of the platform's store, sent by the host that read them.

A copy of entries that change all the time would have to be read by each host that
keeps one. So the host that has read the changes sends them to the others, which apply
them if they have all that came before.
"""

import orjson
from attrs import field, frozen

from ..store import Changes, WatchEvent
from .copies import read_copies, write_copies
from .reports import ReportError

__all__ = ["ChangeNews"]

FORMAT = "changes 1"
# Values are text of one byte a character, but may be any bytes.
ENCODING = "latin-1"


@frozen
class ChangeNews:
    """Changes below a prefix, and the read that they are from.

    Parameters
    ----------
    copies : dict of str to CopyReport
        By prefix, the read: one entry.
    base : int
        Revision of the store that the changes follow.
    changes : Changes

    Examples
    --------
    >>> from mangogauge.sharing import CopyReport
    >>> changes = Changes([WatchEvent("work/a", b"x", 9)], 12)
    >>> news = ChangeNews({"work/": CopyReport("", 12, "process", 1, 0.5)}, 8, changes)
    >>> ChangeNews.from_value(orjson.loads(news.to_bytes())) == news
    True
    """

    copies = field()
    base = field()
    changes = field()

    @property
    def prefix(self):
        """Prefix of the changes."""
        return next(iter(self.copies))

    @classmethod
    def from_value(cls, value):
        """Decode news from its parsed JSON.

        Raises
        ------
        ReportError
            If the value is not news of this format.
        """
        try:
            version, row, base, revision, rows = value
            if version != FORMAT:
                raise ReportError(f"Format {version!r} is not supported.")
            events = [_read_event(*event) for event in rows]
            return cls(read_copies([row]), int(base), Changes(events, int(revision)))
        except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
            raise ReportError(f"The datagram is no news: {error}.") from error

    def to_bytes(self):
        """Encode the news as JSON for a datagram."""
        rows = [_write_event(event) for event in self.changes.events]
        (row,) = write_copies(self.copies)
        return orjson.dumps([FORMAT, row, self.base, self.changes.revision, rows])


def _read_event(key, value, revision):
    data = None if value is None else value.encode(ENCODING)
    return WatchEvent(str(key), data, int(revision))


def _write_event(event):
    value = None if event.value is None else event.value.decode(ENCODING)
    return [event.key, value, event.mod_revision]
