"""Which endpoints are cold: just started, so that they take few requests a second.

The failure this answers: an endpoint that has just started crashes under the requests
that it takes once it is warm, and its entry may not say yet that it is cold.
"""

from attrs import define, field, frozen

from ..telemetry import get_logger
from .coldnews import ColdNews, ColdRow

__all__ = ["ColdBounds", "ColdChange", "ColdStates"]

# How long the start of an endpoint is remembered whose entry is gone: one that returns
# with the same start has not started again.
GONE_SECONDS = 600.0
# How long a host that has just started uses the starts in the entries, which were
# written by other clocks; other hosts' messages have arrived after that.
START_ESTIMATE_SECONDS = 2.0
# Interval at which endpoints that are gone are removed.
CLEAN_SECONDS = 60.0
MILLISECONDS = 1000
NEVER = float("-inf")
# Difference between two hosts' times that the delay of a message may explain.
MESSAGE_DELAY_SECONDS = 0.5
# Most endpoints in one message.
MAX_ROWS = 24

log = get_logger("backpressure")


@frozen
class ColdBounds:
    """Most requests that a cold endpoint may get in any one second.

    Parameters
    ----------
    over : float
        Multiple of the rate that it takes.
    slack : float
        Requests beyond that.

    Examples
    --------
    >>> ColdBounds(1.5, 5.0).allow(12.0)
    23.0
    """

    over = field()
    slack = field()

    def allow(self, rate):
        """Return the requests in any one second for a rate that is taken."""
        return self.over * rate + self.slack


@frozen
class ColdChange:
    """An endpoint process that has become cold, takes another rate, or is warm.

    Parameters
    ----------
    name : str
    start_time_ms : int
    rate : float or None
        Requests a second that it takes; None if it isn't cold.
    is_new : bool
        Whether the process has just started.
    """

    name = field()
    start_time_ms = field()
    rate = field()
    is_new = field()


@define
class _Process:
    """What is known of one endpoint process.

    Attributes
    ----------
    seen_at : float
        Elapsed time at which its start was noticed; `NEVER` if it ran before.
    began_at : float
        Elapsed time of its start, by this host's calendar.
    estimated_until : float
        Elapsed time until which `began_at` counts.
    announced_until : float or None
        Elapsed time until which it is cold by its entry or an answer.
    announced_at : float
        Elapsed time at which that was received, here or by the host that reported it.
    revision : int
        Revision of the entry that announced it; 0 if none did.
    rate : float or None
        Rate of the last `ColdChange`.
    is_new : bool
        Whether its start is all that is known of it so far.
    present_at : float
        Elapsed time at which it last had an entry.
    replaces_cold : bool
        Whether the process before it was cold, of which no `ColdChange` has told yet.
    """

    service = field()
    start_time_ms = field()
    seen_at = field()
    present_at = field()
    began_at = field(default=NEVER)
    estimated_until = field(default=NEVER)
    announced_until = field(default=None)
    announced_at = field(default=NEVER)
    revision = field(default=0)
    rate = field(default=None)
    is_new = field(default=False)
    replaces_cold = field(default=False)


