"""The summary that a data centre sends to the others, and its encoding.

A summary is one datagram. It contains totals, never differences, so lost, duplicated
and reordered datagrams do no harm.
"""

import orjson
from attrs import field, frozen

from .copies import read_copies, write_copies
from .reports import (
    EndpointLoad,
    HostReport,
    ReportError,
    read_failures,
    write_failures,
)

__all__ = ["DataCentreSummary", "DataCentreTotals"]

FORMAT = "summary 3"


@frozen
class DataCentreTotals:
    """Sums over the hosts of a data centre; can be used like the report of one host.

    Parameters
    ----------
    data_centre : str
    aggregator, aggregator_incarnation : str
        Name of the host that computed the sums, and identifier of its process.
    number : int
        Number of the summary; increases with each one of an incarnation.
    loads : dict of str to EndpointLoad
        By endpoint's name, without those in the runners' own reports.
    admitted : dict of str to int
        Requests admitted there, as counted by the aggregator since its start, by client
        account.
    waiting_hosts : int
        Hosts at which online requests wait.
    unhealthy : tuple of str
        Endpoints that hosts there report as unhealthy, repeated for each such host
        up to the quorum.
    copies : dict of str to CopyReport
        By topic, the freshest copy of any host there.
    crashes : dict of str to int
        Crashes of endpoints by fingerprint of the request that ran there.
    departures : dict of str to int
        Endpoints that are leaving: the start of the process, in milliseconds since
        the Unix epoch, by name.
    failures : dict of str to Evidence
        Sums of the failures that the hosts there report, by endpoint.
    """

    data_centre = field()
    aggregator = field()
    aggregator_incarnation = field()
    number = field()
    loads = field(factory=dict)
    admitted = field(factory=dict)
    waiting_hosts = field(default=0)
    unhealthy = field(default=(), converter=tuple)
    copies = field(factory=dict)
    crashes = field(factory=dict)
    departures = field(factory=dict)
    failures = field(factory=dict)
    items_waiting = 0
    reaches_store = False

    @property
    def host(self):
        """Name under which receivers store the totals; no host can have it."""
        return f"@{self.data_centre}"

    @property
    def waiting(self):
        """Least number of online requests that wait there."""
        return self.waiting_hosts

    @property
    def incarnation(self):
        """Identifier of the aggregator's process, since each keeps its own counts."""
        return f"{self.aggregator}#{self.aggregator_incarnation}"


@frozen
class DataCentreSummary:
    """Summary of one data centre by one of its hosts.

    Parameters
    ----------
    totals : DataCentreTotals
    hosts : tuple of str
        Names of the hosts that are reporting to the aggregator, itself included.
    runners : tuple of HostReport
        Reports of those hosts that run batch items, with loads and waiting items.
    """

    totals = field()
    hosts = field(default=(), converter=tuple)
    runners = field(default=(), converter=tuple)

    @classmethod
    def from_value(cls, value):
        """Decode a summary from its parsed JSON.

        Raises
        ------
        ReportError
            If the value is not a summary of this format.
        """
        try:
            version, name, aggregator, incarnation, number, *value = value
            if version != FORMAT:
                raise ReportError(f"Summary format {version!r} is not supported.")
            loads, admitted, waiting, unhealthy, copies, *value = value
            crashes, departures, failures, hosts, runners = value
            totals = DataCentreTotals(
                str(name),
                str(aggregator),
                str(incarnation),
                int(number),
                _read_loads(loads),
                {str(n): int(count) for n, count in admitted},
                int(waiting),
                [str(n) for n in unhealthy],
                read_copies(copies),
                {str(n): int(count) for n, count in crashes},
                {str(n): int(born) for n, born in departures},
                read_failures(failures),
            )
            return cls(totals, [str(n) for n in hosts], map(_read_runner, runners))
        except (ValueError, TypeError, ArithmeticError) as error:
            raise ReportError(f"The datagram is not a summary: {error}.") from error

    def to_bytes(self):
        """Encode the summary as JSON for a datagram."""
        totals = self.totals
        return orjson.dumps(
            [
                FORMAT,
                totals.data_centre,
                totals.aggregator,
                totals.aggregator_incarnation,
                totals.number,
                _write_loads(totals.loads),
                list(totals.admitted.items()),
                totals.waiting_hosts,
                totals.unhealthy,
                write_copies(totals.copies),
                list(totals.crashes.items()),
                list(totals.departures.items()),
                write_failures(totals.failures),
                self.hosts,
                [_write_runner(report) for report in self.runners],
            ]
        )


def _read_loads(rows):
    return {str(name): EndpointLoad(int(o), int(b)) for name, o, b in rows}


def _write_loads(loads):
    return [[name, load.online, load.batch] for name, load in loads.items()]


def _read_runner(row):
    host, incarnation, number, loads, items_waiting, reaches_store = row
    return HostReport(
        str(host),
        str(incarnation),
        int(number),
        _read_loads(loads),
        items_waiting=int(items_waiting),
        reaches_store=bool(reaches_store),
    )


def _write_runner(report):
    return [
        report.host,
        report.incarnation,
        report.number,
        _write_loads(report.loads),
        report.items_waiting,
        report.reaches_store,
    ]
