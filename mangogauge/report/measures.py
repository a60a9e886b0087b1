"""Which metrics tell good from bad, for each kind of objective."""

from abc import ABC, abstractmethod

from attrs import field, frozen

from ..settings import ObjectiveKind

__all__ = ["Counts", "MEASURES", "Measure"]

# Outcomes that are the system's doing; a caller's mistakes burn no budget.
SYSTEM_OUTCOMES = (
    "broken",
    "configuration_stale",
    "internal_error",
    "endpoint_error",
    "endpoint_failed",
    "keys_stale",
    "outcome_unknown",
    "overloaded",
    "no_endpoint",
    "platform_away",
    "shutting_down",
    "deadline_exceeded",
)


@frozen
class Counts:
    """How many were good, and how many there were."""

    good = field(default=0.0)
    total = field(default=0.0)

    @property
    def bad(self):
        """How many were not good."""
        return self.total - self.good

    def __add__(self, other):
        return Counts(self.good + other.good, self.total + other.total)


class Measure(ABC):
    """Tells good from bad by a host's metrics."""

    @abstractmethod
    def list_series(self, objective, samples):
        """Yield ``(key, is_good, is_total)`` of each series that counts."""

    @abstractmethod
    def make_queries(self, objective, window):
        """Return PromQL for the increase of good and of total over `window`."""


@frozen
class CounterMeasure(Measure):
    """Good and bad are values of one label of a counter.

    Parameters
    ----------
    metric : str
    label : str
    good, bad : tuple of str
    """

    metric = field()
    label = field()
    good = field(converter=tuple)
    bad = field(converter=tuple)

    def list_series(self, objective, samples):
        """Yield the counter's series."""
        for key in samples:
            name, labels = key
            if name != self.metric or not _suits(objective, labels):
                continue
            value = dict(labels).get(self.label)
            if value in self.good or value in self.bad:
                yield key, value in self.good, True

    def make_queries(self, objective, window):
        """Return PromQL for good and total."""
        return tuple(
            _make_sum(
                self.metric, objective, window, f'{self.label}=~"{"|".join(values)}"'
            )
            for values in (self.good, self.good + self.bad)
        )


@frozen
class HistogramMeasure(Measure):
    """Good are those within the objective's threshold.

    Notes
    -----
    The threshold counts as the largest bucket bound that does not exceed it,
    so that the report is never better than the truth.
    """

    metric = field()

    def list_series(self, objective, samples):
        """Yield the histogram's series."""
        bound = self._choose_bound(objective, samples)
        for key in samples:
            name, labels = key
            if not _suits(objective, labels):
                continue
            if name == f"{self.metric}_count":
                yield key, False, True
            elif name == f"{self.metric}_bucket" and dict(labels)["le"] == bound:
                yield key, True, False

    def make_queries(self, objective, window):
        """Return PromQL for good and total."""
        return (
            _make_sum(
                f"{self.metric}_bucket",
                objective,
                window,
                f'le="{objective.threshold:g}"',
            ),
            _make_sum(f"{self.metric}_count", objective, window),
        )

    def _choose_bound(self, objective, samples):
        bounds = {
            dict(labels)["le"]
            for name, labels in samples
            if name == f"{self.metric}_bucket"
        }
        allowed = [bound for bound in bounds if float(bound) <= objective.threshold]
        return max(allowed, key=float, default="")


@frozen
class DifferenceMeasure(Measure):
    """Bad ones have a counter of their own beside the counter of all."""

    metric = field()
    bad_metric = field()

    def list_series(self, objective, samples):
        """Yield all as good and total, and the bad ones as neither."""
        for key in samples:
            name, labels = key
            if name == self.metric and _suits(objective, labels):
                yield key, True, True
            elif name == self.bad_metric and _suits(objective, labels):
                yield key, None, False

    def make_queries(self, objective, window):
        """Return PromQL for good and total."""
        total = _make_sum(self.metric, objective, window)
        return f"{total} - {_make_sum(self.bad_metric, objective, window)}", total


def _suits(objective, labels):
    named = dict(labels)
    if objective.route and named.get("route", objective.route) != objective.route:
        return False
    return not objective.account or named.get("client_account") == objective.account


def _make_sum(metric, objective, window, *matchers):
    parts = list(matchers)
    if objective.route:
        parts.append(f'route="{objective.route}"')
    if objective.account:
        parts.append(f'client_account="{objective.account}"')
    return f"sum(increase({metric}{{{','.join(parts)}}}[{window}]))"


MEASURES = {
    ObjectiveKind.AVAILABILITY: CounterMeasure(
        "mangogauge_requests_total", "outcome", ("answered",), SYSTEM_OUTCOMES
    ),
    ObjectiveKind.WHOLE_ANSWER: HistogramMeasure("mangogauge_request_seconds"),
    ObjectiveKind.FIRST_TOKEN: HistogramMeasure("mangogauge_first_token_seconds"),
    ObjectiveKind.BETWEEN_TOKENS: HistogramMeasure("mangogauge_between_tokens_seconds"),
    ObjectiveKind.BATCH_DUE: CounterMeasure(
        "mangogauge_batch_jobs_total", "outcome", ("in_time",), ("late",)
    ),
    ObjectiveKind.REFUSED_WITHIN_RATE: DifferenceMeasure(
        "mangogauge_requests_total", "mangogauge_refused_within_rate_total"
    ),
}
