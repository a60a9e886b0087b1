"""Steps of the sums over other hosts' reports."""

import random

from attrs import evolve
from behave import given, then, when

from features.builders.fleet import (
    SERVICE,
    FixedDirectory,
    make_endpoint,
    make_report,
)
from mangogauge.clock import ManualClock
from mangogauge.placement import EndpointChooser, EndpointHealth
from mangogauge.sharing import EndpointLoad, ReportTable
from mangogauge.trust import EndpointTrust

SEED = 11
# So long that some hosts fall silent before they report again.
LONGEST_STEP_SECONDS = 0.1


class CountingLoads(dict):
    """Counts how often it is looked at."""

    looks = 0

    def get(self, key, default=None):
        CountingLoads.looks += 1
        return super().get(key, default)


def draw_report(rng, number, hosts, endpoints):
    used = rng.sample(endpoints, rng.randrange(len(endpoints) // 3))
    loads = {name: (rng.randrange(4), rng.randrange(4)) for name in used}
    return make_report(
        f"h{rng.randrange(hosts)}",
        number=rng.choice([number, number, 1]),
        loads=loads,
        unhealthy=rng.choices(endpoints, k=rng.randrange(3)),
        waiting=rng.randrange(2),
        items_waiting=rng.randrange(2),
    )


def find_differences(board, endpoints):
    """Return the endpoints whose sums differ from those over the fresh reports."""
    fresh = board.list_reports()
    none = EndpointLoad()
    wrong = []
    for name in endpoints:
        loads = [report.loads.get(name, none) for report in fresh]
        wanted = EndpointLoad(sum(x.online for x in loads), sum(x.batch for x in loads))
        shunning = sum(name in report.unhealthy for report in fresh)
        if board.measure(name) != wanted or board.is_reported_unhealthy(name) != (
            shunning >= 2
        ):
            wrong.append(name)
    with_items = {report.host for report in fresh if report.items_waiting}
    waiting = 1 + sum(report.waiting > 0 for report in fresh)
    if set(board.list_hosts_with_items()) != with_items:
        wrong.append("hosts with items")
    if board.count_waiting_hosts() != waiting:
        wrong.append("waiting hosts")
    return wrong


@given(
    "a board that takes {count:d} reports of {hosts:d} hosts"
    " at {n:d} endpoints in random order"
)
def play_reports(context, count, hosts, n):
    rng = random.Random(SEED)
    clock = ManualClock()
    board = ReportTable("own", "1", clock)
    endpoints = [f"e{number}" for number in range(n)]
    context.wrong = []
    for number in range(count):
        clock.advance(rng.random() * LONGEST_STEP_SECONDS)
        board.merge_report(draw_report(rng, number, hosts, endpoints))
        context.wrong += find_differences(board, endpoints)
    context.heard = len(board.list_reports())
    context.hosts = hosts


@then("after each report its sums were those of the reports that were fresh")
def check_sums(context):
    assert not context.wrong, context.wrong[:5]
    # Some had fallen silent, or the play shows nothing about them.
    assert 0 < context.heard < context.hosts, context.heard


@given("a board that has heard {hosts:d} hosts that use {count:d} endpoints each")
def make_busy_board(context, hosts, count):
    context.clock = ManualClock()
    context.board = ReportTable("own", "1", context.clock)
    context.endpoints = [make_endpoint(f"e{number}") for number in range(count)]
    for number in range(hosts):
        loads = {endpoint.name: (1, 0) for endpoint in context.endpoints}
        report = make_report(f"h{number}", loads=loads)
        context.board.merge_report(evolve(report, loads=CountingLoads(report.loads)))


@when("an endpoint is chosen of all {count:d}")
def choose_endpoint(context, count):
    assert len(context.endpoints) == count
    CountingLoads.looks = 0
    chooser = EndpointChooser(
        FixedDirectory(context.endpoints),
        context.board,
        EndpointHealth(context.clock),
        EndpointTrust(context.clock),
        "a",
        random.Random(SEED),
    )
    chooser.choose(SERVICE)


@then("no report was looked at for it")
def check_looks(context):
    assert CountingLoads.looks == 0, CountingLoads.looks
