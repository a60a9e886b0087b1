"""Steps of hosts that lose their way to endpoints."""

import time
from collections import Counter

from behave import given, then, when

from features.builders.platform.linked import LinkedDeployment

PATHS = ("/ask/1", "/note/1", "/safe/1")
EVENTS = 10
TRIES = 12
# First tries at cut-off hosts are served at least this often, beside the others'.
LEAST_SHARE = 2 / 3


@given('the platform with {count:d} endpoints behind links, and the hosts "{names}"')
def start_deployment(context, count, names):
    deployment = context.deployment = LinkedDeployment(context.world)
    deployment.write_configuration()
    for number in range(1, count + 1):
        deployment.start_endpoint(f"e{number}")
    for name in names.split(", "):
        deployment.start_host(name, ready=False)
    for name in names.split(", "):
        deployment.wait_until_ready(name)


@given("each host has a connection or two to endpoints")
def warm_up(context):
    answers = ask_all(context, "w", list(context.deployment.hosts), 2)
    assert all(map(is_served, answers.values())), answers


@when('"{names}" is cut off from all endpoints, {how}')
@when('"{names}" are cut off from all endpoints, {how}')
def cut(context, names, how):
    context.cut_at = time.monotonic()
    for name in names.split(", "):
        context.deployment.cut(name, how)


def ask_all(context, word, hosts, tries=TRIES):
    """Ask several hosts at the same time; return the answers by request id."""
    rows = [
        (host, PATHS[n % len(PATHS)], f"{word}-{host}-{n}")
        for n in range(tries)
        for host in hosts
    ]
    answers = context.deployment.run_together(
        [lambda row=row: context.deployment.ask(*row, EVENTS) for row in rows]
    )
    return {row[2]: answer for row, answer in zip(rows, answers, strict=True)}


def is_served(answer):
    return answer.status == 200 and answer.whole and len(answer.texts) == EVENTS


@then(
    'from {seconds:g} s after it began, first tries at "{cut}" '
    'are served as those at "{others}"'
)
def check_first_tries(context, seconds, cut, others):
    time.sleep(max(0.0, context.cut_at + seconds - time.monotonic()))
    cut, others = cut.split(", "), others.split(", ")
    context.tries = ask_all(context, "t", [*cut, *others])
    served = Counter(
        request_id.split("-")[1]
        for request_id, answer in context.tries.items()
        if is_served(answer)
    )
    statuses = Counter(answer.status for answer in context.tries.values())
    for host in others:
        assert served[host] == TRIES, (served, statuses)
    for host in cut:
        assert served[host] >= LEAST_SHARE * TRIES, (served, statuses)
