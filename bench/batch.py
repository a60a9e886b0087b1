"""Batch throughput and harm to online requests, beside baselines, in one run.

Usage: ``python -m bench.batch [--seconds 12] [--rate 12] [--seed 1]``. Phases
follow each other on the same processes: online alone, batch alone, then both
with each way of giving batch room.
"""

import argparse
import random
import threading
import time

import orjson
from attrs import define, field

from features.builders import World, wait_until
from features.builders.jobs import JobCaller, JobPlan

ENGINES = ("engine-a", "engine-b")
ONLINE_TOKENS = 30
ITEM_TOKENS = 60
BURST_EVERY = 4.0
BURST_REQUESTS = 10
SETTLE_SECONDS = 5.0
BATCH_ITEMS = 6000
PHASES = {
    "online alone": None,
    "batch alone": "room = spare",
    "spare room 0.9": "room = spare",
    "spare room 0.3": "room = spare\nspare_share = 0.3",
    "fixed cap of 8": "room = fixed\nfixed_items = 8",
    "first come, first served": "room = fixed\nfixed_items = 64",
}


@define
class Phase:
    """What was measured while one way was in force."""

    name = field()
    first_tokens = field(factory=list)
    totals = field(factory=list)
    refused = field(default=0)
    batch_tokens = field(default=0.0)
    writes = field(default=0.0)
    items = field(default=0)
    seconds = field(default=0.0)


class OnlineLoad:
    """Sends requests at times drawn from a seed, whatever the answers do."""

    def __init__(self, callers, phase, seconds, rate, seed):
        self._callers = callers
        self._phase = phase
        self._seconds = seconds
        self._rate = rate
        self._random = random.Random(seed)

    def run(self):
        times = self._draw_times()
        started = time.monotonic()
        threads = []
        for number, at in enumerate(times):
            time.sleep(max(0.0, started + at - time.monotonic()))
            caller = self._callers[number % len(self._callers)]
            thread = threading.Thread(target=self._send, args=(caller, number))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _draw_times(self):
        times, at = [], 0.0
        while at < self._seconds:
            at += self._random.expovariate(self._rate)
            times.append(at)
        bursts = [BURST_EVERY * n for n in range(1, int(self._seconds / BURST_EVERY))]
        return sorted(times + [b for b in bursts for _ in range(BURST_REQUESTS)])

    def _send(self, caller, number):
        body = {
            "model": "small",
            "max_tokens": ONLINE_TOKENS,
            "stream": True,
            "messages": [{"role": "user", "content": f"question {number}"}],
        }
        started = time.monotonic()
        connection = caller.open("POST", "/v1/chat/completions", orjson.dumps(body))
        response = connection.getresponse()
        if response.status != 200:
            self._phase.refused += 1
            return
        response.read(1)
        self._phase.first_tokens.append(time.monotonic() - started)
        response.read()
        self._phase.totals.append(time.monotonic() - started)


class Bench:
    """A small fleet, and one phase after another on it."""

    def __init__(self, world, seconds, rate, seed):
        self._world = world
        self._seconds = seconds
        self._rate = rate
        self._seed = seed
        world.accounts = [("desk", 1000, 1000)]
        world.start_platform()
        for name, data_centre in zip(ENGINES, ("a", "b"), strict=True):
            world.start_engine(name, data_centre)
        world.apply_configuration()
        world.start_host("a1", "a")
        world.start_host("b1", "b")
        self._jobs = JobCaller(world, world.grant_key("desk"))
        for host in world.hosts:
            caller = self._jobs.get_caller(host)
            wait_until(
                lambda c=caller: c.request("GET", "/v1/batches").status == 200, host
            )
        plan = JobPlan(BATCH_ITEMS, max_tokens=ITEM_TOKENS)
        self._file = self._jobs.upload("a1", plan.make_items()).json["id"]

    def run_phase(self, name, room):
        phase = Phase(name)
        job_id = self._start_batch(room) if room else None
        before = self._measure(job_id)
        started = time.monotonic()
        if name == "batch alone":
            time.sleep(self._seconds)
        else:
            callers = [self._jobs.get_caller(host) for host in self._world.hosts]
            OnlineLoad(callers, phase, self._seconds, self._rate, self._seed).run()
        after = self._measure(job_id)
        phase.seconds = taken = time.monotonic() - started
        phase.items = after[0] - before[0]
        phase.batch_tokens = phase.items * ITEM_TOKENS / taken
        phase.writes = after[1] - before[1]
        if job_id:
            self._jobs.cancel("a1", job_id)
            self._jobs.wait_until_ended("a1", job_id)
        return phase

    def _start_batch(self, room):
        options = "commit_seconds = 1\npoll_seconds = 0.2\nconcurrency = 128"
        self._world.extra = f"[batch]\n{options}\n{room}\n"
        version = self._world.apply_configuration()
        for host in self._world.hosts:
            operator = self._world.get_operator(host)
            wait_until(
                lambda o=operator: (
                    o.request("GET", "/state").json["configuration_version"] >= version
                ),
                f"{host} has the configuration",
            )
        job_id = self._jobs.submit("a1", self._file).json["id"]
        # Batch work ramps up before anything is measured.
        time.sleep(SETTLE_SECONDS)
        return job_id

    def _measure(self, job_id):
        if job_id is None:
            return 0, 0
        finished = 0
        for name in ENGINES:
            records = self._world.get_standin(name).control()["records"]
            finished += sum(
                r["what"] == "finished" and r["request"].startswith(job_id)
                for r in records
            )
        counts = self._world.get_standin("platform").control()["counts"]
        return finished, counts.get("write:work", 0) + sum(
            n for key, n in counts.items() if key.startswith("write:work/")
        )


def show(phases):
    """Print one line for each phase, and ratios to the run's own bases."""
    base = next(p for p in phases if p.name == "online alone")
    alone = next(p for p in phases if p.name == "batch alone").batch_tokens
    online = len(base.totals) * ONLINE_TOKENS
    print(
        f"{'way':26}{'first p50':>10}{'p99 ms':>8}{'total p50':>10}{'p99 ms':>8}"
        f"{'p99 to alone':>13}{'batch tok/s':>12}{'of spare':>9}{'items/write':>12}"
    )
    for p in phases:
        spare = alone - online / base.seconds if p is not base else 0
        ratio = read(p.totals, 99) / read(base.totals, 99) if p.totals else 0
        print(
            f"{p.name:26}{read(p.first_tokens, 50) * 1e3:10.0f}"
            f"{read(p.first_tokens, 99) * 1e3:8.0f}{read(p.totals, 50) * 1e3:10.0f}"
            f"{read(p.totals, 99) * 1e3:8.0f}{ratio:13.2f}{p.batch_tokens:12.0f}"
            f"{p.batch_tokens / spare if spare else 0:9.2f}"
            f"{p.items / p.writes if p.writes else 0:12.1f}"
        )


def read(values, percent):
    """Return a percentile; 0 if there is nothing."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--rate", type=float, default=12.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    world = World("bench")
    try:
        bench = Bench(world, options.seconds, options.rate, options.seed)
        phases = [bench.run_phase(name, room) for name, room in PHASES.items()]
    finally:
        world.stop()
    show(phases)


if __name__ == "__main__":
    main()
