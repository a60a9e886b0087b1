"""Steps of answers that break off or come twice."""

import re

from behave import given, then, when

from features.builders.platform.brokenanswers import (
    BrokenAnswerEndpoint,
    RepeatingEndpoint,
)
from features.builders.processes import wait_until

COPIES = {"with its id": True, "without an id": False}
ENDPOINT = "broken"
EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


def add_endpoint(context, server):
    deployment = context.deployment
    context.add_cleanup(server.close)
    deployment.endpoints[ENDPOINT] = server.address
    deployment.write_entry(ENDPOINT)
    # It can't be asked what arrived there.
    del deployment.endpoints[ENDPOINT]
    for host in deployment.hosts:
        process = context.world.processes[host]
        wait_until(lambda process=process: ENDPOINT in process.read_log(), ENDPOINT)


@given("an endpoint that refuses the first request of a connection, and again {copy}")
def start_repeating(context, copy):
    context.server = RepeatingEndpoint(context.deployment.address, COPIES[copy])
    add_endpoint(context, context.server)


@given("an endpoint whose answers end {where}")
def start_broken(context, where):
    add_endpoint(context, BrokenAnswerEndpoint(context.deployment.address, where))


@when('"desk" asks "{host}" for "{path}" as "{first}", and then as "{second}"')
def ask_twice(context, host, path, first, second):
    names = (first, second)
    context.answers = [context.deployment.ask(host, path, name, 1) for name in names]
    context.second = second.encode()


@when('"desk" asks "{host}" for "{path}" and reads what comes')
def ask_once(context, host, path):
    context.answer = context.deployment.ask(host, path, "r", 12)


@when('"desk" asks "{host}" for "{path}" by HTTP/1.0')
def ask_by_http_1_0(context, host, path):
    context.answer = context.deployment.ask(host, path, "r", 12, version=10)


@then("it was answered whole")
def check_whole(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer


@then("the first is refused, the second is answered whole, and has run once")
def check_repeated(context):
    first, second = context.answers
    assert first.status == 503, first
    assert second.status == 200 and second.whole, second
    assert context.server.runs[context.second] == 1, context.server.runs


@then("it was refused each time, and never ran")
def check_never_ran(context):
    assert [answer.status for answer in context.answers] == [503, 503], context.answers
    assert not context.server.runs, context.server.runs


@then("what came is no success that looks whole")
def check_not_whole(context):
    answer = context.answer
    assert answer.status >= 500 or not answer.whole, answer


@then("what came are the first events of one run, and doesn't look whole")
def check_first_events(context):
    answer = context.answer
    assert answer.status == 200 and not answer.whole, answer
    events = EVENT.findall(answer.body)
    assert b"".join(b"id: %s\ndata: %s\n\n" % event for event in events) == (
        answer.body
    ), answer.body
    numbers = [int(number) for number, _ in events]
    assert numbers == list(range(1, len(events) + 1)), numbers
    assert events, answer
