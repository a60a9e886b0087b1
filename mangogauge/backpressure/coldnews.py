"""Messages between hosts on cold endpoints, and their encoding."""

from math import isfinite

import orjson
from attrs import field, frozen

__all__ = ["ColdNews", "ColdRow"]

NEWS_FORMAT = "cold 1"
MILLISECONDS = 1000
# A longer time is invalid.
MAX_SECONDS = 86_400


@frozen
class ColdRow:
    """What one host knows of the cold state of one endpoint process.

    Parameters
    ----------
    endpoint : str
    start_time_ms : int
        Identifies the process.
    left : float
        Seconds for which it stays cold.
    age : float
        Seconds since that was learned.
    revision : int
        Revision of the entry that announced it; 0 if none did.
    """

    endpoint = field()
    start_time_ms = field()
    left = field()
    age = field()
    revision = field(default=0)

    @classmethod
    def from_value(cls, value):
        """Decode a row.

        Raises
        ------
        ValueError, TypeError
            If the value is no row.
        """
        endpoint, start_time_ms, left, age, revision = value
        left, age = _read_seconds(left), _read_seconds(age)
        return cls(str(endpoint), int(start_time_ms), left, age, int(revision))

    def to_value(self):
        """Return the row for JSON."""
        left = round(self.left * MILLISECONDS)
        age = round(min(self.age, MAX_SECONDS) * MILLISECONDS)
        return [self.endpoint, self.start_time_ms, left, age, self.revision]


@frozen
class ColdNews:
    """Endpoints that a host knows to be cold.

    Parameters
    ----------
    rows : tuple of ColdRow

    Examples
    --------
    >>> ColdNews([ColdRow("e", 1, 2.5, 0.5, 7)]).to_bytes()
    b'["cold 1",[["e",1,2500,500,7]]]'
    """

    rows = field(converter=tuple)

    def __bool__(self):
        return bool(self.rows)

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
        return cls(map(ColdRow.from_value, rows))

    def to_bytes(self):
        """Encode the news as JSON."""
        return orjson.dumps([NEWS_FORMAT, [row.to_value() for row in self.rows]])


def _read_seconds(value):
    seconds = float(value) / MILLISECONDS
    if not isfinite(seconds) or not 0 <= seconds <= MAX_SECONDS:
        raise ValueError(f"{value!r} is no time")
    return seconds
