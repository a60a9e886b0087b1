"""Counts and latencies of a load, by client account."""

import enum
from collections import Counter

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

__all__ = ["Outcome", "Sample", "Tally"]

MICROSECONDS = 1_000_000
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600 * MICROSECONDS
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50, 90, 95, 99, 99.9)


class Outcome(enum.Enum):
    """How a request ended, as its caller sees it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    UNREACHED = "unreached"


@frozen
class Sample:
    """One request that has ended.

    Parameters
    ----------
    at : float
        Intended start, in seconds after the start of the load.
    account, host : str
    outcome : Outcome
    status : int
    code : str
        Code of a refusal.
    seconds : float
        From the intended start to the end of the answer.
    first : float
        From the intended start to the first piece of the answer.
    between : tuple of float
        Gaps between pieces.
    late : float
        How long after the intended start the request was really sent.
    """

    at = field()
    account = field()
    host = field()
    outcome = field()
    status = field(default=0)
    code = field(default="")
    seconds = field(default=0.0)
    first = field(default=0.0)
    between = field(default=())
    late = field(default=0.0)


def _make_histogram():
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES)


@define
class _AccountTally:
    """Counts of one account."""

    outcomes = field(factory=Counter)
    codes = field(factory=Counter)
    total = field(factory=_make_histogram)
    first = field(factory=_make_histogram)
    between = field(factory=_make_histogram)
    late = field(factory=_make_histogram)


class Tally:
    """Collects samples."""

    def __init__(self):
        self._accounts = {}

    def add(self, sample):
        """Count one request."""
        account = self._accounts.setdefault(sample.account, _AccountTally())
        account.outcomes[sample.outcome.value] += 1
        account.late.record_value(_to_microseconds(sample.late))
        if sample.code:
            account.codes[sample.code] += 1
        if sample.outcome is not Outcome.ANSWERED:
            return
        account.total.record_value(_to_microseconds(sample.seconds))
        account.first.record_value(_to_microseconds(sample.first))
        for gap in sample.between:
            account.between.record_value(_to_microseconds(gap))

    def count(self, outcome=None):
        """Return the number of requests, of one outcome or of all."""
        counters = [account.outcomes for account in self._accounts.values()]
        if outcome is None:
            return sum(counter.total() for counter in counters)
        return sum(counter[outcome.value] for counter in counters)

    def summarize(self):
        """Return a plain value for JSON: all accounts, and each."""
        merged = _AccountTally()
        for account in self._accounts.values():
            merged.outcomes += account.outcomes
            merged.codes += account.codes
            for name in ("total", "first", "between", "late"):
                getattr(merged, name).add(getattr(account, name))
        accounts = {
            name: _summarize(account)
            for name, account in sorted(self._accounts.items())
        }
        return {"all": _summarize(merged), "accounts": accounts}


def _to_microseconds(seconds):
    microseconds = round(seconds * MICROSECONDS)
    return min(HIGHEST_MICROSECONDS, max(LOWEST_MICROSECONDS, microseconds))


def _summarize(account):
    return {
        "outcomes": dict(account.outcomes),
        "codes": dict(account.codes),
        "seconds": _show(account.total),
        "first_token": _show(account.first),
        "between_tokens": _show(account.between),
        "sent_late": _show(account.late),
    }


def _show(histogram):
    if not histogram.get_total_count():
        return {}
    shown = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / MICROSECONDS
        for percentile in PERCENTILES
    }
    shown["mean"] = histogram.get_mean_value() / MICROSECONDS
    shown["max"] = histogram.get_max_value() / MICROSECONDS
    shown["count"] = histogram.get_total_count()
    return shown
