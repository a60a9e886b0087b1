"""What hosts tell each other of the rates of endpoints, and its encoding."""

from math import isfinite

import orjson
from attrs import field, frozen

__all__ = ["MAX_COUNT", "MAX_ROWS", "RATES_FORMAT", "RateNews", "RateRow"]

RATES_FORMAT = "rates 1"
# Most rows in one message, so that it fits into one packet.
MAX_ROWS = 24
# Largest count of observations in a row.
MAX_COUNT = 16.0
# Intervals outside these bounds are no measurements of an engine.
MIN_INTERVAL_SECONDS = 1e-5
MAX_INTERVAL_SECONDS = 60.0
MICROSECONDS = 1_000_000


@frozen
class RateRow:
    """What one host assumes of one endpoint's rate.

    Parameters
    ----------
    endpoint : str
    start_time_ms : int
        Identifies the endpoint's process.
    interval : float
        Seconds between two events of a response while half of the slots are in use.
    count : float
        Recent observations that it rests on.
    """

    endpoint = field()
    start_time_ms = field()
    interval = field()
    count = field()

    @classmethod
    def from_value(cls, value):
        """Decode a row.

        Raises
        ------
        ValueError, TypeError
            If the value is no row.
        """
        endpoint, start_time_ms, interval, count = value
        interval, count = float(interval) / MICROSECONDS, float(count)
        if not MIN_INTERVAL_SECONDS <= interval <= MAX_INTERVAL_SECONDS:
            raise ValueError(f"{interval!r} s is no interval")
        if not (isfinite(count) and 0 <= count <= MAX_COUNT):
            raise ValueError(f"{count!r} is no count of observations")
        if not isfinite(start_time_ms):
            raise ValueError(f"{start_time_ms!r} is no start time")
        return cls(str(endpoint), int(start_time_ms), interval, count)

    def to_value(self):
        """Return the row for JSON."""
        interval = round(self.interval * MICROSECONDS)
        return [self.endpoint, self.start_time_ms, interval, round(self.count, 2)]


@frozen
class RateNews:
    """Rates of endpoints that a host assumes.

    Parameters
    ----------
    host : str
    rows : tuple of RateRow

    Examples
    --------
    >>> RateNews("h1", (RateRow("e", 5, 0.025, 3.0),)).to_bytes()
    b'["rates 1","h1",[["e",5,25000,3.0]]]'
    """

    host = field()
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
        version, host, rows = value
        if version != RATES_FORMAT:
            raise ValueError(f"news format {version!r} is not supported")
        if len(rows) > MAX_ROWS:
            raise ValueError(f"{len(rows)} rows are more than {MAX_ROWS}")
        return cls(str(host), map(RateRow.from_value, rows))

    def to_bytes(self):
        """Encode the news as JSON."""
        rows = [row.to_value() for row in self.rows]
        return orjson.dumps([RATES_FORMAT, self.host, rows])
