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
LEAST_USUAL_SHARE = 0.03
LEAST_FAILURES = 2
SUSPICION_LIMIT = 2.5
LARGEST_SUSPICION = 12.0
# Endpoints without which a service can do at most, and a data centre.
SERVICE_SHARE = 0.4
DATA_CENTRE_SHARE = 0.67
LEAST_PEERS = 3


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
    if len(evidence) < LEAST_PEERS:
        return []
    shares = [e.bad / e.total if e.total else 0.0 for e in evidence.values()]
    usual = max(LEAST_USUAL_SHARE, statistics.median(shares))
    suspicions = {
        name: measure_suspicion(found, usual)
        for name, found in evidence.items()
        if name not in ejected and found.bad >= LEAST_FAILURES
    }
    worst_first = sorted(suspicions, key=suspicions.get, reverse=True)
    suspected = [n for n in worst_first if suspicions[n] >= SUSPICION_LIMIT]
    return _bound(suspected, data_centres, ejected)


def measure_suspicion(evidence, usual):
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
    usual = min(usual, 0.99)
    n = evidence.total
    if evidence.bad <= n * usual:
        return 0.0
    if _bound_suspicion(n, evidence.bad, usual) >= LARGEST_SUSPICION:
        return LARGEST_SUSPICION
    fewer = sum(_measure_chance(n, k, usual) for k in range(evidence.bad))
    return -math.log10(max(1 - fewer, 10**-LARGEST_SUSPICION))


def _bound_suspicion(n, bad, usual):
    """Return what the suspicion is at least, by Chernoff's bound."""
    share = bad / n
    distance = share * math.log(share / usual)
    if share < 1:
        distance += (1 - share) * math.log((1 - share) / (1 - usual))
    return n * distance / math.log(10)


def _measure_chance(n, k, share):
    """Return the chance of `k` failures among `n`; by logarithms, for a large `n`."""
    ways = math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)
    return math.exp(ways + k * math.log(share) + (n - k) * math.log1p(-share))


def _bound(suspected, data_centres, ejected):
    """Return those that can be ejected without losing too large a part."""
    sizes = Counter(data_centres.values())
    lost = Counter(data_centres[name] for name in ejected if name in data_centres)
    left = int(len(data_centres) * SERVICE_SHARE) - sum(lost.values())
    chosen = []
    for name in suspected:
        place = data_centres[name]
        most = max(1, int(sizes[place] * DATA_CENTRE_SHARE))
        if len(chosen) < left and lost[place] < most:
            chosen.append(name)
            lost[place] += 1
    return chosen
