"""Steps of evacuations and regions as operators write them."""

import orjson
from behave import given, then, when

from features.builders.fleet import HOST_NAME
from features.steps.fleet import SOURCE
from mangogauge.clock import ManualClock
from mangogauge.fleet import FleetMember, FleetState, MemberDirectory, OperatorListener
from mangogauge.placement import Eligibility
from mangogauge.sharing import ReportTable
from mangogauge.store import KeyValue, WatchEvent

PREFIX = "op/evacuate/"
LIMITS = {
    "max_header_bytes": 1000,
    "max_body_bytes": 1000,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 1000,
}
ROUTE = {
    "name": "ask",
    "host": HOST_NAME,
    "prefix": "/ask/",
    "kind": "stream",
    "timeout_ms": 5000,
    "slo_ms": 300,
    "priority": 0,
    "service": "llm",
    "max_attempts": 1,
}


def make_items(text):
    """Return entries of evacuations, given as ``DATA CENTRE@REVISION, ...``."""
    pairs = [part.split("@") for part in text.split(", ") if part != "none"]
    return [KeyValue(PREFIX + name, b"{}", 0, int(number)) for name, number in pairs]


@given("a host that reads the operators' entries")
def make_host(context):
    clock = ManualClock()
    own = FleetMember("h1", "1")
    report_table = ReportTable("h1", "1", clock)
    context.state = FleetState(None, MemberDirectory(own, clock), report_table)
    context.eligibility = Eligibility(None)
    context.listener = OperatorListener(
        SOURCE,
        context.state,
        lambda configuration: None,
        lambda retirement: None,
        context.eligibility.apply_evacuations,
    )


@when('it reads "{first}" and then "{second}", by copies')
def read_copies(context, first, second):
    context.listener.apply_snapshot(make_items(first))
    context.listener.apply_snapshot(make_items(second))


@when('it reads "{first}" and then "{second}", by changes')
def read_changes(context, first, second):
    before, after = make_items(first), make_items(second)
    context.listener.apply_snapshot(before)
    gone = {item.key for item in before} - {item.key for item in after}
    events = [WatchEvent(item.key, item.value, item.mod_revision) for item in after]
    context.listener.apply_changes([*(WatchEvent(k, None, 9) for k in gone), *events])


@then('the data centres "{names}" are evacuated at it')
def check_evacuated(context, names):
    expected = set() if names == "none" else set(names.split(", "))
    assert context.eligibility.evacuated == expected, context.eligibility.evacuated


@then('the digests of "{first}", "{second}" and "{third}" differ')
def check_digests(context, first, second, third):
    texts = (first, second, third)
    digests = {context.listener.digest_items(make_items(text)) for text in texts}
    assert len(digests) == len(texts)


@then('the digest that it expects of "{text}" is that of the copy it then has')
def check_digest(context, text):
    expected = context.listener.digest_items(make_items(text))
    context.listener.apply_snapshot(make_items(text))
    assert context.listener.digest == expected


@when('it reads the entry "{key}" with the value {value} beside an evacuation of "b"')
def read_odd_entry(context, key, value):
    items = [KeyValue(key, value.encode(), 0, 1), *make_items("b@2")]
    context.listener.apply_snapshot(items)


@when("it reads a configuration whose {holder} has the allowed_regions {value}")
def read_regions(context, holder, value):
    rows = {
        "route": dict(ROUTE),
        "account": {"name": "desk", "api_keys": ["desk-key"]},
    }
    context.holder = holder
    rows[holder]["allowed_regions"] = orjson.loads(value)
    configuration = {
        "version": 1,
        "routes": [rows["route"]],
        "tenants": [rows["account"]],
        "limits": LIMITS,
    }
    item = KeyValue("op/config", orjson.dumps(configuration), 0, 1)
    context.listener.apply_snapshot([item])


def get_regions(context):
    configuration = context.state.routes.configuration
    rows = {"route": configuration.routes, "account": configuration.accounts}
    return rows[context.holder][0].allowed_regions


@then('its holder is restricted to "{names}"')
def check_restricted(context, names):
    assert get_regions(context) == set(names.split(", "))
    assert context.state.routes.restricts_regions


@then("its holder is not restricted")
def check_unrestricted(context):
    assert get_regions(context) is None
    assert not context.state.routes.restricts_regions


@then("the configuration is not in force")
def check_not_in_force(context):
    assert context.state.routes is None
