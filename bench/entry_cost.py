"""What an entry host adds to a call, against going straight to the endpoint.

Usage: ``python -m bench.entry_cost [--requests N] [--streams N] [--tokens N]``.

Platform, engine and one host run as processes. Rounds through the host and
straight to the endpoints take turns within the run, so that what else goes on on
the machine falls on both.
"""

import argparse
import http.client
import os
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import orjson

from features.builders import World, wait_until

ROUNDS = 10
RATE = 1_000_000
TICKS = os.sysconf("SC_CLK_TCK")
STEP_SECONDS = 0.002
SERVICE_PATH = "/bookings/1"
PATH = "/v1/chat/completions"
WARM_UP = 20


class Side:
    """One way to the engine: a keep-alive connection and its timings."""

    def __init__(self, address, engine_port, service_port, key=""):
        self._target = (address, engine_port)
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}
        self._service = http.client.HTTPConnection(address, service_port)
        self.request_seconds = []
        self.first_seconds = []

    def ask(self):
        """Time one request of the plain service."""
        started = time.perf_counter()
        self._service.request("POST", SERVICE_PATH, b"one escort", self._headers)
        response = self._service.getresponse()
        assert response.status == 200, response.read()
        response.read()
        self.request_seconds.append(time.perf_counter() - started)

    def stream(self, tokens):
        """Time the first token of a stream of its own, and read it whole."""
        connection = http.client.HTTPConnection(*self._target)
        started = time.perf_counter()
        connection.request("POST", PATH, make_body(tokens), self._headers)
        response = connection.getresponse()
        response.readline()
        self.first_seconds.append(time.perf_counter() - started)
        assert response.read().endswith(b"[DONE]\n\n")
        connection.close()


def make_body(tokens):
    return orjson.dumps(
        {
            "model": "small",
            "max_tokens": tokens,
            "stream": True,
            "messages": [{"role": "user", "content": "how much is it?"}],
        }
    )


def read_cpu(process):
    """Return the seconds of processor time that a process has used."""
    text = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(text[11]) + int(text[12])) / TICKS


def start_world(world):
    world.accounts = [("desk", RATE, RATE)]
    world.start_platform()
    options = ("--step-seconds", STEP_SECONDS)
    world.start_engine("engine", "a", options)
    world.start_service("service", "a")
    world.routes.append(
        {
            "name": "bookings",
            "path": "/bookings/*",
            "kind": "service",
            "endpoints": "service",
        }
    )
    world.apply_configuration()
    world.start_host("a1", "a")
    key = world.grant_key()
    caller = world.get_caller("a1", key)
    wait_until(lambda: caller.request("GET", "/v1/models").status == 200, "the key")
    ports = [world.processes[name].ready["port"] for name in ("engine", "service")]
    direct = Side(world.address, *ports)
    entry = Side(world.address, *[world.hosts["a1"][0]] * 2, key)
    return direct, entry


def measure_requests(world, sides, requests):
    """Return the host's processor time for each request."""
    host = world.processes["a1"]
    spent = 0.0
    for side in sides:
        for _ in range(WARM_UP):
            side.ask()
        side.request_seconds.clear()
    for _ in range(ROUNDS):
        for side in sides:
            before = read_cpu(host)
            for _ in range(requests // ROUNDS):
                side.ask()
            spent += read_cpu(host) - before if side is sides[1] else 0
    return spent / (requests // ROUNDS * ROUNDS)


def measure_streams(world, sides, streams, tokens):
    """Return the host's processor time for each stream."""
    host = world.processes["a1"]
    spent = 0.0
    with ThreadPoolExecutor(streams) as pool:
        for _ in range(ROUNDS):
            for side in sides:
                before = read_cpu(host)
                list(pool.map(side.stream, [tokens] * streams))
                spent += read_cpu(host) - before if side is sides[1] else 0
    return spent / (ROUNDS * streams)


def measure_idle(world, seconds=2.0):
    """Return the part of a core that the host uses with nothing to do."""
    host = world.processes["a1"]
    before = read_cpu(host)
    time.sleep(seconds)
    return (read_cpu(host) - before) / seconds


def summarize(direct, entry, name):
    direct_ms = statistics.median(direct) * 1000
    entry_ms = statistics.median(entry) * 1000
    return {
        f"{name}_direct_ms": round(direct_ms, 3),
        f"{name}_entry_ms": round(entry_ms, 3),
        f"{name}_added_ms": round(entry_ms - direct_ms, 3),
        f"{name}_ratio": round(entry_ms / direct_ms, 3),
    }


def main():
    """Measure and print one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--requests", type=int, default=600)
    parser.add_argument("--streams", type=int, default=8)
    parser.add_argument("--tokens", type=int, default=200)
    options = parser.parse_args()
    world = World("entry-cost")
    try:
        sides = direct, entry = start_world(world)
        idle = measure_idle(world)
        request_cpu = measure_requests(world, sides, options.requests)
        stream_cpu = measure_streams(world, sides, options.streams, options.tokens)
        token_cpu = (stream_cpu - request_cpu) / options.tokens
        result = {
            **vars(options),
            "idle_core_part": round(idle, 4),
            "cpu_request_us": round(request_cpu * 1e6),
            "cpu_token_us": round(token_cpu * 1e6, 1),
            **summarize(direct.request_seconds, entry.request_seconds, "request"),
            **summarize(direct.first_seconds, entry.first_seconds, "first_token"),
        }
        print(orjson.dumps(result).decode())
    finally:
        world.stop()


if __name__ == "__main__":
    main()
