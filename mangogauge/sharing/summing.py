"""Sum up the reports of the hosts of one data centre.

With hundreds of hosts, each of which has changes to report at every request, not
every host can send its reports to all others. So a host sends them to all hosts of
its own data centre, and other data centres get only the sums. The number of datagrams
that a host receives then grows with the size of its data centre and with the number
of data centres, not with the number of all hosts.
"""

from collections import Counter

from attrs import evolve

from ..trust import NO_EVIDENCE
from .reports import EndpointLoad
from .summaries import DataCentreSummary, DataCentreTotals

__all__ = ["age_copies", "sum_up"]

# How often a summary repeats one unhealthy endpoint, once for each host that reports
# it; the receivers' quorum never needs more.
MAX_UNHEALTHY_REPORTS = 2


def sum_up(data_centre, own, reports, admitted, is_runner):
    """Return the `DataCentreSummary` of the hosts of one data centre.

    Parameters
    ----------
    data_centre : str
    own : HostReport
        Report of the aggregator.
    reports : iterable of HostReport
        Reports of the other hosts there, with the ages of their copies as of now.
    admitted : dict of str to int
        Requests admitted by all these hosts, by client account.
    is_runner : callable
        Called with a host's name; returns whether it runs batch items.
    """
    reports = [own, *reports]
    runners = [report for report in reports if is_runner(report.host)]
    others = [report for report in reports if not is_runner(report.host)]
    totals = DataCentreTotals(
        data_centre,
        own.host,
        own.incarnation,
        own.number,
        _sum_loads(others),
        admitted,
        sum(report.waiting_hosts for report in reports),
        _list_unhealthy(reports),
        _find_freshest(reports),
        dict(sum((Counter(report.crashes) for report in reports), Counter())),
        {name: born for report in reports for name, born in report.departures.items()},
        _sum_failures(reports),
    )
    return DataCentreSummary(totals, [report.host for report in reports], runners)


def age_copies(report, seconds):
    """Return a report with the ages of its copies increased by `seconds`."""
    copies = {
        topic: evolve(copy, age=copy.age + seconds)
        for topic, copy in report.copies.items()
    }
    return evolve(report, copies=copies)


def _sum_loads(reports):
    online, batch = Counter(), Counter()
    for report in reports:
        for name, load in report.loads.items():
            online[name] += load.online
            batch[name] += load.batch
    return {name: EndpointLoad(count, batch[name]) for name, count in online.items()}


def _sum_failures(reports):
    sums = {}
    for report in reports:
        for name, evidence in report.failures.items():
            sums[name] = sums.get(name, NO_EVIDENCE) + evidence
    return sums


def _list_unhealthy(reports):
    counts = Counter(name for report in reports for name in set(report.unhealthy))
    return [
        n
        for n, count in counts.items()
        for _ in range(min(count, MAX_UNHEALTHY_REPORTS))
    ]


def _find_freshest(reports):
    freshest = {}
    for report in reports:
        for topic, copy in report.copies.items():
            known = freshest.get(topic)
            if known is None or _rank_copy(copy) > _rank_copy(known):
                freshest[topic] = copy
    return freshest


def _rank_copy(copy):
    return copy.revision, -copy.age
