"""What runs at each endpoint, by this host's own counts and others' reports."""

from collections import OrderedDict

from attrs import define, field, frozen

from .reports import EndpointLoad, HostReport
from .tally import ReportTally

__all__ = ["ReportTable"]

# A report that is older says nothing any more.
REPORT_SECONDS = 1.5
# A host that has not been heard for so long may be admitting requests of which
# this one doesn't know.
HEARD_SECONDS = 0.6
UNHEALTHY_QUORUM = 2
NOTHING = EndpointLoad()


@frozen
class _Heard:
    """A report and when it came."""

    report = field()
    at = field()


@define
class _OwnCount:
    """What this host runs at one endpoint."""

    online = field(default=0)
    batch = field(default=0)


class ReportTable:
    """Counts of running work over the whole fleet.

    Parameters
    ----------
    host, incarnation : str
        Of this host.
    clock : Clock

    Attributes
    ----------
    host : str
    waiting : int
        Online requests that wait at this host for a free slot.
    items_waiting : int
        Batch items that wait here.
    """

    def __init__(self, host, incarnation, clock):
        self.host = host
        self._incarnation = incarnation
        self._clock = clock
        self._own = {}
        # In the order in which the reports came: the oldest end to count first.
        self._heard = OrderedDict()
        self._tally = ReportTally()
        # When a host of another data centre was last named in a summary.
        self._named_at = {}
        self._number = 0
        self.waiting = 0
        self.items_waiting = 0

    def begin(self, endpoint, batch=False):
        """Count a request, or an item, that is sent to an endpoint."""
        count = self._own.setdefault(endpoint, _OwnCount())
        if batch:
            count.batch += 1
        else:
            count.online += 1

    def end(self, endpoint, batch=False):
        """Count one as ended, however it did."""
        count = self._own[endpoint]
        if batch:
            count.batch -= 1
        else:
            count.online -= 1
        if not count.online and not count.batch:
            del self._own[endpoint]

    def merge_report(self, report):
        """Take another host's report, or totals; return whether they were news."""
        if report.host == self.host:
            return False
        known = self._heard.get(report.host)
        if known is not None and known.report.incarnation == report.incarnation:
            if report.number <= known.report.number:
                return False
        self._forget(report.host)
        self._heard[report.host] = _Heard(report, self._clock.read_elapsed())
        self._tally.add(report)
        return True

    def merge_summary(self, summary):
        """Take another data centre's summary; return whether it was news."""
        if not self.merge_report(summary.totals):
            return False
        for report in summary.runners:
            self.merge_report(report)
        now = self._clock.read_elapsed()
        oldest = now - REPORT_SECONDS
        self._named_at = {n: at for n, at in self._named_at.items() if at >= oldest}
        self._named_at.update(dict.fromkeys(summary.hosts, now))
        return True

    def list_reports(self):
        """Return the fresh reports and totals of others."""
        self._expire()
        return [heard.report for heard in self._heard.values()]

    def list_failures(self):
        """Return the ``{name: Evidence}`` of each report and totals that has some."""
        self._expire()
        reports = (heard.report for heard in self._heard.values())
        return [report.failures for report in reports if report.failures]

    def list_recent_reports(self):
        """Return ``(HostReport, seconds since it came)`` of hosts heard lately."""
        now = self._clock.read_elapsed()
        return [
            (heard.report, now - heard.at)
            for host, heard in self._heard.items()
            if self.is_reporting(host)
        ]

    def count_reporting_hosts(self):
        """Return how many other hosts have been heard lately, or heard of."""
        self._expire()
        return len(self._heard.keys() | self._named_at.keys())

    def count_reports(self):
        """Return how many others' reports and totals are fresh."""
        self._expire()
        return len(self._heard)

    def is_reporting(self, host):
        """Return whether a host's admissions are known up to now."""
        return self.has_reported_since(host, self._clock.read_elapsed() - HEARD_SECONDS)

    def has_reported_since(self, host, since):
        """Return whether a report or news of a host came after an elapsed time."""
        heard = self._heard.get(host)
        if heard is not None and heard.at >= since:
            return True
        return self._named_at.get(host, float("-inf")) >= since

    def get_own(self, endpoint):
        """Return the `EndpointLoad` of this host alone."""
        count = self._own.get(endpoint)
        return EndpointLoad(count.online, count.batch) if count else NOTHING

    def measure(self, endpoint):
        """Return the `EndpointLoad` of all hosts together."""
        self._expire()
        others = self._tally.measure(endpoint)
        own = self._own.get(endpoint)
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

    def count_waiting_hosts(self):
        """Return how many hosts share the slots that are freed; 1 at least."""
        self._expire()
        return 1 + self._tally.waiting_hosts

    def is_reported_unhealthy(self, endpoint):
        """Return whether several other hosts can't use an endpoint."""
        self._expire()
        return self._tally.count_unhealthy_reports(endpoint) >= UNHEALTHY_QUORUM

    def make_report(self, admitted, unhealthy, copies, **news):
        """Return this host's next `HostReport`.

        Parameters
        ----------
        admitted : dict of str to int
        unhealthy : iterable of str
        copies : dict of str to CopyReport
        **news
            Further fields of `HostReport`.
        """
        self._number += 1
        return HostReport(
            self.host,
            self._incarnation,
            self._number,
            {name: self.get_own(name) for name in self._own},
            admitted,
            self.waiting,
            unhealthy,
            copies,
            self.items_waiting,
            **news,
        )

    def _expire(self):
        """Forget hosts whose last report is too old."""
        oldest = self._clock.read_elapsed() - REPORT_SECONDS
        while self._heard:
            host, heard = next(iter(self._heard.items()))
            if heard.at >= oldest:
                return
            self._forget(host)

    def _forget(self, host):
        heard = self._heard.pop(host, None)
        if heard is not None:
            self._tally.remove(heard.report)
