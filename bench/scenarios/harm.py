"""How much batch work harms the online tail."""

import time

from ..deployment import KINDS, Deployment
from ..loads import Load
from ..records import Experiment

ONLINE_SHARE = 0.35
JOB_ITEMS = 3000
FIXED_CAP_RATE = 12
UNCAPPED_RATE = 60
OUTPUT_TOKENS = 16
IDLE_SECONDS = 15.0


class HarmExperiment(Experiment):
    """Online alone; with a batch job; with the same items as online requests."""

    name = "harm"
    question = "Online latency with batch work, in seconds from the intended start"
    plotted = ("p99", "first p99")

    def run(self, seed, seconds, rounds):
        for kind in KINDS:
            with Deployment(kind, burst=10, headroom=20) as deployment:
                for number in range(rounds):
                    for variant in VARIANTS:
                        row = _measure(deployment, variant, seconds, seed + number)
                        yield {"deployment": kind.name, **row, "round": number}


def _measure(deployment, variant, seconds, seed):
    before = count_finished(deployment)
    batch = VARIANTS[variant](deployment, seconds, seed)
    online = Load(deployment, _make_online(deployment), seconds, seed)
    result = online.finish()
    done = count_finished(deployment) - before - result.count("answered")
    other = batch.finish() if batch else None
    if other is not None and other.summary["jobs"]:
        cancel_jobs(deployment)
    wait_until_idle(deployment)
    return {
        "variant": variant,
        "p50": result.get_percentile("p50"),
        "p99": result.get_percentile("p99"),
        "first p50": result.get_percentile("p50", "first_token"),
        "first p99": result.get_percentile("p99", "first_token"),
        "answered": result.count("answered"),
        "refused": result.count("refused"),
        "batch items/s": max(0, done) / seconds,
    }


def _make_online(deployment):
    return {
        name: {"rate": rate * ONLINE_SHARE, "arrivals": "bursts"}
        for name, rate in deployment.accounts
    }


def _start_nothing(deployment, seconds, seed):
    return None


def _start_job(deployment, seconds, seed):
    name = deployment.accounts[0][0]
    account = {"batch_jobs": 1, "batch_items": JOB_ITEMS}
    return Load(deployment, {name: account}, seconds, seed, output_tokens=OUTPUT_TOKENS)


def _start_requests(rate):
    def start(deployment, seconds, seed):
        name = deployment.accounts[0][0]
        accounts = {name: {"rate": rate, "arrivals": "even"}}
        return Load(
            deployment,
            accounts,
            seconds,
            seed + 1000,
            output_tokens=OUTPUT_TOKENS,
            stream="no",
            length_spread=0,
        )

    return start


def list_engines(deployment):
    """Return the names of the engines that run."""
    return [n for n in deployment.world.endpoints if n in deployment.world.processes]


def count_finished(deployment):
    total = 0
    for name in list_engines(deployment):
        records = deployment.world.get_standin(name).control()["records"]
        total += sum(1 for record in records if record["what"] == "finished")
    return total


def wait_until_idle(deployment):
    """Wait until the engines run nothing, so that variants don't meet."""
    engines = [deployment.world.get_standin(n) for n in list_engines(deployment)]
    ends = time.monotonic() + IDLE_SECONDS
    while time.monotonic() < ends:
        loads = [engine.control() for engine in engines]
        if not any(load["running"] or load["waiting"] for load in loads):
            return
        time.sleep(0.2)


def cancel_jobs(deployment):
    name = deployment.accounts[0][0]
    caller = deployment.world.get_caller("a1", deployment.keys[name])
    for job in caller.request("GET", "/v1/batches").json["data"]:
        if job["status"] == "in_progress":
            caller.request("POST", f"/v1/batches/{job['id']}/cancel")


VARIANTS = {
    "online alone": _start_nothing,
    "product": _start_job,
    "first come, first served": _start_requests(UNCAPPED_RATE),
    "fixed cap": _start_requests(FIXED_CAP_RATE),
}
