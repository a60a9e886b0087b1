"""Batch throughput as a share of what the endpoints can do."""

import time

from ..deployment import KINDS, Deployment
from ..loads import Load
from ..records import Experiment
from .harm import cancel_jobs, count_finished, wait_until_idle

JOB_ITEMS = 4000
JOBS = 4
CLOSED_RATE = 400
OUTPUT_TOKENS = 16
WARM_SECONDS = 3.0


class BatchExperiment(Experiment):
    """Jobs alone, against all that the engines do when they are flooded."""

    name = "batch"
    question = "Batch items a second, and as a share of the engines' capacity"
    plotted = ("items/s", "share of capacity")

    def run(self, seed, seconds, rounds):
        for kind in KINDS:
            with Deployment(kind, burst=10, headroom=50) as deployment:
                for number in range(rounds):
                    yield from _measure(deployment, seconds, seed + number, number)


def _measure(deployment, seconds, seed, number):
    capacity = _flood(deployment, seconds, seed)
    wait_until_idle(deployment)
    jobs, writes = _run_jobs(deployment, seconds, seed)
    rows = [("engines flooded", capacity, 0), ("product", jobs, writes)]
    return [
        {
            "deployment": deployment.kind.name,
            "variant": variant,
            "items/s": items,
            "share of capacity": items / capacity,
            "platform writes/s": writes,
            "round": number,
        }
        for variant, items, writes in rows
    ]


def _flood(deployment, seconds, seed):
    """Return items a second that the engines finish while flooded."""
    name = deployment.accounts[0][0]
    accounts = {name: {"rate": CLOSED_RATE, "arrivals": "even"}}
    load = Load(
        deployment,
        accounts,
        seconds,
        seed,
        hosts=deployment.engines,
        output_tokens=OUTPUT_TOKENS,
        length_spread=0,
        stream="no",
        deadline=seconds,
    )
    items = _count_over(deployment, seconds)
    load.finish()
    return items / (seconds - WARM_SECONDS)


def _run_jobs(deployment, seconds, seed):
    """Return items and platform writes a second while jobs run alone."""
    platform = deployment.world.get_standin("platform")
    name = deployment.accounts[0][0]
    account = {"batch_jobs": JOBS, "batch_items": JOB_ITEMS}
    load = Load(deployment, {name: account}, seconds, seed, output_tokens=OUTPUT_TOKENS)
    platform.control(reset_counts=True)
    items = _count_over(deployment, seconds)
    writes = platform.control()["counts"].get("write", 0)
    load.finish()
    cancel_jobs(deployment)
    wait_until_idle(deployment)
    return items / (seconds - WARM_SECONDS), writes / seconds


def _count_over(deployment, seconds):
    time.sleep(WARM_SECONDS)
    before = count_finished(deployment)
    time.sleep(seconds - WARM_SECONDS)
    return count_finished(deployment) - before
