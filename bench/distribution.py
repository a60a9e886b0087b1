"""Time until configuration changes and key withdrawals are in force everywhere.

Usage: ``python -m bench.distribution [--seed N] [--changes N] [--withdrawals N]``.
Runs a calm network, then one with delays, cuts, resets and lost answers from a
seeded schedule, with real hosts, and prints one line of JSON for each.
"""

import argparse
import random
import threading
import time

import curio
import orjson
from attrs import evolve

from features.builders import World
from mangogauge.clock import SystemClock
from mangogauge.configuration import ConfigurationStore
from mangogauge.distribution import Confirmations, Roster
from mangogauge.keys import KeyStore
from mangogauge.settings import ConfigurationDocuments
from mangogauge.standins.proxy import make_schedule
from mangogauge.store import GatewayStore, RecordStore

HOSTS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
SECRET_FILE = "secret"
WAIT_SECONDS = 60.0
INTERVAL_SECONDS = 0.05
FAULTY_SECONDS = 600.0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--withdrawals", type=int, default=20)
    arguments = parser.parse_args()
    for network in ("calm", "faulty"):
        world = World(network)
        try:
            row = run_network(world, network, arguments)
        finally:
            world.stop()
        print(orjson.dumps({"network": network, **row}).decode(), flush=True)


def run_network(world, network, arguments):
    world.start_platform()
    world.start_engine("engine-a", "a")
    world.apply_configuration()
    world.start_hosts_behind_proxy(**HOSTS)
    stopped = threading.Event()
    if network == "faulty":
        steps = make_schedule(arguments.seed, list(world.listens), FAULTY_SECONDS)
        threading.Thread(target=run_schedule, args=(world, steps, stopped)).start()
    try:
        world.get_standin("platform").control(reset_counts=True)
        started = time.monotonic()
        changes, withdrawals = curio.run(measure, world, arguments)
        counts = world.get_standin("platform").control()["counts"]
    finally:
        stopped.set()
    seconds = time.monotonic() - started
    return {
        "seed": arguments.seed,
        "changes": summarize(changes),
        "withdrawals": summarize(withdrawals),
        "platform_reads_per_second": round(counts.get("read", 0) / seconds, 2),
        "platform_writes_per_second": round(counts.get("write", 0) / seconds, 2),
    }


def run_schedule(world, steps, stopped):
    """Apply the schedule's faults in real time until stopped."""
    started = time.monotonic()
    for step in steps:
        if stopped.wait(max(0, started + step.at - time.monotonic())):
            return
        world.set_faults(step.link, **step.changes)


async def measure(world, arguments):
    """Return the seconds of each change and of each withdrawal."""
    clock = SystemClock()
    records = RecordStore(GatewayStore([world.platform_address]))
    secret = (world.folder / SECRET_FILE).read_text()
    confirmations = Confirmations(Roster(records), secret, clock, INTERVAL_SECONDS)
    changes = []
    configuration = ConfigurationStore(records, clock)
    for _ in range(arguments.changes):
        changes.append(await time_change(configuration, confirmations))
    withdrawals = []
    keys = KeyStore(records, clock)
    for _ in range(arguments.withdrawals):
        withdrawals.append(await time_withdrawal(keys, confirmations))
    return changes, withdrawals


async def time_change(configuration, confirmations):
    current = (await configuration.read()).unwrap()
    rate = 100 + random.Random(current.version).randrange(900)
    base = current.documents.base.replace("rate = 100", f"rate = {rate}", 1)
    documents = evolve(current.documents, base=base)
    assert isinstance(documents, ConfigurationDocuments)
    fresh = (await configuration.apply(documents, current.version)).unwrap()
    return await time_position(confirmations, "configuration", fresh.version)


async def time_withdrawal(keys, confirmations):
    granted = (await keys.grant("desk")).unwrap()
    await time_position(confirmations, "keys", granted.revision)
    ended = (await keys.withdraw(granted.record.key_id)).unwrap()
    return await time_position(confirmations, "keys", ended.revision)


async def time_position(confirmations, name, position):
    waited = await confirmations.wait(name, position, WAIT_SECONDS)
    outcome = waited.unwrap()
    return outcome.seconds if not outcome.missing else float("inf")


def summarize(seconds):
    ordered = sorted(seconds)
    return {
        "count": len(ordered),
        "p50": round(ordered[len(ordered) // 2], 3),
        "p95": round(ordered[int(len(ordered) * 0.95)], 3),
        "worst": round(ordered[-1], 3),
        "over_7_s": sum(1 for value in ordered if value > 7),
    }


if __name__ == "__main__":
    main()
