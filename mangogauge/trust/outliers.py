"""Which endpoints of a service fail more often than their peers.

An endpoint stands out if as many failures would hardly come by chance, were it
like its peers: by the binomial distribution, with the median of all as the usual
share. Where most of them fail, the median is high and none stands out.

References
----------
.. [1] N. Hayashibara et al., "The φ accrual failure detector", SRDS 2004: suspicion
   as the negative decimal logarithm of a chance, instead of yes or no.
"""

import math
import statistics
from collections import Counter

__all__ = ["find_outliers", "measure_suspicion"]

# Share of failures that is usual even where no peer has had one.
MIN_BASELINE_SHARE = 0.03
MIN_FAILURES = 2
SUSPICION_LIMIT = 2.5
MAX_SUSPICION = 12.0
# Endpoints without which a service can do at most, and a data centre.
MAX_SERVICE_SHARE = 0.4
MAX_DATA_CENTRE_SHARE = 0.67
MIN_PEERS = 3


def find_outliers(evidence, data_centres, ejected=()):
    """Return the endpoints of a service that should be ejected now, the worst first.

    Parameters
    ----------
    evidence : dict of str to Evidence
        Of each endpoint of the service, by name.
    data_centres : dict of str to str
        Where each endpoint is.
    ejected : collection of str
        Endpoints that are ejected already; they count towards the bounds.

    Returns
    -------
    list of str
    """
    if len(evidence) < MIN_PEERS:
        return []
    shares = [e.bad / e.total if e.total else 0.0 for e in evidence.values()]
    baseline = max(MIN_BASELINE_SHARE, statistics.median(shares))
    suspicions = {
        name: measure_suspicion(found, baseline)
        for name, found in evidence.items()
        if name not in ejected and found.bad >= MIN_FAILURES
    }
    worst_first = sorted(suspicions, key=suspicions.get, reverse=True)
    suspected = [n for n in worst_first if suspicions[n] >= SUSPICION_LIMIT]
    return _limit_ejections(suspected, data_centres, ejected)


def measure_suspicion(evidence, baseline):
    """Return how unlikely so many failures are at an endpoint like its peers.

    Parameters
    ----------
    evidence : Evidence
    usual : float
        Share of failures that is usual, above 0 and below 1.

    Returns
    -------
    float
        Negative decimal logarithm of the chance of as many or more; 0 if they are
        no more than usual.

    Examples
    --------
    >>> from mangogauge.trust import Evidence
    >>> round(measure_suspicion(Evidence(answered=1, failed=1), 0.1), 2)
    0.72
    """
    baseline = min(baseline, 0.99)
    n = evidence.total
    if evidence.bad <= n * baseline:
        return 0.0
    if _compute_suspicion_bound(n, evidence.bad, baseline) >= MAX_SUSPICION:
        return MAX_SUSPICION
    fewer = sum(_compute_probability(n, k, baseline) for k in range(evidence.bad))
    return -math.log10(max(1 - fewer, 10**-MAX_SUSPICION))


def _compute_suspicion_bound(n, bad, baseline):
    """Return what the suspicion is at least, by Chernoff's bound."""
    share = bad / n
    distance = share * math.log(share / baseline)
    if share < 1:
        distance += (1 - share) * math.log((1 - share) / (1 - baseline))
    return n * distance / math.log(10)


def _compute_probability(n, k, share):
    """Return the chance of `k` failures among `n`; by logarithms, for a large `n`."""
    log_combinations = math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)
    return math.exp(
        log_combinations + k * math.log(share) + (n - k) * math.log1p(-share)
    )


def _limit_ejections(suspected, data_centres, ejected):
    """Return those that can be ejected without losing too large a part."""
    sizes = Counter(data_centres.values())
    lost = Counter(data_centres[name] for name in ejected if name in data_centres)
    remaining = int(len(data_centres) * MAX_SERVICE_SHARE) - sum(lost.values())
    chosen = []
    for name in suspected:
        data_centre = data_centres[name]
        limit = max(1, int(sizes[data_centre] * MAX_DATA_CENTRE_SHARE))
        if len(chosen) < remaining and lost[data_centre] < limit:
            chosen.append(name)
            lost[data_centre] += 1
    return chosen
