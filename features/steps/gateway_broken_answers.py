"""Steps of streams that services break off."""

import curio
from behave import given, then, when

from mangogauge.gateway.calls import Call
from mangogauge.gateway.relays import AnswerRelay
from mangogauge.gateway.sinks import MemorySink
from mangogauge.http import Headers, HTTPReceiveError
from mangogauge.settings import Route, RouteKind

EVENTS = [b"id: 1\ndata: x", b"\n\nid: 2\ndata: y\n", b"\n"]
# What is sent, by where it ends.
PIECES = {
    "after an event": EVENTS,
    "within an event": [*EVENTS, b"id: 3\nda"],
    "before the first one": [],
}


async def iterate(pieces):
    for piece in pieces:
        yield piece


async def relay(context, pieces):
    headers = Headers([("Content-Type", "text/event-stream")])
    try:
        await context.relay.take(200, headers, iterate(pieces))
    except HTTPReceiveError:
        context.outcome = "broken off"
    else:
        context.outcome = "ended"


@given("a caller of a plain service")
def make_caller(context):
    route = Route("stock", "/stock/", RouteKind.SERVICE)
    call = Call("r", "desk", route, "POST", "/stock/1", Headers(), b"", 10.0)
    context.sink = MemorySink()
    context.relay = AnswerRelay(call, context.sink)


@when("the service sends events with no length and ends {where}")
def send_events(context, where):
    curio.run(relay, context, PIECES[where])


@then("the caller's answer has {outcome}")
def check_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome
    assert context.sink.whole is (outcome == "ended"), context.sink.body
