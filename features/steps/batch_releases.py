"""Steps of the decision which chunks a host gives back."""

from types import SimpleNamespace

import orjson
from attrs import evolve
from behave import given, then, when

from mangogauge.batch import ChunkLedger, ChunkState, RoomLimits, SpareRoom
from mangogauge.batch.items import ItemReader, ItemResult
from mangogauge.batch.runs import ChunkRun, ReleaseRule, StartedItem
from mangogauge.clock import ManualClock
from mangogauge.settings import (
    Endpoint,
    EndpointKind,
    FleetSettings,
    Model,
    Route,
    RouteKind,
)

CHAT = {"url": "/v1/chat/completions", "body": {"model": "small"}}
BOOKING = {"url": "/bookings/1", "body": {}}


@given(
    'a host that fills the engine "{engine}" and leaves the service "{service}" '
    "to another host"
)
def make_host(context, engine, service):
    context.clock = ManualClock()
    context.room = SpareRoom(context.clock, RoomLimits(8))
    context.endpoints = {
        engine: Endpoint(engine, "h:1", "a", EndpointKind.ENGINE, models=("small",)),
        service: Endpoint(service, "h:2", "a", EndpointKind.SERVICE),
    }
    context.filled = {engine}
    context.room.set_endpoints(context.endpoints, context.filled)
    routes = (
        Route("chats", CHAT["url"], RouteKind.MODEL),
        Route("bookings", "/bookings/*", RouteKind.SERVICE, endpoints=(service,)),
    )
    fleet = FleetSettings(
        routes={route.name: route for route in routes}, models={"small": Model("small")}
    )
    context.reader = ItemReader(fleet, context.clock)
    context.runs = []


@given("a claimed chunk of {chats:d} chats and {bookings:d} bookings")
def claim(context, chats, bookings):
    lines = [orjson.dumps(item) for item in [CHAT] * chats + [BOOKING] * bookings]
    chunk = SimpleNamespace(ledger=ChunkLedger(len(lines), ChunkState()))
    now = context.clock.read_elapsed()
    context.runs.append(ChunkRun(chunk, lines, now, now))
    context.clock.advance(0.1)


@given("a claimed chunk of {chats:d} chats")
def claim_chats(context, chats):
    claim(context, chats, 0)


@given("a claimed chunk of {bookings:d} bookings")
def claim_bookings(context, bookings):
    claim(context, 0, bookings)


@when('the host can\'t connect to "{name}" and another does')
def hand_over(context, name):
    context.room.set_endpoints(context.endpoints, context.filled, {name})


@when('the host fills "{name}" of another data centre, which has no host')
def fill_far_endpoint(context, name):
    endpoints = context.endpoints
    context.endpoints = {**endpoints, name: evolve(endpoints[name], data_centre="b")}
    context.filled = context.filled | {name}
    context.room.set_endpoints(context.endpoints, context.filled)


@when("its items are tried for {seconds:d} s and all fail")
def try_items(context, seconds):
    context.clock.advance(seconds)
    context.runs[-1].started_at = context.clock.read_elapsed()


@when("a chat of it runs")
def run_chat(context):
    context.runs[-1].tasks[0] = StartedItem(None, True, "e", 1)


@when("its bookings have results")
def settle_bookings(context):
    run = context.runs[-1]
    for index, line in enumerate(run.lines):
        if b"bookings" in line:
            run.chunk.ledger.settle(ItemResult(index, True, b"{}"))


@when("nothing can be started for {seconds:d} s")
def stand_still(context, seconds):
    context.clock.advance(seconds)


@then("no chunk is given back")
def check_kept(context):
    assert choose(context, False) == []


@then("chunk {number:d} is given back")
def check_given_back(context, number):
    assert choose(context, False) == [number]


@then("chunk {number:d} is given back if its place is needed")
def check_crowded(context, number):
    assert choose(context, True) == [number]


def choose(context, is_crowded):
    """Return the numbers of the chunks that are given back."""
    now = context.clock.read_elapsed()
    rule = ReleaseRule(context.room, context.reader, now, "a")
    chosen = rule.choose(context.runs, is_crowded)
    return [n for n, run in enumerate(context.runs) if run.chunk in chosen]