class ColdStates:
    """Cold states of the endpoints, by their entries, answers and starts.

    Load: all endpoints of a data centre may become cold within a second, and each host
    reads their entries at its own time. What an entry or an answer announces counts
    from when it was received, since it may have been written just before.

    Parameters
    ----------
    bounds : ColdBounds or None
        None if no endpoint is ever cold.
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> from mangogauge.fleet import FleetEndpoint, Service
    >>> states = ColdStates(ColdBounds(1.5, 5.0), ManualClock())
    >>> states.set_services([Service("llm", 5.0, 12.0)])
    >>> states.note_entry(FleetEndpoint("e", "llm", "192.0.2.1:80"), True)
    >>> states.list_cold()
    ['e']
    """

    def __init__(self, bounds, clock):
        self.bounds = bounds
        self._clock = clock
        self._services = {}
        self._processes = {}
        # Names of those that may be cold: few, while all endpoints are hundreds.
        self._active = set()
        self._clean_due_at = NEVER
        self.has_news = False

    def set_services(self, services):
        """Put the `Service` records of a configuration in force."""
        self._services = {
            service.name: service
            for service in services
            if service.cold_seconds > 0 and service.cold_rate > 0
        }
        self._active = set(self._processes)

    def note_entry(self, endpoint, has_entered):
        """Note a new or changed entry.

        Parameters
        ----------
        endpoint : FleetEndpoint
        has_entered : bool
            Whether the entry was added or changed while this host already had a copy
            of all entries: a start that is new then has just happened.
        """
        if self.bounds is None:
            return
        now = self._clock.read_elapsed()
        self._active.add(endpoint.name)
        process = self._processes.get(endpoint.name)
        if process is None or process.start_time_ms != endpoint.start_time_ms:
            seen_at = now if has_entered else NEVER
            was_cold = process is not None and process.rate is not None
            process = self._processes[endpoint.name] = _Process(
                endpoint.service, endpoint.start_time_ms, seen_at, now
            )
            process.replaces_cold = was_cold
            process.is_new, process.announced_at = has_entered, seen_at
            if not has_entered:
                self._note_start(process)
        else:
            process.is_new, process.announced_at = False, now
        process.service = endpoint.service
        if endpoint.cold_left is None:
            process.announced_until = None
        elif not endpoint.cold_left or endpoint.cold_revision != process.revision:
            process.announced_until, process.announced_at = (
                now + endpoint.cold_left,
                now,
            )
        process.revision = endpoint.cold_revision

    def note_answer(self, endpoint, cold_left, asked_at):
        """Note that an answer announces the seconds for which its endpoint stays cold.

        Notes
        -----
        An answer that was asked for before the last announcement was received may be
        the older one, and then only prolongs the time.
        """
        process = self._processes.get(endpoint.name)
        if process is None or process.start_time_ms != endpoint.start_time_ms:
            return
        now = self._clock.read_elapsed()
        until = now + cold_left
        if asked_at < process.announced_at and until <= self._find_end(process):
            return
        process.announced_until, process.announced_at = until, now
        process.revision = 0
        self._active.add(endpoint.name)

    def merge(self, news):
        """Merge the `ColdNews` of another host."""
        for row in news.rows:
            process = self._processes.get(row.endpoint)
            if process is not None and process.start_time_ms == row.start_time_ms:
                self._merge_row(process, row)
                self._active.add(row.endpoint)

    def make_news(self):
        """Return `ColdNews` of the endpoints that are cold, for any host.

        Notes
        -----
        Those that are cold for the longest time come first.
        """
        now = self._clock.read_elapsed()
        cold = [(name, self._processes[name]) for name in self.list_cold()]
        cold.sort(key=lambda pair: self._find_end(pair[1]), reverse=True)
        return ColdNews(
            ColdRow(
                name,
                process.start_time_ms,
                self._find_end(process) - now,
                max(0.0, now - process.announced_at),
                process.revision,
            )
            for name, process in cold[:MAX_ROWS]
        )

    def is_cold(self, name):
        """Return whether an endpoint is cold now."""
        process = self._processes.get(name)
        return process is not None and self._find_rate(process) is not None

    def list_cold(self):
        """Return the names of the endpoints that are cold now, as a list."""
        return [name for name in sorted(self._active) if self.is_cold(name)]

    def take_changes(self):
        """Return the `ColdChange` of each endpoint since the last call, as a list."""
        changes = []
        for name in sorted(self._active & self._processes.keys()):
            process = self._processes[name]
            rate = self._find_rate(process)
            if rate is None:
                self._active.discard(name)
            if rate != process.rate or process.replaces_cold:
                process.replaces_cold = False
                self._log(name, process, rate)
                process.rate = rate
                self.has_news |= rate is not None
                start_time_ms = process.start_time_ms
                changes.append(ColdChange(name, start_time_ms, rate, process.is_new))
        return changes

    def remove_old(self, names):
        """Forget endpoints that have had no entry for `GONE_SECONDS`.

        Parameters
        ----------
        names : iterable of str
            Endpoints that have one.
        """
        now = self._clock.read_elapsed()
        if now < self._clean_due_at:
            return
        self._clean_due_at = now + CLEAN_SECONDS
        for name in names:
            if name in self._processes:
                self._processes[name].present_at = now
        oldest = now - GONE_SECONDS
        self._processes = {
            name: process
            for name, process in self._processes.items()
            if process.present_at >= oldest
        }
        self._active &= self._processes.keys()

    def _merge_row(self, process, row):
        """Apply a row that is newer, or dates the same entry more precisely.

        Notes
        -----
        The first host that read an entry knows best until when it counts.
        """
        now = self._clock.read_elapsed()
        until, announced_at = now + row.left, now - row.age
        if row.revision and row.revision == process.revision:
            is_better = until < self._find_end(process) - MESSAGE_DELAY_SECONDS
        elif row.revision and process.revision:
            is_better = row.revision > process.revision
        else:
            is_better = announced_at > process.announced_at + MESSAGE_DELAY_SECONDS
        if is_better:
            process.announced_until, process.announced_at = until, announced_at
            process.revision = row.revision

    def _find_rate(self, process):
        """Return the requests a second that a process takes while cold, or None."""
        service = self._services.get(process.service)
        if service is None or self.bounds is None:
            return None
        is_over = self._clock.read_elapsed() >= self._find_end(process)
        return None if is_over else service.cold_rate

    def _find_end(self, process):
        """Return the elapsed time until which a process is cold."""
        if process.announced_until is not None:
            return process.announced_until
        service = self._services.get(process.service)
        seconds = service.cold_seconds if service else 0.0
        estimated = min(process.began_at + seconds, process.estimated_until)
        return max(process.seen_at + seconds, estimated)

    def _note_start(self, process):
        """Note how long ago a process started that ran before this host knew it."""
        now = self._clock.read_elapsed()
        began = process.start_time_ms / MILLISECONDS
        process.began_at = now - max(0.0, self._clock.read_calendar() - began)
        process.estimated_until = now + START_ESTIMATE_SECONDS

    def _log(self, name, process, rate):
        details = {"endpoint": name, "born": process.start_time_ms}
        if rate is None:
            log.info("endpoint no longer cold", extra=details)
            return
        seconds = self._find_end(process) - self._clock.read_elapsed()
        log.info(
            "endpoint cold",
            extra={
                **details,
                "rate": rate,
                "seconds": round(seconds, 3),
                "by": "its start"
                if process.announced_until is None
                else "announcement",
            },
        )
