"""What a host adds to a request: latency, processor time, and per token."""

from ..deployment import YARDIMELI, Deployment
from ..loads import run_load
from ..records import Experiment
from ..usage import Usage

RATE = 40
OUTPUT_TOKENS = (1, 16, 64)
ENGINES_SLOTS = 64


class ProxyExperiment(Experiment):
    """The same load to the engines and through the hosts."""

    name = "proxy"
    question = "Added latency in seconds, processor time of hosts per request"
    plotted = ("p50", "processor ms a request")

    def run(self, seed, seconds, rounds):
        with Deployment(YARDIMELI, 10, 50, ENGINES_SLOTS) as deployment:
            for number in range(rounds):
                for tokens in OUTPUT_TOKENS:
                    for variant, hosts in (
                        ("direct", deployment.engines[:4]),
                        ("through hosts", deployment.hosts),
                    ):
                        row = _measure(
                            deployment, hosts, tokens, seconds, seed + number
                        )
                        name = f"{variant}, {tokens} tokens"
                        yield {
                            "deployment": YARDIMELI.name,
                            "variant": name,
                            **row,
                            "round": number,
                        }


def _measure(deployment, hosts, tokens, seconds, seed):
    processes = [deployment.world.processes[name] for name in deployment.world.hosts]
    before = [Usage.read(process) for process in processes]
    result = run_load(
        deployment,
        {deployment.accounts[0][0]: {"rate": RATE}},
        seconds,
        seed,
        hosts=hosts,
        output_tokens=tokens,
        length_spread=0,
    )
    after = [Usage.read(process) for process in processes]
    used = sum(
        b.processor_seconds - a.processor_seconds
        for a, b in zip(before, after, strict=True)
    )
    answered = max(1, result.count("answered"))
    return {
        "p50": result.get_percentile("p50"),
        "p99": result.get_percentile("p99"),
        "first p50": result.get_percentile("p50", "first_token"),
        "between p95": result.get_percentile("p95", "between_tokens"),
        "answered": answered,
        "processor ms a request": 1000 * used / answered,
        "processor ms a token": 1000 * used / answered / tokens,
    }
