"""What the hosts of one data centre tell those of the others, and its form on the wire.

A summary is one datagram. It holds totals, never differences, so that one that is
lost, doubled or overtaken does no harm.
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
    """Sums over the hosts of a data centre; counts like one host's report.

    Parameters
    ----------
    data_centre : str
    aggregator, aggregator_incarnation : str
        The host that added them up, and its start.
    number : int
        Grows with each summary of one incarnation.
    loads : dict of str to EndpointLoad
        By endpoint's name, but for what runners' own reports say.
    admitted : dict of str to int
        Requests that the aggregator knows to have been admitted there since its start,
        by client account.
    waiting_hosts : int
        Hosts at which online requests wait.
    unhealthy : tuple of str
        Endpoints that hosts there can't use, each as often as there are such hosts.
    copies : dict of str to CopyReport
        By topic, the freshest copy that a host there has.
    crashes : dict of str to int
        Crashes of endpoints by fingerprint of the request that ran there.
    departures : dict of str to int
        Endpoints that are leaving, with the start of their process.
    failures : dict of str to Evidence
        Sums of what the hosts there report of endpoints that failed.
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
        """A name that no host has."""
        return f"@{self.data_centre}"

    @property
    def incarnation(self):
        """Tells apart who added them up: each aggregator counts on its own."""
        return f"{self.aggregator}#{self.aggregator_incarnation}"


@frozen
class DataCentreSummary:
    """One data centre, as one of its hosts sums it up.

    Parameters
    ----------
    totals : DataCentreTotals
    hosts : tuple of str
        Names of the hosts there that the aggregator hears, itself included.
    runners : tuple of HostReport
        What each of those that run batch items reports of them.
    """

    totals = field()
    hosts = field(default=(), converter=tuple)
    runners = field(default=(), converter=tuple)

    @classmethod
    def from_value(cls, value):
        """Decode what `to_bytes` encoded, parsed as JSON.

        Raises
        ------
        ReportError
            If it is no summary.
        """
        try:
            form, name, aggregator, incarnation, number, *value = value
            if form != FORMAT:
                raise ReportError(f"Summaries of format {form!r} are not known.")
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
            raise ReportError(f"The datagram is no summary: {error}.") from error

    def to_bytes(self):
        """Encode as a datagram."""
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
