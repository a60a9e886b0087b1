"""Sums over other hosts' reports, updated incrementally with each report.

Dozens of hosts report several times a second, and every request is a choice among
dozens of endpoints. Adding up all reports for each choice would cost time in
proportion to hosts times endpoints.
"""

from collections import Counter

from attrs import define, field

from .reports import EndpointLoad

__all__ = ["ReportTally"]

NO_LOAD = EndpointLoad()


@define
class _Total:
    """Load of one endpoint, by host and in total."""

    online = field(default=0)
    batch = field(default=0)
    by_host = field(factory=dict)

    def add(self, host, load):
        self.online += load.online
        self.batch += load.batch
        self.by_host[host] = load

    def remove(self, host):
        load = self.by_host.pop(host)
        self.online -= load.online
        self.batch -= load.batch


class ReportTally:
    """Sums over one report of each host.

    Attributes
    ----------
    waiting_hosts : int
        Hosts at which online requests wait for a free slot.
    waiting_requests : int
        Online requests that wait, one for each waiting host of a summary.
    hosts_with_items : set of str
        Hosts at which batch items wait.
    """

    def __init__(self):
        self._totals = {}
        self._unhealthy_reports = Counter()
        self.waiting_hosts = 0
        self.waiting_requests = 0
        self.hosts_with_items = set()

    def add(self, report):
        """Add a host's report; no other report of that host may be included."""
        for endpoint, load in report.loads.items():
            self._totals.setdefault(endpoint, _Total()).add(report.host, load)
        self._unhealthy_reports.update(report.unhealthy)
        self.waiting_hosts += report.waiting_hosts
        self.waiting_requests += report.waiting
        if report.items_waiting:
            self.hosts_with_items.add(report.host)

    def remove(self, report):
        """Subtract a report that was added before."""
        for endpoint in report.loads:
            total = self._totals[endpoint]
            total.remove(report.host)
            if not total.by_host:
                del self._totals[endpoint]
        self._unhealthy_reports -= Counter(report.unhealthy)
        self.waiting_hosts -= report.waiting_hosts
        self.waiting_requests -= report.waiting
        self.hosts_with_items.discard(report.host)

    def measure(self, endpoint):
        """Return the `EndpointLoad` of all these hosts together at an endpoint."""
        total = self._totals.get(endpoint)
        return EndpointLoad(total.online, total.batch) if total else NO_LOAD

    def list_loads(self, endpoint):
        """Return ``{host: EndpointLoad}`` of these hosts at an endpoint."""
        total = self._totals.get(endpoint)
        return dict(total.by_host) if total else {}

    def count_unhealthy_reports(self, endpoint):
        """Return how many of these hosts report an endpoint as unhealthy."""
        return self._unhealthy_reports.get(endpoint, 0)
