"""Load of each endpoint, from this host's own counts and other hosts' reports."""

from collections import OrderedDict

from attrs import define, field, frozen

from .reports import EndpointLoad, HostReport
from .tally import ReportTally

__all__ = ["ReportTable"]

# Reports older than this are discarded.
REPORT_LIFETIME_SECONDS = 1.5
# After this long without a report, a host may have admitted requests that are not
# counted here.
REPORTING_SECONDS = 0.6
# Other hosts that have to report an endpoint as unhealthy before it is avoided here.
UNHEALTHY_QUORUM = 2
NO_LOAD = EndpointLoad()


@frozen
class _ReceivedReport:
    """A report and the elapsed time at which it was received."""

    report = field()
    received_at = field()


@define
class _OwnCount:
    """Requests and items that this host runs at one endpoint."""

    online = field(default=0)
    batch = field(default=0)


class ReportTable:
    """Counts of running work over the whole fleet.

    Parameters
    ----------
    host, incarnation : str
        Name of this host, and identifier of its process.
    clock : Clock

    Attributes
    ----------
    host : str
    waiting : int
        Online requests that wait at this host for a free slot.
    items_waiting : int
        Batch items that wait at this host for a free slot.
    """

    def __init__(self, host, incarnation, clock):
        self.host = host
        self._incarnation = incarnation
        self._clock = clock
        self._own_counts = {}
        # In order of receipt, so that the oldest report expires first.
        self._received = OrderedDict()
        self._tally = ReportTally()
        # Elapsed time at which a summary last named a host of another data centre.
        self._summarized_at = {}
        self._last_summary_at = float("-inf")
        self._number = 0
        self.waiting = 0
        self.items_waiting = 0

    def begin(self, endpoint, batch=False):
        """Count a request or a batch item that is sent to an endpoint."""
        count = self._own_counts.setdefault(endpoint, _OwnCount())
        if batch:
            count.batch += 1
        else:
            count.online += 1

    def end(self, endpoint, batch=False):
        """Count a request or a batch item as ended, whatever its outcome."""
        count = self._own_counts[endpoint]
        if batch:
            count.batch -= 1
        else:
            count.online -= 1
        if not count.online and not count.batch:
            del self._own_counts[endpoint]

    def merge_report(self, report):
        """Store another host's report, or a data centre's totals.

        Returns
        -------
        bool
            False if it is this host's own, or not newer than the stored one.
        """
        if report.host == self.host:
            return False
        previous = self._received.get(report.host)
        if previous is not None and previous.report.incarnation == report.incarnation:
            if report.number <= previous.report.number:
                return False
        self._forget(report.host)
        self._received[report.host] = _ReceivedReport(
            report, self._clock.read_elapsed()
        )
        self._tally.add(report)
        return True

    def merge_summary(self, summary):
        """Store another data centre's summary; return whether it was newer."""
        if not self.merge_report(summary.totals):
            return False
        for report in summary.runners:
            self.merge_report(report)
        now = self._last_summary_at = self._clock.read_elapsed()
        oldest = now - REPORT_LIFETIME_SECONDS
        self._summarized_at = {
            name: at for name, at in self._summarized_at.items() if at >= oldest
        }
        self._summarized_at.update(dict.fromkeys(summary.hosts, now))
        return True

    def list_reports(self):
        """Return the reports and totals of others that have not expired."""
        self._expire()
        return [received.report for received in self._received.values()]

    def list_failures(self):
        """Return ``{name: Evidence}`` of each report and totals with failures."""
        self._expire()
        reports = (received.report for received in self._received.values())
        return [report.failures for report in reports if report.failures]

    def list_recent_reports(self):
        """Return ``(HostReport, age in seconds)`` for each host that is reporting."""
        now = self._clock.read_elapsed()
        return [
            (received.report, now - received.received_at)
            for host, received in self._received.items()
            if self.is_reporting(host)
        ]

    @property
    def has_summaries(self):
        """Whether other data centres' loads come as summaries, later than reports."""
        oldest = self._clock.read_elapsed() - REPORT_LIFETIME_SECONDS
        return self._last_summary_at >= oldest

    def count_reporting_hosts(self):
        """Return how many other hosts have reported or been named in a summary."""
        self._expire()
        return len(self._received.keys() | self._summarized_at.keys())

    def count_reports(self):
        """Return how many reports and totals of others have not expired."""
        self._expire()
        return len(self._received)

    def is_reporting(self, host):
        """Return whether a host's admissions are known up to the present."""
        return self.has_reported_since(
            host, self._clock.read_elapsed() - REPORTING_SECONDS
        )

    def has_reported_since(self, host, since):
        """Return whether a host has reported, or been summarized, since a time.

        Parameters
        ----------
        host : str
        since : float
            Elapsed time.
        """
        received = self._received.get(host)
        if received is not None and received.received_at >= since:
            return True
        return self._summarized_at.get(host, float("-inf")) >= since

    def get_own(self, endpoint):
        """Return the `EndpointLoad` that this host alone puts on an endpoint."""
        count = self._own_counts.get(endpoint)
        return EndpointLoad(count.online, count.batch) if count else NO_LOAD

    def measure(self, endpoint):
        """Return the `EndpointLoad` that all hosts together put on an endpoint."""
        self._expire()
        others = self._tally.measure(endpoint)
        own = self._own_counts.get(endpoint)
        if own is None:
            return others
        return EndpointLoad(own.online + others.online, own.batch + others.batch)

    def list_loads(self, endpoint):
        """Return ``{host: EndpointLoad}`` of the hosts that use an endpoint."""
        self._expire()
        loads = self._tally.list_loads(endpoint)
        loads[self.host] = self.get_own(endpoint)
        return {host: load for host, load in loads.items() if load.total}

    def list_hosts_with_items(self):
        """Return the names of the other hosts that have items waiting."""
        self._expire()
        return list(self._tally.hosts_with_items)

    def count_waiting_requests(self):
        """Return how many online requests wait for a slot, as far as reports say.

        Notes
        -----
        Of other data centres only the hosts at which some wait are known.
        """
        self._expire()
        return self.waiting + self._tally.waiting_requests

    def count_waiting_hosts(self):
        """Return how many hosts compete for freed slots, this one included."""
        self._expire()
        return 1 + self._tally.waiting_hosts

    def is_reported_unhealthy(self, endpoint):
        """Return whether several other hosts report an endpoint as unhealthy."""
        self._expire()
        return self._tally.count_unhealthy_reports(endpoint) >= UNHEALTHY_QUORUM

    def make_report(self, admitted, unhealthy, copies, **fields):
        """Return this host's next `HostReport`.

        Parameters
        ----------
        admitted : dict of str to int
            Admitted requests by client account.
        unhealthy : iterable of str
            Names of endpoints.
        copies : dict of str to CopyReport
            By topic.
        **fields
            Further fields of `HostReport`.
        """
        self._number += 1
        return HostReport(
            self.host,
            self._incarnation,
            self._number,
            {name: self.get_own(name) for name in self._own_counts},
            admitted,
            self.waiting,
            unhealthy,
            copies,
            self.items_waiting,
            **fields,
        )

    def _expire(self):
        """Remove reports that are older than `REPORT_LIFETIME_SECONDS`."""
        oldest = self._clock.read_elapsed() - REPORT_LIFETIME_SECONDS
        while self._received:
            host, received = next(iter(self._received.items()))
            if received.received_at >= oldest:
                return
            self._forget(host)

    def _forget(self, host):
        received = self._received.pop(host, None)
        if received is not None:
            self._tally.remove(received.report)
