"""Steps of what a host knows of the fleet."""

import curio
import orjson
from behave import given, then, when

from features.builders.fleet import ScriptedFeed, make_configuration
from mangogauge.clock import ManualClock
from mangogauge.fleet import (
    EndpointDirectory,
    FixedDelaySchedule,
    FleetMember,
    FleetState,
    Follower,
    Listener,
    MemberDirectory,
    OperatorListener,
)
from mangogauge.platform import PlatformSource
from mangogauge.sharing import ReportTable
from mangogauge.store import KeyValue, StoreCompactedError, WatchEvent

SOURCE = PlatformSource()


def make_entry(**changes):
    value = {"service": "llm", "address": "192.0.2.1:8", "slots": 8, "state": "ready"}
    return orjson.dumps({**value, **changes})


def put_entry(context, name, value):
    event = WatchEvent(SOURCE.endpoints_prefix + name, value, 1)
    context.directory.apply_changes([event])


@given('a directory that knows the endpoints "{names}"')
def make_directory(context, names):
    context.clock = ManualClock()
    context.directory = EndpointDirectory(
        SOURCE.read_endpoint, SOURCE.parse_endpoint_name, context.clock
    )
    items = [
        KeyValue(SOURCE.endpoints_prefix + name, make_entry())
        for name in names.split(", ")
    ]
    context.directory.apply_snapshot(items)
    context.clock.advance(60)


@when('the store is lost and regained, and the entry of "{name}" is gone')
def lose_entry_in_outage(context, name):
    context.directory.handle_store_regained()
    put_entry(context, name, None)


@given("its digest is noted")
def note_digest(context):
    context.digest = context.directory.digest


@then("its digest differs from the one that was noted")
def check_other_digest(context):
    assert context.directory.digest != context.digest


@then("its digest is the one that was noted")
def check_same_digest(context):
    assert context.directory.digest == context.digest


@when('the entry of "{name}" is gone')
def lose_entry(context, name):
    put_entry(context, name, None)


@when('"{name}" says that it leaves')
def leave(context, name):
    put_entry(context, name, make_entry(state="draining"))


@when('{seconds:g} s pass and "{name}" writes its entry again')
def return_entry(context, seconds, name):
    context.clock.advance(seconds)
    put_entry(context, name, make_entry())


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.clock.advance(seconds)


@when("these entries are written")
def write_entries(context):
    for row in context.table:
        put_entry(context, row["name"], row["entry"].encode())


@then('the directory knows "{names}"')
def check_directory(context, names):
    known = sorted(e.name for e in context.directory.list_endpoints())
    assert known == names.split(", "), known


class DictListener(Listener):
    """Keeps what it is told in a dict."""

    def __init__(self):
        self.values = {}

    def apply_snapshot(self, items):
        self.values = {item.key: item.value for item in items}

    def apply_changes(self, events):
        self.values.update({event.key: event.value for event in events})

    def handle_store_regained(self):
        pass


@given("a follower of a prefix that has 2 items")
def make_follower(context):
    context.feed = ScriptedFeed()
    context.feed.items = {"p/a": b"1", "p/b": b"1"}
    context.listener = DictListener()


@when('the store drops its history and "a" changes meanwhile')
def drop_history(context):
    context.feed.script = [StoreCompactedError("dropped")]
    curio.run(_follow_for_a_while(context))


async def _follow_for_a_while(context):
    schedule = FixedDelaySchedule(0.001)
    follower = Follower(context.feed, "p/", context.listener, schedule, ManualClock())
    task = await curio.spawn(follower.run)
    while not context.listener.values:
        await curio.sleep(0)
    context.feed.items["p/a"] = b"2"
    while context.listener.values["p/a"] != b"2":
        await curio.sleep(0.001)
    await task.cancel()


@then('the follower has the new value of "a"')
def check_follower(context):
    assert context.listener.values == {"p/a": b"2", "p/b": b"1"}


@given("a host with the configuration {version:d} in force")
def make_state(context, version):
    clock = ManualClock()
    own = FleetMember("h1", "1")
    board = ReportTable("h1", "1", clock)
    context.state = FleetState(None, MemberDirectory(own, clock), board)
    context.state.apply_configuration(make_configuration(version))
    context.orders = OperatorListener(
        SOURCE, context.state, lambda configuration: None, lambda order: None
    )
    context.revision = 1


def read_configuration(context, value):
    context.revision += 1
    item = KeyValue("op/config", orjson.dumps(value), 0, context.revision)
    context.orders.apply_snapshot([item])


@when("it reads the configuration {version:d}")
def read_version(context, version):
    limits = {
        "max_header_bytes": 1000,
        "max_body_bytes": 1000,
        "header_timeout_ms": 1000,
        "idle_timeout_ms": 1000,
    }
    value = {"version": version, "routes": [], "services": [], "limits": limits}
    read_configuration(context, value)


@when("it reads a configuration without routes")
def read_broken(context):
    read_configuration(context, {"version": 9, "services": [], "limits": {}})


@then("the configuration {version:d} is in force")
def check_version(context, version):
    assert context.state.version == version, context.state.version
