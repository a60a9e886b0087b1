"""Steps of hosts that share endpoints' limits, with a clock moved by events."""

import logging

from attrs import evolve
from behave import given, then, when

from features.builders.backpressure import LimitedFleet, allow_requests
from mangogauge.backpressure import NO_LIMIT

# From so long after an endpoint first named its limit, the rule holds.
STABLE_SECONDS = 3.0
# What the hosts are asked for an endpoint whose limit is lower.
LEAST_RATE = 0.5
# Requests come until long after the last step.
LONG = 100.0
MILLISECONDS = 1000


@given("{hosts:d} hosts and {count:d} endpoints, by the seed {seed:d}")
def make_fleet(context, hosts, count, seed):
    make_fleet_of_services(context, hosts, count, 1, seed)


@given(
    "{hosts:d} hosts and {count:d} endpoints of {services:d} services, "
    "by the seed {seed:d}"
)
def make_fleet_of_services(context, hosts, count, services, seed):
    # The limiters' lines would cost more than their decisions.
    logging.getLogger("mangogauge.backpressure").setLevel(logging.ERROR)
    context.fleet = LimitedFleet(hosts, count, seed, services)
    context.limited = context.fleet.endpoints


@given("{times:g} times as many requests as limits of {rate:g} allow")
def start_traffic(context, times, rate):
    start_bursts(context, times, rate, 0.0)


@given(
    "{times:g} times as many requests as limits of {rate:g} allow, "
    "in bursts of {seconds:g} s"
)
def start_bursts(context, times, rate, seconds):
    fleet = context.fleet
    each_second = times * max(rate, LEAST_RATE) * len(fleet.endpoints)
    fleet.start_traffic(each_second, LONG, seconds)
    fleet.run(1.0)


@given("each host has items")
def start_items(context):
    context.fleet.start_items(LONG)


@when("all endpoints name the limit {rate:g} for {seconds:g} s")
def limit_all(context, rate, seconds):
    limit_some(context, len(context.fleet.endpoints), rate, seconds)


@when("{count:d} endpoints name the limit {rate:g} for {seconds:g} s")
def limit_some(context, count, rate, seconds):
    fleet = context.fleet
    context.limited = fleet.endpoints[:count]
    context.rate, context.changed_at = rate, fleet.now
    fleet.set_limits(context.limited, rate)
    fleet.messages = fleet.message_bytes = 0
    fleet.served = fleet.items_sent = 0
    context.seconds = seconds
    fleet.run(seconds)


@when("that goes on for {seconds:g} s")
def go_on(context, seconds):
    fleet = context.fleet
    fleet.served = fleet.items_sent = 0
    fleet.run(seconds)


@when("{times:g} times as many requests as limits of {rate:g} come for {seconds:g} s")
def add_traffic(context, times, rate, seconds):
    fleet = context.fleet
    each_second = times * max(rate, LEAST_RATE) * len(fleet.endpoints)
    fleet.start_traffic(each_second, LONG)
    fleet.run(seconds)


@when("{each:d} requests come to each host within {milliseconds:g} ms")
def burst_at_once(context, each, milliseconds):
    context.fleet.burst(each, milliseconds / MILLISECONDS)


@when("all endpoints name no limit for {seconds:g} s")
def end_limits(context, seconds):
    context.fleet.set_limits(context.limited, NO_LIMIT)
    context.fleet.run(seconds)


@when("all endpoints start again, without a limit, for {seconds:g} s")
def restart_endpoints(context, seconds):
    for endpoint in context.limited:
        endpoint.rate = NO_LIMIT
        endpoint.record = evolve(endpoint.record, start_time_ms=2)
    context.fleet.run(seconds)


@when("{count:d} hosts start anew, one each {seconds:g} s")
def restart_hosts(context, count, seconds):
    for name in list(context.fleet.hosts)[:count]:
        context.fleet.restart(name)
        context.fleet.run(seconds)


@when("half of the hosts are cut off from the others for {seconds:g} s")
def cut(context, seconds):
    names = list(context.fleet.hosts)
    context.fleet.cut = set(names[: len(names) // 2])
    context.fleet.run(seconds)


@when("they hear each other for {seconds:g} s")
def heal(context, seconds):
    context.fleet.cut = set()
    context.fleet.run(seconds)


@then("none got more than its limit allows")
def check_most(context):
    named_at = context.changed_at
    since = named_at + STABLE_SECONDS
    most = max(e.find_most(named_at, since) for e in context.limited)
    assert most <= allow_requests(context.rate), (most, allow_requests(context.rate))


@then("all together got at least {share:g} of what they take")
def check_least(context, share):
    got = sum(
        time >= context.changed_at
        for endpoint in context.limited
        for time, _ in endpoint.arrivals
    )
    takes = max(context.rate, 0.25) * context.seconds * len(context.limited)
    assert got >= share * takes, (got, takes)


@then("each host sent at most {most:d} bytes a second of limits")
def check_bytes(context, most):
    fleet = context.fleet
    sent = fleet.message_bytes / len(fleet.hosts) / context.seconds
    assert sent <= most, sent


@then("no host knows of a limit")
def check_none(context):
    known = {
        (name, endpoint.record.name)
        for name, host in context.fleet.hosts.items()
        for endpoint in context.limited
        if host.limiter.limits.get_rate(
            endpoint.record.name, endpoint.record.start_time_ms
        )
        < NO_LIMIT
    }
    assert not known, known


@then("at most a tenth of what they got were items")
def check_items(context):
    fleet = context.fleet
    assert fleet.items_sent <= fleet.served / 9, (fleet.items_sent, fleet.served)
