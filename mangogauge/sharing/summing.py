"""Sum up what the hosts of this data centre report.

The load this answers: hundreds of hosts, each of which has something to report at
every request. Within a data centre each tells all others; other data centres hear
only the sums, so what a host hears grows with its own data centre and with the
number of the others, not with all hosts.
"""

from collections import Counter

from attrs import evolve

from ..trust import NO_EVIDENCE
from .reports import EndpointLoad
from .summaries import DataCentreSummary, DataCentreTotals

__all__ = ["age_copies", "sum_up"]

# As many hosts that shun an endpoint are told of as are needed to be believed.
UNHEALTHY_QUORUM_REPORTS = 2


def sum_up(data_centre, own, reports, admitted, is_runner):
    """Return the `DataCentreSummary` of the hosts of one data centre.

    Parameters
    ----------
    data_centre : str
    own : HostReport
        Of the host that sums up.
    reports : iterable of HostReport
        Of the others that it hears there, the ages of their copies as of now.
    admitted : dict of str to int
        Requests admitted by all of them, by client account.
    is_runner : callable
        Whether a host of this name runs batch items.
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
    """Return a report whose copies are older by so many seconds."""
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
        for name, found in report.failures.items():
            sums[name] = sums.get(name, NO_EVIDENCE) + found
    return sums


def _list_unhealthy(reports):
    counts = Counter(name for report in reports for name in set(report.unhealthy))
    return [
        n
        for n, count in counts.items()
        for _ in range(min(count, UNHEALTHY_QUORUM_REPORTS))
    ]


def _find_freshest(reports):
    freshest = {}
    for report in reports:
        for topic, copy in report.copies.items():
            known = freshest.get(topic)
            if known is None or _order_copies(copy) > _order_copies(known):
                freshest[topic] = copy
    return freshest


def _order_copies(copy):
    return copy.revision, -copy.age
