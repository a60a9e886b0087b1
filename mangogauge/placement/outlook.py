"""How long slots are expected to stay free of online requests.

Online demand may alternate between a low and a high level every few seconds. An item
that starts shortly before a rise is interrupted at once, so it is started only where
a slot stays free for long enough.
"""

import math
from functools import lru_cache

import xxhash

from ..forecast import DemandForecast
from ..telemetry import get_logger

__all__ = ["SlotOutlook"]

SAMPLE_SECONDS = 0.1
# Mean errors of the forecast that are added to a peak. Requests arrive independently,
# and a peak that fills all slots interrupts an item for each one above the mean.
MARGIN_ERRORS = 1.4
# When demand falls, the requests that run now end within this time. That a slot is free
# until then is known from the loads.
ENDING_SECONDS = 0.5
# Services that have been seen; each has a forecast of half a minute.
MAX_SERVICES = 256
MAX_CACHED_HASHES = 16_384

log = get_logger("placement")


class SlotOutlook:
    """Forecasts the online requests of each service from reported loads.

    Parameters
    ----------
    directory : EndpointDirectory
    eligibility : Eligibility
    report_table : ReportTable
    clock : Clock

    Notes
    -----
    Online requests are expected to be spread over the endpoints of a service by their
    slots. A share that isn't a whole number is rounded up at some endpoints and down
    at others by a hash, so that the sum is right and all hosts agree.
    """

    def __init__(self, directory, eligibility, report_table, clock):
        self._directory = directory
        self._eligibility = eligibility
        self._report_table = report_table
        self._clock = clock
        self._forecasts = {}
        self._slots = {}
        self._sampled_at = float("-inf")
        self._peaks = {}
        self._periodic = {}

    def sample(self):
        """Record the present demand, at most once per `SAMPLE_SECONDS`.

        Returns
        -------
        bool
            Whether it was recorded.
        """
        now = self._clock.read_elapsed()
        if now < self._sampled_at + SAMPLE_SECONDS:
            return False
        self._sampled_at = now
        self._peaks.clear()
        online = self._measure()
        running = sum(online.values())
        waiting = self._report_table.count_waiting_requests()
        for service, count in online.items():
            forecast = self._forecasts.get(service)
            if forecast is None:
                if len(self._forecasts) >= MAX_SERVICES:
                    continue
                forecast = self._forecasts[service] = DemandForecast()
            # Reports don't say which service a waiting request is for.
            share = waiting * count / running if running else 0.0
            forecast.note(now, count + share)
            self._log_change(service, forecast)
        return True

    def _log_change(self, service, forecast):
        """Log when a service's demand is found to have a period, or no longer has."""
        if forecast.is_periodic == self._periodic.get(service, False):
            return
        self._periodic[service] = forecast.is_periodic
        log.info(
            "demand has a period" if forecast.is_periodic else "demand has no period",
            extra={
                "service": service,
                "period": round(forecast.period_seconds or 0.0, 2),
                "level": round(forecast.level, 1),
                "swing": round(forecast.swing, 1),
                "error": round(forecast.error, 1),
            },
        )

    def _measure(self):
        """Update the slots of each service; return ``{service: online requests}``."""
        online, slots = {}, {}
        for endpoint in self._directory.list_endpoints():
            if not self._eligibility.is_eligible(endpoint):
                continue
            service = endpoint.service
            load = self._report_table.measure(endpoint.name)
            online[service] = online.get(service, 0) + load.online
            slots[service] = slots.get(service, 0) + endpoint.slots
        self._slots = slots
        return online

    def list_forecasts(self):
        """Return ``(service, DemandForecast)`` for each service with endpoints."""
        return [
            (name, forecast)
            for name, forecast in self._forecasts.items()
            if name in self._slots
        ]

    def get_period(self, service):
        """Return the period of a service's demand in seconds, or None."""
        forecast = self._forecasts.get(service)
        return None if forecast is None else forecast.period_seconds

    def predict_peak(self, service, seconds, with_margin=True):
        """Return the most online requests to be expected within some seconds.

        Parameters
        ----------
        service : str
        seconds : float
        with_margin : bool, optional
            Whether to add the forecast's error.
        """
        if service not in self._forecasts:
            return 0.0
        key = (service, with_margin, math.ceil(seconds / SAMPLE_SECONDS))
        if key not in self._peaks:
            now = self._clock.read_elapsed()
            seconds = key[2] * SAMPLE_SECONDS
            forecast = self._forecasts[service]
            is_falling = forecast.is_falling(now)
            after = min(ENDING_SECONDS, seconds / 2) if is_falling else 0.0
            peak = forecast.predict_peak(now, seconds, after)
            margin = self._compute_margin(service, peak) if with_margin else 0.0
            self._peaks[key] = peak + margin
        return self._peaks[key]

    def _compute_margin(self, service, peak):
        """Return the requests by which a peak may exceed its forecast.

        Notes
        -----
        In proportion to the peak: few requests arrive in a trough, and items that
        end there make room for them.
        """
        forecast = self._forecasts[service]
        level = max(1.0, forecast.level)
        return MARGIN_ERRORS * forecast.error * peak / level

    def find_demand_limit(self, endpoint):
        """Return the most online requests that leave a slot for one more item there.

        Parameters
        ----------
        endpoint : FleetEndpoint

        Returns
        -------
        float
            Requests of the whole service, to be compared with `predict_peak`. Infinite
            without a clear period: nothing says then when demand will rise.
        """
        if self.get_period(endpoint.service) is None:
            return math.inf
        items = self._report_table.measure(endpoint.name).batch
        online = endpoint.slots + _hash_to_unit(endpoint.name) - items - 1
        slots = self._slots.get(endpoint.service) or endpoint.slots
        return online * slots / max(1, endpoint.slots)


@lru_cache(MAX_CACHED_HASHES)
def _hash_to_unit(name):
    """Return a number from 0 to 1, excluding 1, by an endpoint's name."""
    return xxhash.xxh3_64_intdigest(name.encode()) / 2**64
