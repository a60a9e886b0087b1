"""Steps of endpoints that fail part of their requests, or turn slow."""

import re
from collections import Counter

from behave import given, then, when

from features.builders import wait_until

EVENTS = 4
HOSTS = ("h1", "h2")
# Requests whose id holds one of these digits last fail.
FAILING = "13579"
BARRED = re.compile(r"^mangogauge_endpoints_barred (\S+)$", re.MULTILINE)


def ask(context, account, path, count):
    """Ask the hosts in turn; note which endpoints were asked."""
    deployment = context.deployment
    before = Counter(row["endpoint"] for row in deployment.list_arrivals())
    started = getattr(context, "asked", 0)
    context.asked = started + count
    context.answers = [
        deployment.ask(
            HOSTS[n % 2],
            path,
            # The hosts take turns with the failing ids.
            f"q{started + n}-{n // 2 % 10}",
            EVENTS,
            key=f"{account}-key",
        )
        for n in range(count)
    ]
    after = Counter(row["endpoint"] for row in deployment.list_arrivals())
    context.got = after - before


@given('"{account}" has asked both hosts for "{path}", {count:d} times in all')
@when('"{account}" asks both hosts for "{path}", {count:d} times in all')
def ask_in_turn(context, account, path, count):
    ask(context, account, path, count)


@given('"{name}" fails each other request')
@given('"{name}" fail each other request')
def let_fail(context, name):
    set_faults(context, name, "500")


@when('"{name}" is well again')
def make_well(context, name):
    set_faults(context, name, "")


def set_faults(context, names, fault):
    faults = {f"-{digit}": fault for digit in FAILING}
    for name in names.split(", "):
        context.deployment.control(name, faults=faults)


@given('"{name}" takes {seconds:g} s for an event')
def make_slow(context, name, seconds):
    context.deployment.control(name, event_seconds=seconds)


@then('"{name}" got {most:d} of them at most')
def check_few(context, name, most):
    assert context.got[name] <= most, context.got


@then("each endpoint got some of them")
def check_each(context):
    assert set(context.got) == set(context.deployment.endpoints), context.got


@then('a log says "{text}"')
def check_logs(context, text):
    assert any(text in log for log in read_logs(context))


def read_logs(context):
    return [context.world.processes[host].read_log() for host in HOSTS]


@then(
    'while "{account}" asks on for "{path}",'
    " a host's metrics name {count:d} endpoint that gets trials only"
)
def check_metrics(context, account, path, count):
    def read():
        ask(context, account, path, 10)
        texts = [context.deployment.read_metrics(host) for host in HOSTS]
        return count in [float(BARRED.search(text)[1]) for text in texts]

    wait_until(read, f"a host names {count} endpoint")


@then(
    '"{name}" gets requests of "{account}" for "{path}" again, and a log says "{text}"'
)
def check_return(context, name, account, path, text):
    def is_back():
        ask(context, account, path, 40)
        is_said = any(text in log for log in read_logs(context))
        return is_said and context.got[name] > 4

    wait_until(is_back, f"{name} is back")
