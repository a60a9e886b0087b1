"""What hosts tell each other of limits, and its encoding."""

from math import isfinite

import orjson
from attrs import field, frozen

from .statements import NO_LIMIT, LimitStatement

__all__ = ["NEWS_FORMAT", "LimitNews", "LimitRow", "make_count_row"]

NEWS_FORMAT = "limits 1"
MILLISECONDS = 1000
# Age of a row that says nothing of a limit: older than any statement, so that it
# supersedes none at hosts which take the missing rate for the end of a limit.
UNSTATED_AGE_SECONDS = 1e9


@frozen
class LimitRow:
    """What one host knows of one endpoint's limit.

    Parameters
    ----------
    endpoint : str
    start_time_ms : int
        Identifies the endpoint's process.
    rate : float
        Requests a second; `NO_LIMIT` once the limit has ended.
    asked_age, answered_age : float
        Seconds since the request was sent, and since the answer arrived, that said so.
    taken : int or None
        Requests that the host has sent there while it knew of limits; None if the row
        doesn't tell.
    """

    endpoint = field()
    start_time_ms = field()
    rate = field()
    asked_age = field()
    answered_age = field()
    taken = field(default=None)

    @classmethod
    def from_value(cls, value):
        """Decode a row.

        Raises
        ------
        ValueError, TypeError
            If the value is no row.
        """
        endpoint, start_time_ms, rate, asked_age, answered_age, taken = value
        rate = NO_LIMIT if rate is None else float(rate)
        if rate != NO_LIMIT and not (isfinite(rate) and rate >= 0):
            raise ValueError(f"{rate!r} is no rate")
        return cls(
            str(endpoint),
            int(start_time_ms),
            rate,
            int(asked_age) / MILLISECONDS,
            int(answered_age) / MILLISECONDS,
            None if taken is None else int(taken),
        )

    def to_value(self):
        """Return the row for JSON."""
        return [
            self.endpoint,
            self.start_time_ms,
            self.rate if self.rate < NO_LIMIT else None,
            round(self.asked_age * MILLISECONDS),
            round(self.answered_age * MILLISECONDS),
            self.taken,
        ]

    def make_statement(self, now):
        """Return the `LimitStatement` of a row that arrives at an elapsed time."""
        return LimitStatement(self.rate, now - self.asked_age, now - self.answered_age)


def make_count_row(endpoint, start_time_ms, taken):
    """Return the `LimitRow` of an endpoint that has announced no limit.

    Examples
    --------
    >>> make_count_row("e", 0, 3).to_value()
    ['e', 0, None, 1000000000000, 1000000000000, 3]
    """
    age = UNSTATED_AGE_SECONDS
    return LimitRow(endpoint, start_time_ms, NO_LIMIT, age, age, taken)


@frozen
class LimitNews:
    """Limits that a host knows of, and its requests to their endpoints.

    Parameters
    ----------
    host : str
    incarnation : str
        Identifies the host's process: its counts begin again at each start.
    number : int
        Increases with each message of the process.
    rows : tuple of LimitRow

    Examples
    --------
    >>> LimitNews("h1", "a", 7, (LimitRow("e", 0, 2.5, 0.1, 0.05, 3),)).to_bytes()
    b'["limits 1","h1","a",7,[["e",0,2.5,100,50,3]]]'
    """

    host = field()
    incarnation = field()
    number = field()
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
        version, host, incarnation, number, rows = value
        if version != NEWS_FORMAT:
            raise ValueError(f"news format {version!r} is not supported")
        rows = map(LimitRow.from_value, rows)
        return cls(str(host), str(incarnation), int(number), rows)

    def to_bytes(self):
        """Encode the news as JSON."""
        rows = [row.to_value() for row in self.rows]
        return orjson.dumps(
            [NEWS_FORMAT, self.host, self.incarnation, self.number, rows]
        )
