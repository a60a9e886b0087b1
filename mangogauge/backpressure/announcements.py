"""Limits that are in force, by endpoint."""

from attrs import field, frozen

from ..telemetry import get_logger
from .statements import NO_LIMIT

__all__ = ["AnnouncedLimits"]

# How long the end of a limit is remembered: answers written before may still arrive.
ENDED_SECONDS = 10.0
# A limit may move with each answer; smaller changes, in parts of it, are told later.
TOLD_CHANGE = 0.2

log = get_logger("backpressure")


@frozen
class _Announcement:
    """The statement that holds for one process of an endpoint.

    Parameters
    ----------
    start_time_ms : int
        Identifies the process: a later one may have the same name.
    statement : LimitStatement
    told_rate : float
        The rate that was last logged and told to other hosts at once.
    """

    start_time_ms = field()
    statement = field()
    told_rate = field(default=NO_LIMIT)


class AnnouncedLimits:
    """The newest statement of each endpoint that has named a limit.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from mangogauge.backpressure import LimitStatement
    >>> from mangogauge.clock import ManualClock
    >>> limits = AnnouncedLimits(ManualClock())
    >>> limits.note("e", 1000, LimitStatement(3.0, 0.0, 0.1), "its answer")
    True
    >>> limits.get_rate("e", 1000), limits.get_rate("e", 2000)
    (3.0, inf)
    """

    def __init__(self, clock):
        self._clock = clock
        self._announcements = {}

    def __len__(self):
        return len(self._announcements)

    def note(self, name, start_time_ms, statement, origin):
        """Take a statement; return whether other hosts should hear of it at once.

        Parameters
        ----------
        name : str
        start_time_ms : int
            Start of the endpoint's process, in milliseconds since the Unix epoch.
        statement : LimitStatement
        origin : str
            Who told of it, for the log.
        """
        known = self._announcements.get(name)
        if known is None and not statement.is_limit:
            return False
        if known is not None and known.start_time_ms > start_time_ms:
            return False
        if known is not None and known.start_time_ms < start_time_ms:
            known = None
        if known is not None and not statement.supersedes(known.statement):
            return False
        told_rate = known.told_rate if known else NO_LIMIT
        is_news = _is_news(told_rate, statement.rate)
        if is_news:
            self._log(name, start_time_ms, statement, told_rate, origin)
            told_rate = statement.rate
        self._announcements[name] = _Announcement(start_time_ms, statement, told_rate)
        return is_news

    def find(self, name):
        """Return ``(start_time_ms, LimitStatement)`` of an endpoint, or None."""
        announcement = self._announcements.get(name)
        if announcement is None:
            return None
        return announcement.start_time_ms, announcement.statement

    def get_rate(self, name, start_time_ms):
        """Return the requests a second that a process takes; `NO_LIMIT` if any."""
        announcement = self._announcements.get(name)
        if announcement is None or announcement.start_time_ms != start_time_ms:
            return NO_LIMIT
        return announcement.statement.rate

    def list_limited(self):
        """Return the names of the endpoints whose limit is in force, as a list."""
        return [
            name
            for name, announcement in self._announcements.items()
            if announcement.statement.is_limit
        ]

    def list_names(self):
        """Return the endpoints of whose limit, or its end, something is known."""
        return list(self._announcements)

    def remove_old(self, start_times):
        """Remove processes that are gone, and ends of limits that all have heard of.

        Parameters
        ----------
        start_times : dict of str to int
            ``{name: start_time_ms}`` of the endpoints that there are.
        """
        oldest = self._clock.read_elapsed() - ENDED_SECONDS
        self._announcements = {
            name: announcement
            for name, announcement in self._announcements.items()
            if start_times.get(name) == announcement.start_time_ms
            and (
                announcement.statement.is_limit
                or announcement.statement.answered_at > oldest
            )
        }

    def _log(self, name, start_time_ms, statement, before, origin):
        log.info(
            "endpoint's limit",
            extra={
                "endpoint": name,
                "born": start_time_ms,
                "rate": _write_rate(statement.rate),
                "before": _write_rate(before),
                "heard_from": origin,
                "age": self._clock.read_elapsed() - statement.asked_at,
            },
        )


def _is_news(told_rate, rate):
    if NO_LIMIT in (told_rate, rate):
        return told_rate != rate
    return abs(rate - told_rate) > TOLD_CHANGE * told_rate


def _write_rate(rate):
    """Return a rate for the log; None for no limit."""
    return rate if rate < NO_LIMIT else None
