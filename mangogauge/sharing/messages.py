"""Encode and decode the datagrams that hosts send each other."""

import orjson

from ..backpressure import ColdNews, LimitNews
from ..fleet.membernews import MemberNews
from ..quarantine import CrashNews
from ..streams import StreamNews
from ..trust import RateNews
from .changenews import ChangeNews
from .copynews import CopyNews
from .reports import HostReport, ReportError
from .summaries import DataCentreSummary

__all__ = ["REBROADCAST_MARK", "decode", "join"]

# First byte of a datagram whose summaries the receiver has to rebroadcast within its
# data centre. Encoded JSON never begins with it.
REBROADCAST_MARK = b">"
# By the first word of a message's format; the format of a report is a number.
KINDS = {
    "summary": DataCentreSummary,
    "crashes": CrashNews,
    "streams": StreamNews,
    "limits": LimitNews,
    "cold": ColdNews,
    "copies": CopyNews,
    "changes": ChangeNews,
    "rates": RateNews,
    "hosts": MemberNews,
}


def decode(data):
    """Return the reports, summaries and news of a datagram.

    Raises
    ------
    ReportError
        If the datagram holds anything else.
    """
    try:
        value = orjson.loads(data)
    except ValueError as error:
        raise ReportError(f"The datagram is not valid JSON: {error}.") from error
    if not isinstance(value, list) or not value:
        raise ReportError("The datagram contains no message.")
    is_joined = isinstance(value[0], list)
    return [_read_message(part) for part in (value if is_joined else [value])]


def join(messages, limit):
    """Pack encoded messages into datagrams, in order.

    A message that exceeds the limit gets a datagram of its own.

    Parameters
    ----------
    messages : iterable of bytes
        As `HostReport.to_bytes` and `DataCentreSummary.to_bytes` encode them.
    limit : int
        Maximum bytes of one datagram.

    Examples
    --------
    >>> join([b"[1]", b"[2]", b"[3]"], 9)
    [b'[[1],[2]]', b'[[3]]']
    """
    groups, size = [], limit
    for message in messages:
        # Each message adds a comma or a bracket, and the last one both.
        size += len(message) + 1
        if size + 1 > limit:
            groups.append([])
            size = len(message) + 1
        groups[-1].append(message)
    return [b"[" + b",".join(group) + b"]" for group in groups]


def _read_message(value):
    kind = HostReport
    if isinstance(value, list) and value and isinstance(value[0], str):
        kind = KINDS.get(value[0].partition(" ")[0], HostReport)
    try:
        return kind.from_value(value)
    except (ValueError, TypeError) as error:
        raise ReportError(f"The datagram can't be decoded: {error}.") from error
