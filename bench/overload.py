"""Overload by one account: goodput and how the others fare, with and without us.

Usage: ``python -m bench.overload``. An engine stand-in is asked straight (the
baseline: no queues, no fairness, no admission) and through a host, at its
capacity and at twice that, open loop, in one run.
"""

import http.client
import random
import threading
import time
from collections import Counter

import orjson

from features.builders import World, make_text, wait_until

SLOTS = 8
TOKENS = 20
DEADLINE_SECONDS = 2.0
PHASE_SECONDS = 10.0
SMALL = ("desk", "agents", "shop", "press")
SMALL_RATE = 2.5
SEED = 3


def main():
    world = World("bench overload")
    try:
        callers = start(world)
        capacity = measure_capacity(callers["engine"]["flood"])
        print(orjson.dumps({"capacity_per_second": round(capacity, 1)}).decode())
        for path in ("engine", "host"):
            for factor in (1.0, 2.0):
                flood = factor * capacity - SMALL_RATE * len(SMALL)
                rates = {"flood": flood, **dict.fromkeys(SMALL, SMALL_RATE)}
                row = run_phase(callers[path], rates)
                print(orjson.dumps({"path": path, "load": factor, **row}).decode())
                time.sleep(2 * DEADLINE_SECONDS)
    finally:
        world.stop()


def start(world):
    names = ("flood", *SMALL)
    world.accounts = [(name, 100_000, 100_000) for name in names]
    world.start_platform()
    options = ("--slots", SLOTS, "--step-seconds", 0.01)
    world.start_engine("engine-1", options=options, slots=SLOTS)
    world.apply_configuration()
    world.start_host("a1")
    through = {n: world.get_caller("a1", world.grant_key(n)) for n in names}
    for caller in through.values():
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            "the key works",
        )
    straight = dict.fromkeys(names, world.get_standin("engine-1"))
    return {"host": through, "engine": straight}


def measure_capacity(caller, seconds=5.0):
    """Return requests a second with every slot taken, closed loop."""
    counts = []
    end = time.monotonic() + seconds

    def work(number):
        while time.monotonic() < end:
            caller.chat(f"warm {number} {len(counts)}", max_tokens=TOKENS)
            counts.append(1)

    run_threads([threading.Thread(target=work, args=(n,)) for n in range(SLOTS)])
    return len(counts) / seconds


def run_phase(callers, rates):
    rng = random.Random(SEED)
    arrivals = []
    for account, rate in rates.items():
        at = rng.expovariate(rate)
        while at < PHASE_SECONDS:
            arrivals.append((at, account))
            at += rng.expovariate(rate)
    results = []
    begun = time.monotonic()
    threads = []
    for number, (at, account) in enumerate(sorted(arrivals)):
        time.sleep(max(0.0, begun + at - time.monotonic()))
        arguments = (callers[account], account, number, results)
        threads.append(threading.Thread(target=ask, args=arguments))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return summarize(results)


def ask(caller, account, number, results):
    prompt = f"{account} {number}"
    headers = {"X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))}
    begun = time.monotonic()
    good = False
    outcome = "broken"
    try:
        answer = caller.chat(prompt, max_tokens=TOKENS, headers=headers)
        outcome = str(answer.status)
        if answer.status == 200:
            text = answer.json["choices"][0]["message"]["content"]
            good = text == make_text(prompt, TOKENS)
    except (OSError, http.client.HTTPException):
        pass
    seconds = time.monotonic() - begun
    if good and seconds > DEADLINE_SECONDS:
        good, outcome = False, "late"
    results.append((account, good, seconds, outcome))


def summarize(results):
    good = sum(1 for _, is_good, _, _ in results if is_good)
    shares = {}
    for account in SMALL:
        own = [is_good for name, is_good, _, _ in results if name == account]
        shares[account] = sum(own) / len(own)
    seconds = sorted(s for n, is_good, s, _ in results if n in SMALL and is_good)
    outcomes = Counter(outcome for _, _, _, outcome in results)
    points = {
        f"small_p{p}": round(seconds[len(seconds) * p // 100], 3)
        for p in (50, 95, 99)
        if seconds
    }
    return {
        "sent": len(results),
        "goodput_per_second": round(good / PHASE_SECONDS, 1),
        "worst_small_share": round(min(shares.values()), 3),
        **points,
        "outcomes": dict(sorted(outcomes.items())),
    }


def run_threads(threads):
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
