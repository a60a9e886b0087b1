"""Processor time of what a host does most often, in microseconds each.

Usage: ``python -m bench.hotpaths [--rounds N]``. Prints the least of some rounds;
nothing is bounded, since machines differ.
"""

import argparse
import itertools
import os
import random
import resource
import subprocess
import sys
import time

import h11
import orjson
from attrs import evolve

from mangogauge.backpressure import EndpointLimiter, Takers
from mangogauge.clock import ManualClock
from mangogauge.entry import EventParser
from mangogauge.fleet.members import FleetMember, MemberDirectory
from mangogauge.fleet.records import FleetEndpoint
from mangogauge.placement import EndpointChooser, EndpointHealth
from mangogauge.sharing import EndpointLoad, HostReport, ReportTable, sum_up
from mangogauge.sharing.messages import decode
from mangogauge.trust import EndpointTrust

SEED = 5
HOSTS = 60
ENDPOINTS = 56
ACCOUNTS = 20
LOADS_EACH = 6
LIMIT = 4.0
SLOTS = 8
SERVICE = "notes"
REPEATS = 300
STARTS = 3
EVENT = b"id: 7\ndata: some words of an answer\n\n"
REQUEST = (
    b"POST /notes/1 HTTP/1.1\r\nHost: notes.example\r\nContent-Length: 2\r\n"
    b"Content-Type: application/json\r\n\r\n{}"
)
NO_FILE = "no-such-settings.ini"


class Directory:
    """Endpoints of which none leaves."""

    def __init__(self, endpoints):
        self._endpoints = endpoints

    def list_endpoints(self):
        return self._endpoints

    def is_leaving(self, endpoint):
        return False


def make_reports(rng, names):
    accounts = {f"account{n}": n for n in range(ACCOUNTS)}
    return [
        HostReport(
            f"h{n}",
            "1",
            1,
            {name: EndpointLoad(1, 1) for name in rng.sample(names, LOADS_EACH)},
            accounts,
        )
        for n in range(HOSTS)
    ]


def make_chooser(endpoints, board, clock, limit=None):
    """Return a chooser; all endpoints have a limit if one is given."""
    members = MemberDirectory(FleetMember("own", "1"), clock)
    takers = Takers(members, lambda: True)
    limiter = EndpointLimiter(takers, board, "1", clock, random.Random(SEED))
    for endpoint in endpoints if limit else ():
        limiter.note_answer(endpoint, limit, clock.read_elapsed())
    return EndpointChooser(
        Directory(endpoints),
        board,
        EndpointHealth(clock),
        EndpointTrust(clock),
        "z0",
        random.Random(SEED),
        limiter,
    )


def make_paths():
    """Return ``{name: callable}``; each does one piece of work."""
    rng, clock = random.Random(SEED), ManualClock()
    numbers = itertools.count(2)
    endpoints = [
        FleetEndpoint(f"e{n}", SERVICE, "", f"z{n % 4}", SLOTS)
        for n in range(ENDPOINTS)
    ]
    reports = make_reports(rng, [e.name for e in endpoints])
    board = ReportTable("own", "1", clock)
    chooser = make_chooser(endpoints, board, clock)
    limited = make_chooser(endpoints, board, clock, LIMIT)
    datagrams = [report.to_bytes() for report in reports]
    cutter = EventParser()

    def merge_report():
        for message in decode(rng.choice(datagrams)):
            board.merge_report(evolve(message, number=next(numbers)))

    return {
        "report in": merge_report,
        "report out": reports[0].to_bytes,
        f"summary of {HOSTS} hosts": lambda: sum_up(
            "z0", reports[0], reports[1:], {}, lambda host: False
        ).to_bytes(),
        f"choice, {ENDPOINTS} endpoints": lambda: chooser.choose(SERVICE),
        f"choice, {ENDPOINTS} endpoints with limits": lambda: limited.choose(SERVICE),
        "event cut": lambda: cutter.feed(EVENT)[0].number,
        "request parsed": parse_request,
    }


def parse_request():
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(REQUEST)
    while connection.next_event() is not h11.PAUSED:
        if connection.their_state is h11.DONE:
            return


def time_path(path):
    path()
    started = time.process_time()
    for _ in range(REPEATS):
        path()
    return (time.process_time() - started) / REPEATS


def time_start():
    """Return the processor time of a host's process that finds no settings."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, "-m", "mangogauge.platform"],
        stderr=subprocess.DEVNULL,
        env={**os.environ, "MANGOGAUGE_SETTINGS": NO_FILE},
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used = (after.ru_utime - before.ru_utime, after.ru_stime - before.ru_stime)
    return sum(used)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    for name, path in make_paths().items():
        print_row(name, min(time_path(path) for _ in range(rounds)))
    print_row("start", min(time_start() for _ in range(STARTS)))


def print_row(name, seconds):
    row = {"path": name, "microseconds": round(seconds * 1e6, 1)}
    print(orjson.dumps(row).decode(), flush=True)


if __name__ == "__main__":
    main()
