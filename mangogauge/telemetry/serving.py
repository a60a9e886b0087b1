"""Metrics of a host that serves a fleet from the platform's store."""

from collections import Counter

import prometheus_client as prometheus

from .metrics import LATENCY_BUCKETS

__all__ = ["ServingMetrics"]


class ServingMetrics:
    """Counters and histograms of one host.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
    """

    def __init__(self):
        self.registry = prometheus.CollectorRegistry()
        self._calls = Counter()
        self.requests = self._count(
            "requests", "Requests by outcome.", "route", "outcome"
        )
        self.refusals = self._count("refusals", "Refusals by code.", "route", "code")
        self.budget_waits = self._count(
            "budget_waits", "Requests that waited for budget, by outcome.", "outcome"
        )
        self.budget_refusals = self._count(
            "budget_refusals",
            "Requests without budget, on arrival or after a wait.",
            "at",
        )
        self.request_seconds = self._time(
            "request_seconds", "Time to the whole answer.", "route"
        )
        self.first_piece = self._time(
            "first_piece_seconds", "Time to the first piece of an answer.", "route"
        )
        self.attempt_failures = self._count(
            "attempt_failures", "Failed attempts by how far they got.", "progress"
        )
        self.store_calls = self._count(
            "store_calls", "Calls to the store; status 0 for none.", "call", "status"
        )
        self.copies_read = self._count(
            "copies_read",
            "Reads of the store for this host's copies; newest, copy or failed.",
            "prefix",
            "outcome",
        )
        self.writes_refused = self._count(
            "writes_refused", "Writes of jobs' progress that the store refused."
        )
        self.items = self._count("items", "Batch items by outcome.", "outcome")
        self.jobs = self._count("jobs", "Batch jobs by outcome.", "outcome")
        self.items_running = self._gauge("items_running", "Items that run.")
        self.items_waiting = self._gauge("items_waiting", "Items that wait here.")
        self.endpoints_barred = self._gauge(
            "endpoints_barred", "Endpoints that get no work but trials."
        )
        self.endpoints_indirect = self._gauge(
            "endpoints_indirect", "Endpoints that this host doesn't reach directly."
        )
        self.endpoints_limited = self._gauge(
            "endpoints_limited", "Endpoints that have announced a limit."
        )
        self.data_centres_evacuated = self._gauge(
            "data_centres_evacuated", "Data centres that are evacuated."
        )
        self.endpoints_ineligible = self._gauge(
            "endpoints_ineligible", "Endpoints that get no work, by reason.", "reason"
        )
        self.endpoints_cold = self._gauge(
            "endpoints_cold", "Endpoints that are cold, so get few requests a second."
        )
        self.endpoints_slower = self._gauge(
            "endpoints_slower", "Endpoints whose long-term rate is below others'."
        )
        self.parts_quarantined = self._gauge(
            "parts_quarantined", "Parts of prompts that are kept from endpoints."
        )
        self.lines_dropped = self._count(
            "log_lines_dropped", "Log lines that could not be written."
        )
        self.configuration = self._gauge(
            "configuration_version", "Version of the configuration in force."
        )

        self.forecasts = self._gauge(
            "forecast_requests",
            "Forecast of online requests: level, peak of the next 2.5 s, mean error.",
            "service",
            "kind",
        )
        self.forecast_period = self._gauge(
            "forecast_period_seconds",
            "Period of online requests; 0 if they have no clear one.",
            "service",
        )

    def render(self):
        """Return the text that Prometheus reads, as bytes."""
        return prometheus.generate_latest(self.registry)

    def note_forecast(self, service, level, peak, error, period_seconds):
        """Export the forecast of a service's online requests."""
        for kind, value in (("level", level), ("peak", peak), ("error", error)):
            self.forecasts.labels(service, kind).set(value)
        self.forecast_period.labels(service).set(period_seconds)

    def note_store_call(self, call, status):
        """Count a call to the store."""
        self.store_calls.labels(call, str(status)).inc()
        self._calls[call] += 1

    def note_ineligible(self, reasons):
        """Set the number of ineligible endpoints by their `IneligibilityReason`."""
        self.endpoints_ineligible.clear()
        for reason, count in reasons.items():
            self.endpoints_ineligible.labels(reason.value).set(count)

    def take_store_calls(self):
        """Return ``{call: int}``: calls since the last time this was asked."""
        calls, self._calls = self._calls, Counter()
        return dict(calls)

    def _count(self, name, text, *labels):
        return prometheus.Counter(
            f"mangogauge_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name, text, *labels):
        return prometheus.Gauge(
            f"mangogauge_{name}", text, labels, registry=self.registry
        )

    def _time(self, name, text, *labels):
        return prometheus.Histogram(
            f"mangogauge_{name}",
            text,
            labels,
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
