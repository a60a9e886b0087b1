"""Steps of hosts that choose concurrently by the same counts."""

import random
from collections import Counter

from behave import given, then, when

from features.builders.fleet import (
    SERVICE,
    FixedDirectory,
    make_endpoint,
    make_report,
)
from mangogauge.clock import ManualClock
from mangogauge.placement import EndpointChooser, EndpointHealth
from mangogauge.sharing import ReportTable
from mangogauge.trust import EndpointTrust

SEED = 5
DATA_CENTRES = "abcd"


def make_loads(endpoints, running):
    """Return ``{endpoint: (online, 0)}``: requests spread at random."""
    rng = random.Random(SEED)
    counts = Counter(rng.choice(endpoints).name for _ in range(running))
    return {name: (count, 0) for name, count in counts.items()}


@given(
    "{hosts:d} hosts that know that {running:d} online requests"
    " run at {count:d} endpoints"
)
def make_hosts(context, hosts, running, count):
    context.clock = ManualClock()
    context.hosts = hosts
    context.endpoints = [
        make_endpoint(f"e{n}", data_centre=DATA_CENTRES[n % len(DATA_CENTRES)])
        for n in range(count)
    ]
    context.loads = make_loads(context.endpoints, running)


def make_chooser(context, number):
    """Return a host's chooser; another host reports the whole load."""
    report_table = ReportTable(f"own{number}", "1", context.clock)
    for other in range(context.hosts - 1):
        loads = context.loads if other == 0 else {}
        report_table.merge_report(make_report(f"h{other}", loads=loads))
    return EndpointChooser(
        FixedDirectory(context.endpoints),
        report_table,
        EndpointHealth(context.clock),
        EndpointTrust(context.clock),
        DATA_CENTRES[number % len(DATA_CENTRES)],
        random.Random(SEED + number),
    )


@when("{choosing:d} of them choose before any gets a report of it")
def choose(context, choosing):
    context.chosen = [
        make_chooser(context, number).choose(SERVICE) for number in range(choosing)
    ]


@then("no endpoint is chosen by more than {most:d} of them")
def check_spread(context, most):
    counts = Counter(endpoint.name for endpoint in context.chosen)
    assert counts.most_common(1)[0][1] <= most, counts.most_common(5)


@then("each has chosen one of the least loaded")
def check_least(context):
    loads = {e.name: context.loads.get(e.name, (0, 0))[0] for e in context.endpoints}
    for number, endpoint in enumerate(context.chosen):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        candidates = [e for e in context.endpoints if e.data_centre == data_centre]
        least = min(loads[e.name] for e in candidates)
        assert loads[endpoint.name] == least, (endpoint.name, loads)
