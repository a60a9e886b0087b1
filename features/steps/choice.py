"""Steps of the router's decisions."""

import random
from collections import Counter

from attrs import define, field
from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.routing import BalancedRouter, LoadReport
from mangogauge.settings import Endpoint, EndpointKind


@define
class PlainCall:
    affinity = field(default=0)

    def suits(self, endpoint):
        return True


@given(
    'choice: a router of data centre "{own}" with {here:d} endpoints there '
    'and {there:d} in "{other}"'
)
def make_router(context, own, here, there, other):
    context.clock = ManualClock(100.0)
    context.router = BalancedRouter(own, context.clock, random.Random(5))
    data_centres = [own] * here + [other] * there
    endpoints = {
        f"e{n}": Endpoint(f"e{n}", "127.0.0.1:1", data_centre, EndpointKind.ENGINE)
        for n, data_centre in enumerate(data_centres)
    }
    context.data_centres = {name: e.data_centre for name, e in endpoints.items()}
    context.router.set_endpoints(endpoints)


@when("choice: {count:d} calls are placed")
def place_calls(context, count):
    """Choose an endpoint for each call, then end them all."""
    context.chosen = Counter()
    for _ in range(count):
        name = context.router.choose(PlainCall()).name
        context.router.begin(name)
        context.chosen[name] += 1
    for name, number in context.chosen.items():
        for _ in range(number):
            context.router.end(name)


@when("choice: every endpoint fails {count:d} times")
def fail_all(context, count):
    for name in context.router.names:
        for _ in range(count):
            context.router.note_failure(name)


@when("choice: the first endpoint fails {count:d} times")
def fail_first(context, count):
    for _ in range(count):
        context.router.note_failure("e0")


@when("choice: {seconds:d} seconds pass")
def advance(context, seconds):
    context.clock.advance(seconds)


@when("choice: every endpoint reports that it is leaving")
def leave_all(context):
    for name in context.router.names:
        report = LoadReport(leaving=True, measured=True)
        context.router.get_state(name).apply_report(report, 100.0)


@when("choice: {count:d} peers report that the first endpoint is ejected")
def eject_by_peers(context, count):
    context.router.get_state("e0").peers_ejecting = count


@then('choice: only endpoints of "{data_centre}" were chosen')
def check_data_centre(context, data_centre):
    assert {context.data_centres[name] for name in context.chosen} == {data_centre}


@then("choice: at least {count:d} endpoints were chosen")
def check_spread(context, count):
    assert len(context.chosen) >= count, context.chosen


@then("choice: the first endpoint got no calls")
def check_no_calls(context):
    assert not context.chosen["e0"], context.chosen


@then("choice: the first endpoint got some calls")
def check_some_calls(context):
    assert context.chosen["e0"], context.chosen


@then("choice: the first endpoint got fewer than {count:d} calls but some")
def check_few_calls(context, count):
    assert 0 < context.chosen["e0"] < count, context.chosen


@then("choice: no endpoint is chosen")
def check_none_chosen(context):
    assert context.router.choose(PlainCall()) is None
    assert context.router.choose(PlainCall(), allow_down=True) is None
