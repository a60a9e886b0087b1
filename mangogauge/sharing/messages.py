"""Tell the datagrams apart that hosts send each other."""

import orjson

from .reports import HostReport, ReportError
from .summaries import DataCentreSummary

__all__ = ["PASS_ON", "decode"]

# Begins a summary that its receiver is to pass on within its data centre. What is
# encoded begins otherwise.
PASS_ON = b">"


def decode(data):
    """Return the `HostReport` or `DataCentreSummary` of a datagram.

    Raises
    ------
    ReportError
        If it is neither.
    """
    try:
        value = orjson.loads(data)
    except ValueError as error:
        raise ReportError(f"The datagram is no JSON: {error}.") from error
    is_summary = isinstance(value, list) and value and isinstance(value[0], str)
    kind = DataCentreSummary if is_summary else HostReport
    return kind.from_value(value)
