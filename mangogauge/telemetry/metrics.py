"""Metrics of one host."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["HostMetrics"]

LATENCY_BUCKETS = (0.005, 0.01, 0.02, 0.038, 0.05, 0.1, 0.2, 0.4, 0.6, 0.86) + (
    1.2,
    2.0,
    4.0,
    8.0,
    15.0,
    30.0,
    60.0,
    120.0,
)


class HostMetrics:
    """All metrics of a host, in a registry of their own.

    Notes
    -----
    A registry for each instance lets several hosts live in one process, as
    in ``mangogauge demo``.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        labels = ["route", "client_account"]
        self.requests = Counter(
            "mangogauge_requests",
            "Requests by outcome.",
            [*labels, "outcome"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "mangogauge_refusals",
            "Refusals by code.",
            [*labels, "code"],
            registry=self.registry,
        )
        self.duration = Histogram(
            "mangogauge_request_seconds",
            "Time to the whole answer.",
            labels,
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.first_token = Histogram(
            "mangogauge_first_token_seconds",
            "Time to the first piece of the answer.",
            labels,
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.between_tokens = Histogram(
            "mangogauge_between_tokens_seconds",
            "Time between two pieces of a streamed answer.",
            labels,
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.refused_within_rate = Counter(
            "mangogauge_refused_within_rate",
            "Refusals for rate although the client account was within it.",
            labels,
            registry=self.registry,
        )
        self.batch_jobs = Counter(
            "mangogauge_batch_jobs",
            "Batch jobs that ended, in_time or late.",
            ["client_account", "outcome"],
            registry=self.registry,
        )
        self.attempts = Counter(
            "mangogauge_attempts",
            "Attempts at endpoints by outcome.",
            ["endpoint", "outcome"],
            registry=self.registry,
        )
        self.batch_items = Counter(
            "mangogauge_batch_items",
            "Batch items by outcome.",
            ["client_account", "outcome"],
            registry=self.registry,
        )
        self.batch_jobs_at_risk = Gauge(
            "mangogauge_batch_jobs_at_risk",
            "Batch jobs that this host last saw to be missing their due time.",
            ["client_account"],
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "mangogauge_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )

    def render(self):
        """Return the text that Prometheus reads, as bytes."""
        return generate_latest(self.registry)
