"""Steps of whether requests leave their data centre."""

import random

from attrs import field, frozen
from behave import given, then, when

from features.builders.fleet import SERVICE, FixedDirectory, make_endpoint, make_report
from mangogauge.clock import ManualClock
from mangogauge.placement import EndpointChooser, EndpointHealth, Spillover
from mangogauge.sharing import EndpointLoad, ReportTable
from mangogauge.trust import EndpointTrust

SEED = 3
HOLD_SECONDS = 0.5


@frozen
class FakeCandidate:
    endpoint = field()
    load = field()
    rate_cost = field(default=1.0)

    @property
    def is_local(self):
        return self.endpoint.data_centre == "a"


def add_candidates(context, data_centres, count, running):
    for number in range(count):
        place = data_centres[number % len(data_centres)]
        endpoint = make_endpoint(f"{place}{number}", data_centre=place)
        load = EndpointLoad(running, 0)
        context.candidates.append(FakeCandidate(endpoint, load))


@given("{count:d} local endpoints with {running:d} requests each")
def add_local(context, count, running):
    context.candidates = []
    add_candidates(context, "a", count, running)


@given("{count:d} endpoints with {running:d} requests each in 2 other data centres")
def add_remote(context, count, running):
    add_candidates(context, "bc", count, running)


@when("the way costs {way:g} s and counts are {age:g} s old")
def decide(context, way, age):
    context.age = age
    context.spillover = Spillover(way, random.Random(SEED))
    context.spillover.list_preferred(context.candidates, age, False)


@when("as many hosts choose as are expected to before they are told")
def choose_all(context):
    running = sum(c.load.online for c in context.candidates if c.is_local)
    hosts = round(running * context.age / HOLD_SECONDS)
    decisions = [
        Spillover(0, random.Random(number)).list_preferred(
            context.candidates, context.age, False
        )
        for number in range(hosts)
    ]
    context.away = sum(not any(n.startswith("a") for n in d) for d in decisions)


@then("between {least:g} and {most:g} of the requests go to other data centres")
def check_share(context, least, most):
    assert least <= context.spillover.share <= most, context.spillover.share


@then("at most {most:d} of them choose another data centre")
def check_away(context, most):
    assert 0 < context.away <= most, context.away


@then("a host without summaries chooses another data centre")
def check_fixed(context):
    assert choose(context, None).data_centre != "a"


@then("one for which the way costs {way:g} s chooses its own")
def check_spillover(context, way):
    assert choose(context, Spillover(way, random.Random(SEED))).data_centre == "a"


def choose(context, spillover):
    """Return what a chooser chooses by the candidates' loads."""
    clock = ManualClock()
    table = ReportTable("own", "1", clock)
    loads = {c.endpoint.name: (c.load.online, 0) for c in context.candidates}
    table.merge_report(make_report("h1", loads=loads))
    chooser = EndpointChooser(
        FixedDirectory([c.endpoint for c in context.candidates]),
        table,
        EndpointHealth(clock),
        EndpointTrust(clock),
        "a",
        random.Random(SEED),
        spillover=spillover,
    )
    return chooser.choose(SERVICE)
