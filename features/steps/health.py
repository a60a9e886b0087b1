"""Steps of unreachable endpoints."""

import random

from behave import given, then, when

from features.builders.fleet import SERVICE, FixedDirectory, make_endpoint
from mangogauge.clock import ManualClock
from mangogauge.placement import EndpointChooser, EndpointHealth
from mangogauge.sharing import ReportTable
from mangogauge.sharing.summaries import DataCentreSummary, DataCentreTotals
from mangogauge.trust import EndpointTrust


@given('a local endpoint "{near}", and endpoints "{far}" of another data centre')
def make_endpoints(context, near, far):
    context.clock = ManualClock()
    context.health = EndpointHealth(context.clock)
    context.report_table = ReportTable("h1", "1", context.clock)
    endpoints = [make_endpoint(near)]
    endpoints += [make_endpoint(name, data_centre="b") for name in far.split(", ")]
    context.names = [endpoint.name for endpoint in endpoints]
    context.chooser = EndpointChooser(
        FixedDirectory(endpoints),
        context.report_table,
        context.health,
        EndpointTrust(context.clock),
        "a",
        random.Random(1),
    )


def choose(context):
    context.clock.advance(0.01)
    return context.chooser.choose(SERVICE).name


@when('"{names}" accepts no connection')
@when('"{names}" accept no connection')
def refuse_connections(context, names):
    context.clock.advance(0.01)
    for name in names.split(", "):
        context.health.note_unreachable(name)


@when('"{name}" accepts a connection again')
def accept_connection(context, name):
    context.clock.advance(0.01)
    context.health.note_reachable(name)


@when('"{name}" answers')
def answer(context, name):
    context.clock.advance(0.01)
    context.health.note_answer(name)


@when("all endpoints answer")
def answer_all(context):
    for name in context.names:
        answer(context, name)


@given('"{name}" runs {own:d} online requests, and each other endpoint {others:d}')
def run_requests(context, name, own, others):
    for endpoint in context.names:
        for _ in range(own if endpoint == name else others):
            context.report_table.begin(endpoint)


@when('"{name}" is busier than all others')
def make_busy(context, name):
    for _ in range(4):
        context.report_table.begin(name)


@then('no request goes to "{name}" within {seconds:d} s')
def check_never(context, name, seconds):
    for _ in range(seconds * 10):
        context.clock.advance(0.1)
        assert choose(context) != name


@then('requests go to "{name}"')
def check_some(context, name):
    assert choose(context) == name


@then('the next request goes to "{name}"')
def check_next(context, name):
    assert choose(context) == name


@then('the next request doesn\'t go to "{name}"')
def check_other(context, name):
    assert choose(context) != name


@then("the next request goes to some endpoint")
def check_any(context):
    assert choose(context) in context.names


@given("the other data centre's loads come as summaries")
def merge_summary(context):
    totals = DataCentreTotals("b", "h9", "1", 1)
    context.report_table.merge_summary(DataCentreSummary(totals, ("h9",)))
