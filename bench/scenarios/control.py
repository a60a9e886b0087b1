"""What a host spends on control as hosts, accounts, endpoints and jobs grow."""

import time

import orjson

from ..deployment import YARDIMELI, Deployment
from ..records import Experiment
from ..usage import Usage

SETTLE_SECONDS = 4.0
REASON_CHARACTERS = 200
POINTS = {
    "hosts 2": {"hosts": 2},
    "hosts 4": {"hosts": 4},
    "hosts 8": {"hosts": 8},
    "hosts 12": {"hosts": 12},
    "accounts 400": {"accounts": 400},
    "accounts 1600": {"accounts": 1600},
    "accounts 4000": {"accounts": 4000},
    "endpoints 40": {"named_endpoints": 35},
    "endpoints 160": {"named_endpoints": 155},
    "endpoints 640": {"named_endpoints": 635},
    "jobs 20": {"jobs": 20},
    "jobs 80": {"jobs": 80},
    "jobs 320": {"jobs": 320},
}


class ControlExperiment(Experiment):
    """Hosts without callers' requests, one size changed at a time."""

    name = "control"
    question = "Spent on control by a host: mean over hosts, a second"
    plotted = ("core %", "memory MB", "peer KB/s", "platform calls/s")

    def run(self, seed, seconds, rounds):
        for variant, sizes in POINTS.items():
            if not variant.startswith(self.only):
                continue
            yield from _measure_point(variant, dict(sizes), seconds, rounds)


def _measure_point(variant, sizes, seconds, rounds):
    jobs = sizes.pop("jobs", 0)
    if "accounts" in sizes:
        sizes["accounts"] = [(f"account{n}", 5) for n in range(sizes["accounts"])]
    named = {"deployment": YARDIMELI.name, "variant": variant}
    try:
        with Deployment(YARDIMELI, **sizes) as deployment:
            _submit_jobs(deployment, jobs)
            time.sleep(SETTLE_SECONDS)
            for number in range(rounds):
                yield {**named, **_measure(deployment, seconds), "round": number}
    except AssertionError as error:
        # A size at which the hosts never become ready is a result too.
        yield {**named, "not reached": str(error)[:REASON_CHARACTERS]}


def _measure(deployment, seconds):
    world = deployment.world
    hosts = list(world.hosts)
    platform = world.get_standin("platform")
    platform.control(reset_counts=True)
    bytes_before = _count_peer_bytes(world)
    before = [Usage.read(world.processes[name]) for name in hosts]
    time.sleep(seconds)
    after = [Usage.read(world.processes[name]) for name in hosts]
    peer_bytes = _count_peer_bytes(world) - bytes_before
    spent = platform.control()
    counts = spent["counts"]
    shares = [b.measure_share(a) for a, b in zip(before, after, strict=True)]
    per_host = 1 / seconds / len(hosts)
    return {
        "core %": 100 * sum(shares) / len(hosts),
        "memory MB": sum(u.memory_bytes for u in after) / len(hosts) / 1e6,
        "peer KB/s": peer_bytes * per_host / 1e3,
        "platform calls/s": (counts.get("read", 0) + counts.get("write", 0)) * per_host,
        "platform reads/s": counts.get("read", 0) * per_host,
        "platform writes/s": counts.get("write", 0) * per_host,
        "platform KB/s": sum(spent["bytes"].values()) * per_host / 1e3,
        "by purpose": _list_purposes(counts, per_host),
    }


def _list_purposes(counts, per_host):
    parts = [
        f"{name} {count * per_host:.2f}"
        for name, count in sorted(counts.items())
        if ":" in name
    ]
    return ", ".join(parts)


def _count_peer_bytes(world):
    """Return bytes over all peer links: each byte is sent once, received once."""
    links = world.get_standin("proxy").control()
    return sum(
        link["bytes_forward"] + link["bytes_backward"]
        for name, link in links.items()
        if name.startswith("peer-")
    )


def _submit_jobs(deployment, jobs):
    """Submit jobs whose single item can't end while the engines hang."""
    if not jobs:
        return
    for name in deployment.world.endpoints:
        deployment.world.get_standin(name).control(hanging=True)
    account = deployment.accounts[0][0]
    caller = deployment.world.get_caller("a1", deployment.keys[account])
    item = {
        "custom_id": "item",
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": {"model": "small", "messages": [{"role": "user", "content": "x"}]},
    }
    body = (
        b'--edge\r\nContent-Disposition: form-data; name="file"; filename="i"\r\n\r\n'
        + orjson.dumps(item)
        + b"\r\n--edge--\r\n"
    )
    headers = {"Content-Type": "multipart/form-data; boundary=edge"}
    file = caller.request("POST", "/v1/files", body, headers).json["id"]
    request = {"input_file_id": file, "endpoint": "/v1/chat/completions"}
    request["completion_window"] = "24h"
    for _ in range(jobs):
        caller.request("POST", "/v1/batches", orjson.dumps(request))
