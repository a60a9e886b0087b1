"""Steps of cold endpoints, with a clock moved by events and without a network."""

import logging

import orjson
from attrs import evolve
from behave import given, then, when

from features.builders.backpressure import allow_requests
from features.builders.cold import BOUNDS, ColdFleet
from features.builders.fleet import make_endpoint
from features.builders.platform.oddentries import make_entry
from mangogauge.backpressure import NO_LIMIT, ColdNews, ColdStates, LimitNews
from mangogauge.backpressure.coldnews import ColdRow
from mangogauge.backpressure.news import make_count_row
from mangogauge.clock import ManualClock
from mangogauge.fleet import Service
from mangogauge.http import Headers
from mangogauge.platform import PlatformEndpoints, PlatformSource
from mangogauge.sharing.messages import decode
from mangogauge.store import KeyValue
from mangogauge.trust import EndpointTrust
from mangogauge.trust.outcomes import NO_EVIDENCE

COLD_SECONDS = 6.0
WARM_UP_SECONDS = 3.0
LONG = 100.0
MILLISECONDS = 1000
NAMED_STABLE_SECONDS = 3.0
FULL_SHARE = 0.01
LIMITS = dict.fromkeys(
    ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"), 1
)


@given(
    "{hosts:d} hosts and {count:d} endpoints that take {rate:g} requests a second "
    "while cold, by the seed {seed:d}"
)
def make_fleet(context, hosts, count, rate, seed):
    logging.getLogger("mangogauge.backpressure").setLevel(logging.ERROR)
    context.fleet = ColdFleet(hosts, count, seed, rate, COLD_SECONDS)


@given("{rate:g} requests a second come")
def start_traffic(context, rate):
    context.fleet.start_traffic(rate, LONG)
    context.fleet.run(WARM_UP_SECONDS)
    context.fleet.served = context.fleet.refused = 0


@when("the endpoints of {data_centre} start again within a second")
def start_endpoints(context, data_centre):
    context.fleet.start_endpoints(data_centre)


@when("the endpoints of {data_centre} write that they are cold again")
def announce(context, data_centre):
    context.fleet.announce(data_centre)


