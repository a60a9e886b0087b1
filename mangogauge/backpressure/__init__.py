"""Limits of endpoints: requests a second that one takes from all hosts.

An endpoint in need names its limit in its answers, as long as the limit holds. One that
has just started is cold for a time that its entry or its service names. The hosts tell
each other what they heard and what they sent, and send together no more.
"""

from .announcements import AnnouncedLimits
from .cold import ColdBounds, ColdStates
from .coldnews import ColdNews
from .counts import TakenCounts
from .limited import LimitSource
from .limiter import EndpointLimiter, Work
from .news import LimitNews, LimitRow
from .statements import NO_LIMIT, LimitStatement
from .takers import Takers

__all__ = [
    "NO_LIMIT",
    "AnnouncedLimits",
    "ColdBounds",
    "ColdNews",
    "ColdStates",
    "EndpointLimiter",
    "LimitNews",
    "LimitRow",
    "LimitSource",
    "LimitStatement",
    "TakenCounts",
    "Takers",
    "Work",
]
