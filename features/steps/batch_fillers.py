"""Steps of the choice of the host that fills an endpoint with batch work."""

from behave import given, then, when

from features.builders.views import ViewGroup
from mangogauge.batch import FillerChooser, RoomLimits, SpareRoom
from mangogauge.clock import ManualClock
from mangogauge.protocol.routing_pb2 import EndpointReport, HostLoad
from mangogauge.routing.sharing import LOAD_ENTRY
from mangogauge.settings import Endpoint, EndpointKind

HOSTS = ("a1", "a2", "a3")
# How often hosts look at the reports; within it views exchange at least once.
LOOK_SECONDS = 0.3
UP, DOWN = False, True


@given('three hosts of which "{filler}" fills the engine "{engine}"')
def make_group(context, filler, engine):
    context.group = ViewGroup()
    context.engine = Endpoint(engine, "127.0.0.1:1", "a", EndpointKind.ENGINE)
    for name in HOSTS:
        context.group.add(name, "a")
    views = context.group.views
    context.choosers = {name: FillerChooser(views[name]) for name in HOSTS}
    context.seen = {name: [] for name in HOSTS}
    pass_time(context, 3.0, HOSTS)
    check_filler(context, filler)


def report(context, host, state):
    """Publish what a host says of the engine: up, down or nothing."""
    rows = [] if state is None else [EndpointReport(endpoint="e1", down=state)]
    load = HostLoad(reports=rows).SerializeToString()
    context.group.views[host].publish(LOAD_ENTRY, load, all_data_centres=False)


def pass_time(context, seconds, running, blocked=()):
    for _ in range(round(seconds / LOOK_SECONDS)):
        context.group.run(LOOK_SECONDS, running, blocked)
        for name in running:
            view, chooser = context.group.views[name], context.choosers[name]
            chooser.refresh(view.list_members())
            filler = chooser.choose(context.engine)
            if context.seen[name][-1:] != [filler]:
                context.seen[name].append(filler)


@when(
    '"{one}" reports the engine as down, and "{others}" as up, for {seconds:d} s',
)
def report_one_down(context, one, others, seconds):
    report(context, one, DOWN)
    for name in others.split(", "):
        report(context, name, UP)
    pass_time(context, seconds, HOSTS)


@when(
    '"{one}" reports the engine as down, and "{others}" nothing, for {seconds:d} s',
)
def report_one_only(context, one, others, seconds):
    report(context, one, DOWN)
    for name in others.split(", "):
        report(context, name, None)
    pass_time(context, seconds, HOSTS)


@when(
    '"{one}" reports the engine as down for {down:d} s and as up for {up:d} s, '
    "{count:d} times"
)
def report_to_and_fro(context, one, down, up, count):
    for name in HOSTS:
        report(context, name, UP)
    context.seen = {name: [one] for name in HOSTS}
    for _ in range(count):
        report(context, one, DOWN)
        pass_time(context, down, HOSTS)
        report(context, one, UP)
        pass_time(context, up, HOSTS)


@when('"{one}" reports the engine as up for {seconds:d} s')
def report_up(context, one, seconds):
    report(context, one, UP)
    pass_time(context, seconds, HOSTS)


@when("all hosts report the engine as down for {seconds:d} s")
def report_all_down(context, seconds):
    for name in HOSTS:
        report(context, name, DOWN)
    pass_time(context, seconds, HOSTS)


@when('"{host}" stands still for {seconds:d} s')
def stand_still(context, host, seconds):
    pass_time(context, seconds, [name for name in HOSTS if name != host])


@when('"{host}" is cut off from the engine and from its peers for {seconds:d} s')
def cut_off(context, host, seconds):
    others = [name for name in HOSTS if name != host]
    report(context, host, DOWN)
    for name in others:
        report(context, name, UP)
    blocked = {(host, name) for name in others} | {(name, host) for name in others}
    pass_time(context, seconds, HOSTS, blocked)


@when('"{host}" alone is there and reports the engine as down for {seconds:d} s')
def report_alone(context, host, seconds):
    context.group = ViewGroup()
    context.group.add(host, "a")
    context.choosers = {host: FillerChooser(context.group.views[host])}
    report(context, host, DOWN)
    pass_time(context, seconds, [host])


@then('"{filler}" fills the engine, as all hosts see it')
def check_filler(context, filler):
    check_filler_of(context, filler, ", ".join(context.choosers))


@then('"{filler}" fills the engine, as "{names}" see it')
@then('"{filler}" fills the engine, as "{names}" sees it')
def check_filler_of(context, filler, names):
    for name in names.split(", "):
        chosen = context.choosers[name].choose(context.engine)
        assert chosen == filler, (name, chosen)


@then('no host fills the engine, as "{name}" sees it')
def check_unfilled(context, name):
    assert context.choosers[name].choose(context.engine) == ""


@then('items for the engine are handed over at "{host}" only')
def check_handed(context, host):
    handed_over = [
        n for n, c in context.choosers.items() if c.is_handed_over(context.engine)
    ]
    assert handed_over == [host], handed_over


@then("items for the engine are handed over at no host")
def check_unhanded(context):
    handed_over = [
        n for n, c in context.choosers.items() if c.is_handed_over(context.engine)
    ]
    assert not handed_over, handed_over


@then("each host saw the engine change hands once")
def check_changes(context):
    assert all(len(seen) == 2 for seen in context.seen.values()), context.seen


@given("an endpoint with {slots:d} slots that another host fills")
def make_foreign_room(context, slots):
    context.clock = ManualClock()
    context.room = SpareRoom(context.clock, RoomLimits(1000))
    endpoint = Endpoint("e", "127.0.0.1:1", "a", EndpointKind.ENGINE, slots=slots)
    context.endpoints = {"e": endpoint}
    context.room.set_endpoints(context.endpoints, set())
    context.online = context.other = 0


@when("this host fills the endpoint from now on")
def begin_to_fill(context):
    context.room.set_endpoints(context.endpoints, {"e"})
