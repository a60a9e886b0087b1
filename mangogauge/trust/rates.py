"""Long-term rates of endpoints, from the intervals between events of responses.

Load that this handles: dozens of hosts, each of which sends an endpoint one request in
ten seconds, endpoints of unequal speed, and endpoints that are slow for a moment.

Each host corrects its estimate by each interval that it observes, and averages it with
the estimates that others send. So all hosts' estimates follow the observations of all
hosts, without a host that collects them [1]_. Intervals grow with the load of the
endpoint. The growth is estimated for each service, and intervals are converted to
those at half load before they are compared.

References
----------
.. [1] S. Kar and J. M. F. Moura, "Consensus + innovations distributed inference over
   networks", IEEE Signal Processing Magazine, 2013.
"""

import math

from attrs import define, field

from ..telemetry import get_logger
from .rate_news import (
    MAX_COUNT,
    MAX_INTERVAL_SECONDS,
    MAX_ROWS,
    MIN_INTERVAL_SECONDS,
    RateNews,
    RateRow,
)

__all__ = ["EndpointRates"]

MEMORY_SECONDS = 30.0
# Largest correction by one observation, as a logarithm. An endpoint that is much
# slower for a moment is handled by `compute_slowdowns`.
MAX_CORRECTION = 0.3
# Observations before corrections are limited, and before an estimate is used.
MIN_COUNT = 3.0
# Share of the slots in use to which intervals are converted.
REFERENCE_LOAD = 0.5
# Largest growth of the logarithm of the interval from no load to full load.
MAX_GROWTH = 3.0
# Pull of the growth towards 0 while there are few observations.
GROWTH_RIDGE = 0.2
# Ratios up to this are not distinguished from equal rates.
# Endpoints that are slow for moments differ by up to this for some minutes.
MAX_EQUAL_RATIO = 1.3
MAX_COST = 4.0
# Ratio below which an endpoint is logged as no longer slower.
MIN_LOGGED_RATIO = 1.1
MIN_ENDPOINTS = 3

log = get_logger("trust")


@define
class _Estimate:
    """Estimate of one endpoint's interval at the reference load.

    Attributes
    ----------
    log_interval : float
        Natural logarithm of the seconds.
    count : float
        Recent observations of this host and of those that it received rates from.
    """

    start_time_ms = field()
    log_interval = field()
    count = field()
    counted_at = field()
    observed_at = field(default=float("-inf"))

    def decay(self, now):
        """Reduce the weight of observations by their age."""
        self.count *= math.exp((self.counted_at - now) / MEMORY_SECONDS / 2)
        self.counted_at = now


@define
class _Growth:
    """Growth of the logarithm of intervals with the load, of one service."""

    products = field(default=0.0)
    squares = field(default=0.0)

    @property
    def slope(self):
        """Growth from no load to full load."""
        slope = self.products / (self.squares + GROWTH_RIDGE)
        return min(max(slope, 0.0), MAX_GROWTH)

    def note(self, load, residual):
        """Note how an interval deviates at a load relative to the reference load."""
        # Sums of about the last hundred observations.
        self.products = self.products * 0.99 + load * residual
        self.squares = self.squares * 0.99 + load * load


