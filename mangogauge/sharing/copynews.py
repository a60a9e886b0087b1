"""News of a read of the platform's store, sent by the reader to all other hosts.

Summaries of a data centre take some tenths of a second to reach the hosts of another.
The news of a read has to reach all hosts before the next of them reads. It is rare and
small, whatever the number of hosts, so it goes to each of them directly.
"""

import orjson
from attrs import field, frozen

from .copies import read_copies, write_copies
from .reports import ReportError

__all__ = ["CopyNews"]

FORMAT = "copies 1"


@frozen
class CopyNews:
    """Copies of topics that the sender has read.

    Parameters
    ----------
    copies : dict of str to CopyReport
        By topic.

    Examples
    --------
    >>> from mangogauge.sharing import CopyReport
    >>> news = CopyNews({"op/": CopyReport("a", 7, "process", 1, 0.5)})
    >>> CopyNews.from_value(orjson.loads(news.to_bytes())) == news
    True
    """

    copies = field(factory=dict)

    @classmethod
    def from_value(cls, value):
        """Decode news from its parsed JSON.

        Raises
        ------
        ReportError
            If the value is not news of this format.
        """
        try:
            version, rows = value
            if version != FORMAT:
                raise ReportError(f"Format {version!r} is not supported.")
            return cls(read_copies(rows))
        except (ValueError, TypeError, ArithmeticError) as error:
            raise ReportError(f"The datagram is no news: {error}.") from error

    def to_bytes(self):
        """Encode the news as JSON for a datagram."""
        return orjson.dumps([FORMAT, write_copies(self.copies)])
