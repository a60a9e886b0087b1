"""Steps of the origins of streams."""

import curio
from behave import given, then, when
from returns.result import Success

from features.builders.fleet import SERVICE, make_endpoint, make_route
from mangogauge.clock import ManualClock
from mangogauge.entry import OnlineCall
from mangogauge.fleet import ServiceShare
from mangogauge.refusals import Refusal
from mangogauge.store import KeyValue, Snapshot
from mangogauge.streams import (
    OriginFinder,
    StreamNews,
    StreamOrigin,
    StreamOrigins,
    StreamRecord,
    VersionHistory,
)
from mangogauge.streams.origins import digest_stream_id
from mangogauge.streams.record import RECORDS_PREFIX

SILENCE_SECONDS = 3600.0
READ_SECONDS = 0.02
HOSTS = 4
OTHER = "other"


class RecordsFeed:
    """A feed of records that counts how often they are read."""

    def __init__(self):
        self.items = []
        self.reads = 0
        self.silent = False

    async def read_snapshot(self, prefix, start_after=""):
        assert prefix == RECORDS_PREFIX
        self.reads += 1
        await curio.sleep(SILENCE_SECONDS if self.silent else READ_SECONDS)
        return Success(Snapshot(self.items, 1))


def make_host(context, complete):
    clock = context.clock = ManualClock()
    context.endpoints = []
    context.route = make_route(resumable=True)
    context.feed = RecordsFeed()
    context.origins = StreamOrigins(clock)
    history = VersionHistory(lambda: context.endpoints, clock)
    if complete:
        history.restore([])
    record = StreamRecord(
        None,
        context.feed,
        context.origins,
        history,
        list,
        "h1#1",
        lambda: HOSTS,
        list,
        None,
        clock,
    )
    context.finder = OriginFinder(context.origins, history, record)


def make_call(context, request_id, stream="", last_event=None):
    return OnlineCall(
        request_id,
        context.route,
        "desk",
        "POST",
        "/",
        None,
        b"",
        0.0,
        5.0,
        last_event,
        resumed_id=stream,
    )


async def find(context, stream):
    call = make_call(context, f"{stream}-again", stream, last_event=3)
    try:
        return await context.finder.find(call)
    except Refusal as refusal:
        return refusal


def make_endpoints(versions, service=SERVICE):
    return [
        make_endpoint(f"{service}-{version}", service=service, software=version)
        for version in versions.split(", ")
    ]


@given("a host that has read which versions there were")
def make_complete_host(context):
    make_host(context, complete=True)


@given("a host that has just started")
def make_new_host(context):
    make_host(context, complete=False)


@given('endpoints of the versions "{versions}"')
def add_endpoints(context, versions):
    context.endpoints += make_endpoints(versions)


@given('endpoints of the service "{service}"')
def add_other_service(context, service):
    context.endpoints += make_endpoints("v1", service)


@when('endpoints of the versions "{versions}" take the place of all others')
def replace_endpoints(context, versions):
    context.endpoints[:] = make_endpoints(versions)


@given("reads of the records get no answer")
def silence_store(context):
    context.feed.silent = True


@when('the stream "{stream}" begins at "{software}"')
def begin(context, stream, software):
    (endpoint,) = make_endpoints(software)
    context.finder.note(make_call(context, stream), endpoint)


@when("a caller begins a stream")
def begin_anywhere(context):
    call = make_call(context, "new")
    context.found = curio.run(context.finder.find, call)


@when('another host tells that the stream "{stream}" began at "{software}"')
def tell(context, stream, software):
    context.origins.merge(make_news(stream, software))


@when('another host has recorded that the stream "{stream}" began at "{software}"')
def record_stream(context, stream, software):
    value = make_news(stream, software).to_bytes()
    context.feed.items.append(KeyValue(f"{RECORDS_PREFIX}h2#1", value))


def make_news(stream, software):
    origin = StreamOrigin(SERVICE, software)
    return StreamNews.collect([(digest_stream_id(stream), origin)])


@when('the route leads to the service "{service}"')
def lead_elsewhere(context, service):
    context.route = make_route(resumable=True, shares=[ServiceShare(service)])


@when("the route leads to both services")
def lead_to_both(context):
    shares = [ServiceShare(SERVICE), ServiceShare(OTHER)]
    context.route = make_route(resumable=True, shares=shares)


@when('a caller resumes the stream "{stream}"')
def resume(context, stream):
    context.found = curio.run(find, context, stream)


@when("{count:d} callers resume unknown streams at the same time")
def resume_many(context, count):
    async def run():
        async with curio.TaskGroup() as group:
            for number in range(count):
                await group.spawn(find, context, f"s{number}")

    curio.run(run)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.clock.advance(seconds)


@then('it goes on at "{software}"')
def check_found(context, software):
    assert context.found == StreamOrigin(SERVICE, software), context.found


@then("it is refused, and may come back")
def check_refused(context):
    assert isinstance(context.found, Refusal), context.found
    assert context.found.status == 503 and context.found.executed == "no"
    assert context.found.retry_after is not None


@then("it may run anywhere")
def check_unbound(context):
    assert context.found is None, context.found


@then("the records were read at most {count:d} times")
def check_reads(context, count):
    assert context.feed.reads <= count, context.feed.reads
