"""Steps of the rates of endpoints that hosts share."""

import random

from attrs import evolve
from behave import given, then, when

from features.builders.fleet import SERVICE, FixedDirectory, make_endpoint, make_report
from mangogauge.clock import ManualClock
from mangogauge.placement import EndpointChooser, EndpointHealth
from mangogauge.sharing import ReportTable
from mangogauge.sharing.messages import decode
from mangogauge.sharing.reports import ReportError
from mangogauge.trust import EndpointRates, EndpointTrust

SEED = 7
INTERVAL_SECONDS = 0.02
TICK_SECONDS = 0.1


@given(
    "{hosts:d} hosts that share the rates of {count:d} endpoints,"
    " of which {slower:d} take {factor:g} times as long"
)
def make_hosts(context, hosts, count, slower, factor):
    context.clock, context.random = ManualClock(), random.Random(SEED)
    context.rates = [
        EndpointRates(f"h{n}", context.clock, random.Random(n)) for n in range(hosts)
    ]
    context.endpoints = {
        f"e{n}": make_endpoint(f"e{n}", start_time_ms=1) for n in range(count)
    }
    context.factors = {f"e{n}": factor if n < slower else 1.0 for n in range(count)}
    update_endpoints(context)


def update_endpoints(context):
    for rates in context.rates:
        rates.remove_old(context.endpoints)


def observe(context, rates, name, factor=1.0):
    running = context.random.randint(1, 8)
    noise = context.random.uniform(0.8, 1.25)
    interval = INTERVAL_SECONDS * (1 + running / 8) * context.factors[name]
    rates.note(context.endpoints[name], interval * factor * noise, running)


def share(context):
    """Let each host send its rates to one other, as it would in a second."""
    for rates in context.rates:
        (news,) = decode(rates.make_news().to_bytes())
        context.random.choice(context.rates).merge(news)


@when("{count:d} responses are observed, with intervals that grow with the load")
def observe_all(context, count):
    names = list(context.endpoints)
    for number in range(count):
        rates = context.random.choice(context.rates)
        observe(context, rates, context.random.choice(names))
        context.clock.advance(TICK_SECONDS)
        if number % 5 == 0:
            share(context)


@when(
    "a host observes {count:d} responses of a fast endpoint"
    " that take {factor:g} times as long"
)
def stall(context, count, factor):
    for _ in range(count):
        observe(context, context.rates[0], "e8", factor)
    share(context)


@when("the slower endpoints start again")
def restart(context):
    for name, factor in context.factors.items():
        if factor > 1:
            endpoint = context.endpoints[name]
            context.endpoints[name] = evolve(endpoint, start_time_ms=2)
    update_endpoints(context)


@when("a host receives {value}")
def receive(context, value):
    context.value = value.encode()


@then("every host has costs of about {cost:g} for the slower endpoints only")
def check_costs(context, cost):
    slower = {name for name, factor in context.factors.items() if factor > 1}
    for rates in context.rates:
        costs = rates.compute_costs(context.endpoints)
        assert costs.keys() == slower, costs
        assert all(abs(c / cost - 1) < 0.2 for c in costs.values()), costs


@then("no host has costs")
def check_none(context):
    found = [rates.compute_costs(context.endpoints) for rates in context.rates]
    assert not any(found), found


@then(
    "a chooser lets {slow:d} requests queue at a slower endpoint"
    " and {fast:d} at a fast one"
)
def check_queues(context, slow, fast):
    assert count_queued(context, "e0") == slow
    assert count_queued(context, "e8") == fast


def count_queued(context, name):
    """Return how many requests a chooser sends to a full endpoint, the only one."""
    table = ReportTable("own", "1", context.clock)
    trust = EndpointTrust(context.clock, rates=context.rates[0])
    trust.evaluate(context.endpoints.values())
    chooser = EndpointChooser(
        FixedDirectory([context.endpoints[name]]),
        table,
        EndpointHealth(context.clock),
        trust,
        "a",
        random.Random(SEED),
    )
    table.merge_report(make_report("h1", loads={name: (8, 0)}))
    queued = 0
    while chooser.choose(SERVICE) is not None:
        table.begin(name)
        queued += 1
    return queued


@then("it can't be decoded")
def check_dropped(context):
    try:
        found = decode(context.value)
    except ReportError:
        return
    raise AssertionError(found)
