"""Steps of what hosts believe of each other's reports of endpoints."""

import random

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.protocol.routing_pb2 import HostLoad
from mangogauge.routing import BalancedRouter, EndpointLoadExchange, LoadReport
from mangogauge.settings import Endpoint, EndpointKind

REPORTS = {"up": LoadReport(measured=True), "down": LoadReport(down=True)}


def make_exchange(clock):
    router = BalancedRouter("a", clock, random.Random(5))
    endpoint = Endpoint("e1", "127.0.0.1:1", "a", EndpointKind.ENGINE)
    router.set_endpoints({"e1": endpoint})
    return router, EndpointLoadExchange(router, clock)


@given('reports: a host that hears of endpoint "e1" from "a1" and "a2"')
def start_host(context):
    context.clock = ManualClock(100.0)
    context.router, context.exchange = make_exchange(context.clock)
    context.peers = {name: make_exchange(context.clock)[1] for name in ("a1", "a2")}
    context.seen = {}


def hear(context, host):
    context.loads = getattr(context, "loads", {})
    context.loads[host] = context.peers[host].encode_host_load()
    context.exchange.apply_host_loads(context.loads, context.seen)


@when('reports: "{first}" and then "{second}" report "e1" as {reports}')
def report(context, first, second, reports):
    for host, word in zip((first, second), reports.split(", "), strict=True):
        context.peers[host].record_own_report("e1", REPORTS[word])
    hear(context, first)
    hear(context, second)
    hear(context, first)


@then('reports: "e1" counts as {state}')
def check_state(context, state):
    is_down = context.router.get_state("e1").is_down(context.clock.read_elapsed())
    assert is_down == (state == "down"), context.router.get_state("e1")


@given('reports: "e1" has answered this host {seconds:g} s ago')
def answer(context, seconds):
    context.router.note_success("e1")
    context.clock.advance(seconds)


@then('reports: this host doubts "e1"')
def check_doubted(context):
    assert context.exchange.doubted == {"e1"}


@when('reports: this host fails to connect to "e1" {number:d} times')
def fail_to_connect(context, number):
    for _ in range(number):
        context.router.note_failure("e1", reached=False)


@when('reports: "e1" fails {number:d} times')
def fail(context, number):
    for _ in range(number):
        context.router.note_failure("e1")


@when('reports: this host connects to "e1"')
def connect(context):
    context.exchange.record_own_report("e1", REPORTS["up"])


def is_ejected(context):
    return context.router.get_state("e1").is_ejected(context.clock.read_elapsed())


@then('reports: "e1" is ejected here and {told}')
def check_told(context, told):
    assert is_ejected(context)
    load = HostLoad.FromString(context.exchange.encode_host_load())
    assert bool(load.ejected[0]) == (told == "told to others"), load


@then('reports: "e1" is no longer ejected')
def check_not_ejected(context):
    assert not is_ejected(context)
