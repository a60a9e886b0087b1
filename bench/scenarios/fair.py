"""How the worst-served client account fares while another floods."""

from ..deployment import KINDS, Deployment
from ..loads import run_load
from ..records import Experiment

FLOOD_FACTOR = 10
ENTITLED_SHARE = 0.6


class FairExperiment(Experiment):
    """One large account at its rate, then at ten times; hosts, then none."""

    name = "fair"
    question = "The other accounts while one sends ten times its rate"
    plotted = ("worst share", "worst p99")

    def run(self, seed, seconds, rounds):
        for kind in KINDS:
            with Deployment(kind, burst=2, headroom=1.0) as deployment:
                for number in range(rounds):
                    for variant, (factor, direct) in VARIANTS.items():
                        row = _measure(
                            deployment, factor, direct, seconds, seed + number
                        )
                        yield {
                            "deployment": kind.name,
                            "variant": variant,
                            **row,
                            "round": number,
                        }


def _measure(deployment, factor, direct, seconds, seed):
    flooding = deployment.accounts[0][0]
    accounts = {
        name: {"rate": rate * ENTITLED_SHARE * (factor if name == flooding else 1)}
        for name, rate in deployment.accounts
    }
    hosts = deployment.engines if direct else deployment.hosts
    result = run_load(deployment, accounts, seconds, seed, hosts=hosts)
    others = [name for name in accounts if name != flooding]
    shares = {n: _measure_share(result, n) for n in others}
    worst = min(shares, key=shares.get)
    return {
        "worst share": shares[worst],
        "worst p99": max(result.get_percentile("p99", account=n) for n in others),
        "others p50": max(result.get_percentile("p50", account=n) for n in others),
        "flooder answered": result.count("answered", flooding),
        "flooder refused": result.count("refused", flooding),
    }


def _measure_share(result, account):
    outcomes = result.summary["accounts"][account]["outcomes"]
    return outcomes.get("answered", 0) / sum(outcomes.values())


VARIANTS = {
    "product, all within rate": (1, False),
    "product, one at ten times": (FLOOD_FACTOR, False),
    "no hosts, all within rate": (1, True),
    "no hosts, one at ten times": (FLOOD_FACTOR, True),
}