class EndpointRates:
    """Estimates of endpoints' rates by one host.

    Parameters
    ----------
    host : str
        Name of this host.
    clock : Clock
    random : random.Random
    """

    def __init__(self, host, clock, random):
        self._host = host
        self._clock = clock
        self._random = random
        self._estimates = {}
        self._growths = {}
        self._present = {}
        # Endpoints that were logged as slower.
        self._logged = set()

    def note(self, endpoint, interval, running):
        """Note an observed interval; return whether it is a possible measurement.

        Parameters
        ----------
        endpoint : FleetEndpoint
        interval : float
            Mean seconds between two events of a response.
        running : float
            Mean number of requests and items that ran there meanwhile.
        """
        if not MIN_INTERVAL_SECONDS <= interval <= MAX_INTERVAL_SECONDS:
            return False
        now = self._clock.read_elapsed()
        growth = self._growths.setdefault(endpoint.service, _Growth())
        load = min(running / endpoint.slots, 1.0) - REFERENCE_LOAD
        log_interval = math.log(interval)
        at_reference = log_interval - growth.slope * load
        estimate = self._find(endpoint.name, endpoint.start_time_ms)
        if estimate is None:
            self._estimates[endpoint.name] = _Estimate(
                endpoint.start_time_ms, at_reference, 1.0, now, now
            )
            return True
        estimate.decay(now)
        if estimate.count >= MIN_COUNT:
            residual = log_interval - estimate.log_interval
            growth.note(load, _limit(residual, 1.0))
        error = at_reference - estimate.log_interval
        if estimate.count >= MIN_COUNT:
            error = _limit(error, MAX_CORRECTION)
        since = now - estimate.observed_at
        weight = max(1 / (estimate.count + 1), 1 - math.exp(-since / MEMORY_SECONDS))
        estimate.log_interval += min(weight, 0.5) * error
        estimate.count = min(estimate.count + 1, MAX_COUNT)
        estimate.observed_at = now
        return True

    def merge(self, news):
        """Average this host's estimates with those of a `RateNews`."""
        if news.host == self._host:
            return
        now = self._clock.read_elapsed()
        for row in news.rows:
            self._merge_row(row, now)

    def make_news(self):
        """Return the `RateNews` of some endpoints, chosen at random."""
        now = self._clock.read_elapsed()
        names = [name for name in self._estimates if name in self._present]
        rows = []
        for name in self._random.sample(names, min(MAX_ROWS, len(names))):
            estimate = self._estimates[name]
            estimate.decay(now)
            interval = math.exp(estimate.log_interval)
            interval = min(max(interval, MIN_INTERVAL_SECONDS), MAX_INTERVAL_SECONDS)
            rows.append(RateRow(name, estimate.start_time_ms, interval, estimate.count))
        return RateNews(self._host, rows)

    def remove_old(self, endpoints):
        """Forget the endpoints that are gone, and those that were restarted.

        Parameters
        ----------
        endpoints : dict of str to FleetEndpoint
            All existing endpoints, by name.
        """
        self._present = {name: e.start_time_ms for name, e in endpoints.items()}
        self._estimates = {
            name: estimate
            for name, estimate in self._estimates.items()
            if self._present.get(name) == estimate.start_time_ms
        }
        self._logged &= self._present.keys()

    def compute_costs(self, names):
        """Return ``{name: float}`` of the slower of a service's endpoints.

        Parameters
        ----------
        names : iterable of str

        Returns
        -------
        dict
            Factors above 1 by which an endpoint takes longer than a fast one.
        """
        now = self._clock.read_elapsed()
        known = {}
        for name in names:
            estimate = self._estimates.get(name)
            if estimate is None:
                continue
            estimate.decay(now)
            if estimate.count >= MIN_COUNT:
                known[name] = estimate.log_interval
        if len(known) < MIN_ENDPOINTS:
            return {}
        # Not the fastest one, whose estimate may be too low, nor the median, which is
        # a slow one where most are slow.
        fast = sorted(known.values())[len(known) // 4]
        ratios = {name: math.exp(value - fast) for name, value in known.items()}
        costs = {
            name: min(ratio, MAX_COST)
            for name, ratio in ratios.items()
            if ratio > MAX_EQUAL_RATIO
        }
        self._log_changes(ratios, costs)
        return costs

    def _log_changes(self, ratios, costs):
        """Log which endpoints are taken as slower than others, and no longer are."""
        for name in costs.keys() - self._logged:
            self._logged.add(name)
            log.info(
                "endpoint slower than others",
                extra={"endpoint": name, "ratio": round(ratios[name], 2)},
            )
        for name in self._logged & (ratios.keys() - costs.keys()):
            # A ratio that varies about the bound is logged once.
            if ratios[name] < MIN_LOGGED_RATIO:
                self._logged.discard(name)
                log.info(
                    "endpoint no longer slower than others",
                    extra={"endpoint": name, "ratio": round(ratios[name], 2)},
                )

    def _find(self, name, start_time_ms):
        """Return the estimate of an endpoint's process, or None."""
        estimate = self._estimates.get(name)
        if estimate is None or estimate.start_time_ms != start_time_ms:
            return None
        return estimate

    def _merge_row(self, row, now):
        # Rows of endpoints that aren't in the directory would grow without bound.
        if self._present.get(row.endpoint) != row.start_time_ms or not row.count:
            return
        log_interval = math.log(row.interval)
        estimate = self._find(row.endpoint, row.start_time_ms)
        if estimate is None:
            self._estimates[row.endpoint] = _Estimate(
                row.start_time_ms, log_interval, row.count, now
            )
            return
        estimate.decay(now)
        share = min(row.count / (row.count + estimate.count), 0.5)
        estimate.log_interval += share * (log_interval - estimate.log_interval)
        estimate.count = max(estimate.count, row.count)


def _limit(value, bound):
    return min(max(value, -bound), bound)
