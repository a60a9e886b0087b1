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
# Long enough for some hosts' reports to expire before they report again.
LONGEST_STEP_SECONDS = 0.1


class LookupCountingLoads(dict):
    """Counts its lookups."""

    lookups = 0

    def get(self, key, default=None):
        LookupCountingLoads.lookups += 1
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


def find_differences(report_table, endpoints):
    """Return the endpoints whose sums differ from those over the fresh reports."""
    fresh = report_table.list_reports()
    no_load = EndpointLoad()
    differences = []
    for name in endpoints:
        loads = [report.loads.get(name, no_load) for report in fresh]
        expected = EndpointLoad(
            sum(x.online for x in loads), sum(x.batch for x in loads)
        )
        reported = sum(name in report.unhealthy for report in fresh)
        if report_table.measure(name) != expected or report_table.is_reported_unhealthy(
            name
        ) != (reported >= 2):
            differences.append(name)
    with_items = {report.host for report in fresh if report.items_waiting}
    waiting = 1 + sum(report.waiting > 0 for report in fresh)
    if set(report_table.list_hosts_with_items()) != with_items:
        differences.append("hosts with items")
    if report_table.count_waiting_hosts() != waiting:
        differences.append("waiting hosts")
    return differences


@given(
    "a report table that merges {count:d} reports of {hosts:d} hosts"
    " at {endpoint_count:d} endpoints in random order"
)
def merge_random_reports(context, count, hosts, endpoint_count):
    rng = random.Random(SEED)
    clock = ManualClock()
    report_table = ReportTable("own", "1", clock)
    endpoints = [f"e{number}" for number in range(endpoint_count)]
    context.differences = []
    for number in range(count):
        clock.advance(rng.random() * LONGEST_STEP_SECONDS)
        report_table.merge_report(draw_report(rng, number, hosts, endpoints))
        context.differences += find_differences(report_table, endpoints)
    context.fresh_reports = len(report_table.list_reports())
    context.hosts = hosts


@then("after each report its sums were those of the reports that were fresh")
def check_sums(context):
    assert not context.differences, context.differences[:5]
    # Some reports must have expired, or the simulation didn't cover expiry.
    assert 0 < context.fresh_reports < context.hosts, context.fresh_reports


@given(
    "a report table with reports of {hosts:d} hosts that use {count:d} endpoints each"
)
def make_busy_report_table(context, hosts, count):
    context.clock = ManualClock()
    context.report_table = ReportTable("own", "1", context.clock)
    context.endpoints = [make_endpoint(f"e{number}") for number in range(count)]
    for number in range(hosts):
        loads = {endpoint.name: (1, 0) for endpoint in context.endpoints}
        report = make_report(f"h{number}", loads=loads)
        context.report_table.merge_report(
            evolve(report, loads=LookupCountingLoads(report.loads))
        )


@when("one of all {count:d} endpoints is chosen")
def choose_endpoint(context, count):
    assert len(context.endpoints) == count
    LookupCountingLoads.lookups = 0
    chooser = EndpointChooser(
        FixedDirectory(context.endpoints),
        context.report_table,
        EndpointHealth(context.clock),
        EndpointTrust(context.clock),
        "a",
        random.Random(SEED),
    )
    chooser.choose(SERVICE)


@then("no report was read for the choice")
def check_lookups(context):
    assert LookupCountingLoads.lookups == 0, LookupCountingLoads.lookups
