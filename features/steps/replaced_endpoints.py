"""Steps of streams at endpoints whose processes are replaced."""

import curio
from behave import given, then, when

from features.builders.fleet import SERVICE
from features.builders.streamhosts import ENDPOINTS_PREFIX
from features.steps.streams import make_call, make_endpoints
from mangogauge.store import KeyValue
from mangogauge.streams import StreamOrigin
from mangogauge.streams.confirmation import MAX_WAIT_SECONDS
from mangogauge.streams.origins import digest_stream_id

STREAM = "s1"
MAY = {"may": True, "may not": False}


@given(
    "its copy of the endpoints is {age:g} s old, and the store has the endpoint "
    'with "{software}"'
)
def set_copy(context, age, software):
    (context.endpoint,) = make_endpoints("v1")
    context.copy_age = age
    context.feed.items[ENDPOINTS_PREFIX] = [KeyValue(context.endpoint.name, software)]


def begin(context, connection_seconds):
    context.call = make_call(context, STREAM)
    connected_at = context.clock.read_elapsed() - connection_seconds
    context.finder.note(context.call, context.endpoint, connected_at)


@when("a stream begins at the endpoint on a new connection")
def begin_on_new(context):
    begin(context, 0.0)


@when("a stream begins at the endpoint on a connection of {seconds:g} s ago")
def begin_on_old(context, seconds):
    begin(context, seconds)


@when("the stream's next events come")
def go_on(context):
    context.finder.note_events(context.call)


@when(
    "{count:d} streams begin at the endpoint on new connections and break off together"
)
def begin_many(context, count):
    context.calls = [make_call(context, f"s{number}") for number in range(count)]
    for call in context.calls:
        now = context.clock.read_elapsed()
        context.finder.note(call, context.endpoint, now)


@then("all of them may go on, after {reads:d} read of the endpoints' entries")
def check_all_may(context, reads):
    assert all(curio.run(settle_all, context))
    assert context.feed.reads[ENDPOINTS_PREFIX] == reads, context.feed.reads


@then(
    "all of them may go on one after the other, after {reads:d} read of the "
    "endpoints' entries"
)
def check_each_may(context, reads):
    assert all(curio.run(settle_each, context))
    assert context.feed.reads[ENDPOINTS_PREFIX] == reads, context.feed.reads


async def settle_each(context):
    found = []
    for call in context.calls:
        found.append(await context.finder.settle(call))
        # The clock of the scenario doesn't follow the time that the wait took.
        context.clock.advance(MAX_WAIT_SECONDS)
    return found


async def settle_all(context):
    tasks = [await curio.spawn(context.finder.settle, call) for call in context.calls]
    return [await task.join() for task in tasks]


@then("no other host is told any more where it began")
def check_not_told(context):
    assert context.origins.find(digest_stream_id(STREAM)) is None


@then('other hosts are told that it began at "{software}"')
def check_told(context, software):
    origin = context.origins.find(digest_stream_id(STREAM))
    assert origin == StreamOrigin(SERVICE, software), origin


def settle(context, reads):
    may_go_on = curio.run(context.finder.settle, context.call)
    assert context.feed.reads[ENDPOINTS_PREFIX] == reads, context.feed.reads
    return may_go_on


@then("it may not go on, after {reads:d} read of the endpoints' entries")
def check_may_not(context, reads):
    assert not settle(context, reads)


@then('it may go on at "{software}", after {reads:d} read of the endpoints\' entries')
@then('it may go on at "{software}", after {reads:d} reads of the endpoints\' entries')
def check_may(context, software, reads):
    assert settle(context, reads)
    assert context.call.origin == StreamOrigin(SERVICE, software), context.call.origin


@then('a stream of "{version}" {may} be resumed at the endpoint')
def check_resumed(context, version, may):
    origin = StreamOrigin(SERVICE, version)
    found = curio.run(context.finder.may_resume, origin, context.endpoint)
    assert found is MAY[may], found
