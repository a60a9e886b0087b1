"""Detection of endpoints that fail more often than the others of their service.

An endpoint is an outlier if its number of failures is improbable for an endpoint like
the others: by the binomial distribution, with the median failure share of all as the
baseline. If most endpoints fail, the median is high and none is an outlier.

References
----------
.. [1] N. Hayashibara et al., "The φ accrual failure detector", SRDS 2004: suspicion
   as the negative decimal logarithm of a probability instead of a boolean.
"""

import math
import statistics
from collections import Counter

__all__ = ["find_outliers", "measure_suspicion"]

# Minimum baseline share of failures, used even if no endpoint failed.
MIN_BASELINE_SHARE = 0.03
MIN_FAILURES = 2
SUSPICION_LIMIT = 2.5
MAX_SUSPICION = 12.0
# Largest shares of endpoints that may be ejected of a service and a data centre.
MAX_SERVICE_SHARE = 0.4
MAX_DATA_CENTRE_SHARE = 0.67
MIN_PEERS = 3


def find_outliers(evidence, data_centres, ejected=()):
    """Return the endpoints of a service to eject now, the worst first.

    Parameters
    ----------
    evidence : dict of str to Evidence
        Evidence on each endpoint of the service, by name.
    data_centres : dict of str to str
        Data centre of each endpoint.
    ejected : collection of str
        Names of endpoints already ejected, which count towards the limits.

    Returns
    -------
    list of str
        Names of endpoints.
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
    """Return how improbable an endpoint's failures are at the baseline share.

    Parameters
    ----------
    evidence : Evidence
    baseline : float
        Baseline share of failures, above 0 and below 1.

    Returns
    -------
    float
        Negative decimal logarithm of the probability of as many or more failures,
        at most `MAX_SUSPICION`; 0 if the share is at or below the baseline.

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
    """Return a lower bound of the suspicion, by the Chernoff bound."""
    share = bad / n
    distance = share * math.log(share / baseline)
    if share < 1:
        distance += (1 - share) * math.log((1 - share) / (1 - baseline))
    return n * distance / math.log(10)


def _compute_probability(n, k, share):
    """Return the binomial probability of `k` failures among `n`.

    Computed by logarithms to avoid an overflow at a large `n`.
    """
    log_combinations = math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)
    return math.exp(
        log_combinations + k * math.log(share) + (n - k) * math.log1p(-share)
    )


def _limit_ejections(suspected, data_centres, ejected):
    """Return the suspected endpoints that the ejection limits allow to eject."""
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
