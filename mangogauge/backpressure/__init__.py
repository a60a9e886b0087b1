"""Limits that endpoints announce: requests a second that one takes from all hosts.

An endpoint in need names its limit in its answers, as long as the limit holds. The
hosts tell each other what they heard and what they sent, and send together no more.
"""

from .announcements import AnnouncedLimits
from .counts import TakenCounts
from .limiter import EndpointLimiter, Work
from .news import LimitNews, LimitRow
from .statements import NO_LIMIT, LimitStatement
from .takers import Takers

__all__ = [
    "NO_LIMIT",
    "AnnouncedLimits",
    "EndpointLimiter",
    "LimitNews",
    "LimitRow",
    "LimitStatement",
    "TakenCounts",
    "Takers",
    "Work",
]