@when("half of the hosts start anew, one each {seconds:g} s")
def restart_hosts(context, seconds):
    names = list(context.fleet.hosts)
    for name in names[: len(names) // 2]:
        context.fleet.restart(name)
        context.fleet.run(seconds)


@when("{each:d} streams come to each host within {milliseconds:g} ms")
def resume(context, each, milliseconds):
    context.fleet.resume_streams(each, milliseconds / MILLISECONDS)


@when("{count:d} of the hosts are cut off from the other ones for {seconds:g} s")
def cut(context, count, seconds):
    context.fleet.set_cut(list(context.fleet.hosts)[:count])
    context.fleet.run(seconds)
    context.fleet.set_cut([])


@when("no host hears another one for {seconds:g} s")
def isolate(context, seconds):
    context.fleet.isolate()
    context.fleet.run(seconds)


@when("they name the limit {rate:g}")
def name_limit(context, rate):
    context.fleet.set_limits(context.fleet.endpoints, rate)


@then("no cold endpoint got more than the rule allows in any second")
def check_most(context):
    fleet = context.fleet
    most, allowed = fleet.find_most(), BOUNDS.allow(fleet.rate)
    assert most <= allowed, (most, allowed)


@then("the cold endpoints got at least {share:g} of what they take")
def check_least(context, share):
    got, seconds = context.fleet.count_cold()
    assert got >= share * seconds * context.fleet.rate, (got, seconds)


@then("none got more than its limit of {rate:g} allows")
def check_limit(context, rate):
    for endpoint in context.fleet.endpoints:
        named_at = endpoint.named_at
        most = endpoint.find_most(named_at, named_at + NAMED_STABLE_SECONDS)
        assert most <= allow_requests(rate), (most, allow_requests(rate))


@then("at most 1 in 100 requests was refused")
def check_refused(context):
    fleet = context.fleet
    assert fleet.refused <= FULL_SHARE * fleet.served, (fleet.refused, fleet.served)


@given("an endpoint of a service that is cold for {seconds:g} s at {rate:g} a second")
def make_states(context, seconds, rate):
    context.service = Service("llm", seconds, rate)
    context.revision = 1
    make_cold_states(context, BOUNDS)


def make_cold_states(context, bounds):
    context.clock = ManualClock(calendar=LONG)
    context.states = ColdStates(bounds, context.clock)
    context.states.set_services([context.service])
    context.endpoint = make_endpoint("e1", start_time_ms=1)


def note_entry(context, seconds, has_entered=True):
    if seconds is not None:
        context.revision += 1
        revision = context.revision if seconds else 0
        context.endpoint = evolve(
            context.endpoint, cold_left=seconds, cold_revision=revision
        )
    context.states.note_entry(context.endpoint, has_entered)


def tell(context, seconds, revision=0):
    row = ColdRow("e1", 1, seconds, 0.0, revision)
    (news,) = decode(ColdNews([row]).to_bytes())
    context.states.merge(news)


def remove_cold_time(context, seconds):
    context.states.set_services([evolve(context.service, cold_seconds=0.0)])


def answer(context, seconds):
    now = context.clock.read_elapsed()
    context.states.note_answer(context.endpoint, seconds, now)


def start_before(context, seconds):
    """Let the endpoint have started 4 s before the host."""
    start_time_ms = round((LONG - 4) * MILLISECONDS)
    context.endpoint = evolve(context.endpoint, start_time_ms=start_time_ms)
    note_entry(context, None, False)


EVENTS = {
    "it is there since 4 s": start_before,
    "it enters": note_entry,
    "it writes": note_entry,
    "it is there": lambda context, seconds: note_entry(context, seconds, False),
    "its entry is read again": note_entry,
    "it answers": answer,
    "another host tells": tell,
    "another host tells of the same": lambda context, seconds: tell(
        context, seconds, context.revision
    ),
    "its service has no cold time": remove_cold_time,
    "the host has no bounds": lambda context, seconds: make_cold_states(context, None),
}


@when("these events follow: {events}")
def play(context, events):
    for event in events.split(", "):
        if event.endswith(" s pass"):
            context.clock.advance(float(event.split()[0]))
            continue
        words = event.removesuffix(" s left").split()
        has_seconds = event.endswith(" s left")
        seconds = float(words.pop()) if has_seconds else None
        EVENTS[" ".join(words).removesuffix(" with")](context, seconds)


@then("it is cold for {seconds:g} s more")
def check_cold(context, seconds):
    step = 0.01
    if seconds:
        context.clock.advance(seconds - step)
        assert context.states.list_cold() == ["e1"]
        context.clock.advance(2 * step)
    assert context.states.list_cold() == []


@when("a row of a cold endpoint arrives that another host has sent {taken:d} requests")
def merge_count(context, taken):
    news = LimitNews("h2", "1", 1, [make_count_row("e1", 1000, taken)])
    (found,) = decode(news.to_bytes())
    statement = found.rows[0].make_statement(0.0)
    assert statement.rate == NO_LIMIT
    context.limits.note("e1", 1000, statement, "h2")


@when("the platform's {field_name} is {value}")
def read_value(context, field_name, value):
    context.found = READERS[field_name](value)


@then("it is ignored, and the rest is kept")
def check_ignored(context):
    assert context.found, context.found


def reads_entry(value):
    text = make_entry(cold_left_ms=orjson.loads(value))
    found = PlatformSource().read_endpoint(KeyValue("servers/e1", text.encode()))
    return found is not None and found.cold_left is None


def read_services(services):
    value = {"version": 3, "routes": [], "services": services, "limits": LIMITS}
    item = KeyValue("op/config", orjson.dumps(value))
    return PlatformSource().read_operator_entry(item).configuration.services


def reads_service(name, value):
    fields = {"name": "llm", "cold_s": 4, "cold_per_s": 6, name: orjson.loads(value)}
    expected = {"cold_s": Service("llm", 0, 6), "cold_per_s": Service("llm", 4, 0)}
    return read_services([fields]) == (expected[name],)


def reads_services(value):
    return read_services(orjson.loads(value)) == ()


def reads_header(value):
    fields = Headers([("X-Cold-Ms", value)])
    valid = Headers([("X-Cold-Ms", "1500")])
    dialect = PlatformEndpoints()
    return dialect.read_cold(fields) is None and dialect.read_cold(valid) == 1.5


READERS = {
    "cold_left_ms": reads_entry,
    "cold_s": lambda value: reads_service("cold_s", value),
    "cold_per_s": lambda value: reads_service("cold_per_s", value),
    "services": reads_services,
    "X-Cold-Ms": reads_header,
}


@then(
    "a cold endpoint whose answer takes {seconds:g} s keeps its standing, "
    "and one that is not cold is silent"
)
def check_silence(context, seconds):
    assert find_silent(seconds, {"e1"}) == []
    assert find_silent(seconds, set()) == ["e1"]


@then(
    "a cold endpoint that a request leaves after {seconds:g} s has not failed, "
    "and one that is not cold has"
)
def check_left(context, seconds):
    assert count_cuts(seconds, {"e1"}) == 0
    assert count_cuts(seconds, set()) == 1


@then("a cold endpoint that breaks the connection after {seconds:g} s has failed")
def check_broken(context, seconds):
    assert count_cuts(seconds, {"e1"}) == 1


def count_cuts(seconds, cold):
    """Return the cuts of an endpoint whose attempt ends after some seconds."""
    clock = ManualClock()
    trust = EndpointTrust(clock, is_cold=lambda name: name in cold)
    endpoint = make_endpoint("e1", start_time_ms=1)
    attempt = trust.begin(endpoint)
    clock.advance(seconds)
    attempt.end_interrupted()
    trust.evaluate([endpoint])
    return trust.list_evidence().get("e1", NO_EVIDENCE).cut


def find_silent(seconds, cold):
    """Return the endpoints whose answers are overdue after some seconds."""
    clock, silent = ManualClock(), []
    trust = EndpointTrust(
        clock, on_silence=silent.append, is_cold=lambda name: name in cold
    )
    endpoints = [make_endpoint(f"e{n}", start_time_ms=1) for n in range(1, 5)]
    for endpoint in endpoints[1:] * 20:
        attempt = trust.begin(endpoint)
        clock.advance(0.05)
        attempt.note_progress()
        attempt.end_answered()
    trust.begin(endpoints[0])
    clock.advance(seconds)
    trust.evaluate(endpoints)
    return silent


@when("the changes are taken, and a process that isn't cold takes its place")
def replace_process(context):
    context.states.take_changes()
    context.endpoint = evolve(context.endpoint, start_time_ms=2)
    note_entry(context, 0.0)


@then("a change ends the limit")
def check_ended(context):
    rates = [change.rate for change in context.states.take_changes()]
    assert rates == [None], rates
