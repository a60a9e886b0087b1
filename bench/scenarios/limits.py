"""Requests refused within rate, and overshoot, for even and uneven traffic."""

from collections import defaultdict

from mangogauge.limits import TokenBucket

from ..deployment import KINDS, Deployment
from ..loads import run_load
from ..records import Experiment

BURST_SECONDS = 2.0
WITHIN = 0.7
ABOVE = 3.0
TRAFFIC = {
    "even": {"host_skew": 0.0},
    "skewed": {"host_skew": 0.9},
    "moving": {"host_skew": 0.9, "moving": 2.0},
}


class LimitsExperiment(Experiment):
    """The product; the same arrivals through two simple ways of splitting."""

    name = "limits"
    question = "Refused although within rate, and admitted over the bound"
    plotted = ("refused within rate", "overshoot")

    def run(self, seed, seconds, rounds):
        for kind in KINDS:
            with Deployment(kind, burst=BURST_SECONDS, slots=32) as deployment:
                for number in range(rounds):
                    for traffic in TRAFFIC:
                        measured = _measure(deployment, traffic, seconds, seed + number)
                        for variant, row in measured.items():
                            yield {
                                "deployment": kind.name,
                                "variant": f"{variant}, {traffic}",
                                **row,
                                "round": number,
                            }


def _measure(deployment, traffic, seconds, seed):
    above = {name for name, _ in deployment.accounts[1:5:3]}
    accounts = {
        name: {"rate": rate * (ABOVE if name in above else WITHIN)}
        for name, rate in deployment.accounts
    }
    result = run_load(deployment, accounts, seconds, seed, **TRAFFIC[traffic])
    samples = sorted(result.samples, key=lambda sample: sample["at"])
    rates = dict(deployment.accounts)
    hosts = len(deployment.hosts)
    admitted = {
        "product": [sample["code"] != "rate_exceeded" for sample in samples],
        "even static split": _replay(samples, rates, 1 / hosts),
        "each host alone": _replay(samples, rates, 1.0),
    }
    return {
        variant: _judge(samples, flags, rates) for variant, flags in admitted.items()
    }


def _replay(samples, rates, share):
    """Admit the same arrivals by a bucket for each host and account."""
    buckets = {}
    flags = []
    for sample in samples:
        account = sample["account"]
        rate = rates[account] * share
        bucket = buckets.setdefault(
            (sample["host"], account),
            TokenBucket(rate, rate * BURST_SECONDS, sample["at"]),
        )
        flags.append(bucket.take(1, sample["at"]))
    return flags


def _judge(samples, flags, rates):
    """Compare with one bucket over the whole fleet.

    A request counts as within rate if a bucket of the account's rate and burst
    that had admitted every earlier one within rate still has room for it.
    """
    ideal = {}
    within = refused = 0
    times = defaultdict(list)
    for sample, admitted in zip(samples, flags, strict=True):
        account = sample["account"]
        rate = rates[account]
        bucket = ideal.setdefault(
            account, TokenBucket(rate, max(1, rate * BURST_SECONDS), sample["at"])
        )
        if bucket.take(1, sample["at"]):
            within += 1
            refused += not admitted
        if admitted:
            times[account].append(sample["at"])
    overshoot = max(measure_overshoot(t, rates[a]) for a, t in times.items())
    return {
        "refused within rate": refused / max(1, within),
        "overshoot": overshoot,
        "requests": len(samples),
    }


def measure_overshoot(times, rate):
    """Return by how much the worst window exceeds rate x window + burst.

    0 where none does, else a part of the bound. Times are intended starts, so
    a request that was sent late counts in an earlier window.
    """
    burst = max(1, rate * BURST_SECONDS)
    worst = 0.0
    for first, start in enumerate(times):
        for last in range(first, len(times)):
            bound = rate * (times[last] - start) + burst
            worst = max(worst, (last - first + 1 - bound) / bound)
    return worst
