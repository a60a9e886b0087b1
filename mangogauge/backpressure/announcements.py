"""Limits that are in force, by endpoint."""

from attrs import field, frozen

from ..telemetry import get_logger
from .statements import NO_LIMIT

__all__ = ["AnnouncedLimits"]

# How long the end of a limit is remembered: answers written before may still arrive.
ENDED_SECONDS = 10.0
# A limit may move with each answer; smaller changes, by part of it, aren't logged.
LOGGED_CHANGE = 0.2

log = get_logger("backpressure")


@frozen
class _Announcement:
    """The statement that holds for one process of an endpoint.

    Parameters
    ----------
    start_time_ms : int
        Identifies the process: a later one may have the same name.
    statement : LimitStatement
    logged_rate : float
        The rate in the last log line about the endpoint.
    """

    start_time_ms = field()
    statement = field()
    logged_rate = field(default=NO_LIMIT)


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
        """Take a statement; return whether it changed the endpoint's limit.

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
        logged_rate = known.logged_rate if known else NO_LIMIT
        if _is_worth_a_line(logged_rate, statement.rate):
            self._log(name, start_time_ms, statement, logged_rate, origin)
            logged_rate = statement.rate
        self._announcements[name] = _Announcement(start_time_ms, statement, logged_rate)
        return known is None or known.statement.rate != statement.rate

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

    def list_statements(self):
        """Return ``{name: (start_time_ms, LimitStatement)}``, also of limits' ends."""
        return {
            name: (announcement.start_time_ms, announcement.statement)
            for name, announcement in self._announcements.items()
        }

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


def _is_worth_a_line(logged_rate, rate):
    if NO_LIMIT in (logged_rate, rate):
        return logged_rate != rate
    return abs(rate - logged_rate) > LOGGED_CHANGE * logged_rate


def _write_rate(rate):
    """Return a rate for the log; None for no limit."""
    return rate if rate < NO_LIMIT else None
