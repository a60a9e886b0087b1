"""Steps of the origins of streams."""

import curio
from behave import given, then, when

from features.builders.fleet import SERVICE, make_endpoint, make_route
from features.builders.streamhosts import (
    ENDPOINTS_PREFIX,
    NO_NEWER_COPY,
    READ_SECONDS,
    VersionsFeed,
    VersionsStore,
)
from mangogauge.clock import ManualClock
from mangogauge.entry import OnlineCall
from mangogauge.fleet import EndpointDirectory, ServiceShare
from mangogauge.refusals import Refusal
from mangogauge.store import KeyValue
from mangogauge.streams import (
    OriginFinder,
    StreamNews,
    StreamOrigin,
    StreamOrigins,
    StreamRecord,
    VersionConfirmation,
    VersionHistory,
    VersionRecord,
)
from mangogauge.streams.origins import digest_stream_id
from mangogauge.streams.record import RECORDS_PREFIX

HOSTS = 4
LONG_SECONDS = 3600.0
OTHER = "other"


def read_endpoint(item):
    return make_endpoint(item.key, software=item.value)


def make_host(context, complete):
    clock = context.clock = ManualClock()
    context.directory = EndpointDirectory(read_endpoint, str, clock)
    context.route = make_route(resumable=True)
    context.feed = VersionsFeed()
    context.store = VersionsStore()
    context.origins = StreamOrigins(clock)
    context.copy_age, context.newer_age = 0.5, NO_NEWER_COPY
    history = context.history = VersionHistory(
        context.directory.list_endpoints,
        lambda: context.copy_age,
        lambda: context.newer_age,
        clock,
    )
    version_record = VersionRecord(context.store, history, lambda: False)
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
    confirmation = VersionConfirmation(
        context.feed,
        ENDPOINTS_PREFIX,
        read_endpoint,
        context.directory.add_endpoints,
        history,
        version_record,
        clock,
    )
    context.finder = OriginFinder(
        context.origins, history, record, confirmation, context.directory.get, clock
    )


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
    context.directory.add_endpoints(make_endpoints(versions))


@given('endpoints of the service "{service}"')
def add_other_service(context, service):
    context.directory.add_endpoints(make_endpoints("v1", service))


@when('endpoints of the versions "{versions}" take the place of all others')
def replace_endpoints(context, versions):
    context.directory.apply_snapshot([])
    context.directory.add_endpoints(make_endpoints(versions))


@given("reads of the records get no answer")
def silence_store(context):
    context.feed.silent.add(RECORDS_PREFIX)


@when('the stream "{stream}" begins at "{software}"')
def begin(context, stream, software):
    (endpoint,) = make_endpoints(software)
    connected_at = context.clock.read_elapsed() - LONG_SECONDS
    context.finder.note(make_call(context, stream), endpoint, connected_at)


@when("a caller begins a stream")
def begin_anywhere(context):
    call = make_call(context, "new")
    context.found = curio.run(context.finder.find, call)


@when('another host tells that the stream "{stream}" began at "{software}"')
def tell(context, stream, software):
    news = make_news(stream, software)
    context.origins.merge(news)
    context.history.add(news.streams)


@when('another host has recorded that the stream "{stream}" began at "{software}"')
def record_stream(context, stream, software):
    value = make_news(stream, software).to_bytes()
    item = KeyValue(f"{RECORDS_PREFIX}h2#1", value)
    context.feed.items[RECORDS_PREFIX].append(item)


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


@when('a caller resumes the stream "{stream}", and the copy is confirmed meanwhile')
def resume_beside_read(context, stream):
    async def run():
        found = await curio.spawn(find, context, stream)
        await curio.sleep(READ_SECONDS / 2)
        context.clock.advance(READ_SECONDS / 2)
        context.copy_age = 0.0
        return await found.join()

    context.found = curio.run(run)


@when("{count:d} callers resume unknown streams at the same time")
def resume_many(context, count):
    async def run():
        async with curio.TaskGroup() as group:
            for number in range(count):
                await group.spawn(find, context, f"s{number}")
        return group.results

    context.all_found = curio.run(run)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.clock.advance(seconds)


@then('it goes on at "{software}"')
def check_found(context, software):
    assert context.found == StreamOrigin(SERVICE, software), context.found


@then("it is refused, and may come back")
def check_refused(context):
    check_refusal(context.found)


def check_refusal(found):
    assert isinstance(found, Refusal), found
    assert found.status == 503 and found.executed == "no"
    assert found.retry_after is not None


@then("it may run anywhere")
def check_unbound(context):
    assert context.found is None, context.found


@then("the records were read at most {count:d} times")
def check_reads(context, count):
    reads = context.feed.reads[RECORDS_PREFIX]
    assert reads <= count, reads


@given('its copy of the endpoints is {seconds:g} s old, and the store has "{versions}"')
def age_copy(context, seconds, versions):
    context.copy_age = seconds
    context.feed.items[ENDPOINTS_PREFIX] = [
        KeyValue(f"e{number}", version)
        for number, version in enumerate(versions.split(", "))
    ]


@given("another host has a newer copy, read {seconds:g} s ago")
def have_newer(context, seconds):
    context.newer_age = seconds


@given("all reads of the store fail")
def take_store_away(context):
    context.feed.away = context.store.away = True


@given("all reads of the store get no answer")
def silence_all(context):
    context.feed.silent.update([ENDPOINTS_PREFIX, RECORDS_PREFIX])


@when("{seconds:d} s pass, and its copy was confirmed {age:g} s ago")
def miss_time(context, seconds, age):
    context.clock.advance(seconds)
    context.copy_age = age


@when('the record of versions holds "{versions}"')
def record_versions(context, versions):
    context.store.versions = [[SERVICE, version] for version in versions.split(", ")]


@then('all of them go on at "{software}"')
def check_all_found(context, software):
    expected = [StreamOrigin(SERVICE, software)] * len(context.all_found)
    assert context.all_found == expected, context.all_found


@then("all of them are refused, and may come back")
def check_all_refused(context):
    for found in context.all_found:
        check_refusal(found)


@then("the endpoints' entries were read {count:d} time")
@then("the endpoints' entries were read {count:d} times")
def check_entry_reads(context, count):
    reads = context.feed.reads[ENDPOINTS_PREFIX]
    assert reads == count, reads


@then("no version is known to be the only one")
def check_no_only(context):
    assert context.finder.find_only([SERVICE]) is None


@then('it knows endpoints of the versions "{versions}"')
def check_endpoints(context, versions):
    known = {endpoint.software for endpoint in context.directory.list_endpoints()}
    assert known == set(versions.split(", ")), known
