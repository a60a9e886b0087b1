"""Steps of requests that wait for a connection."""

import re

from behave import given, then, when

from features.builders.fleet import make_endpoint
from features.builders.sending import NEVER, SendingWorld
from mangogauge.fleet import RequestSemantics
from mangogauge.placement import IneligibilityReason

MORE_CONNECTIONS = 8
FIRST_CONNECTIONS = {"breaks once it is used": (0.0, True), "is refused": None}
SEMANTICS = {"once": RequestSemantics.ONCE, "repeatable": RequestSemantics.REPEATABLE}


@given("a connection that is made after {seconds:g} s")
def prepare_late(context, seconds):
    context.sending = SendingWorld((seconds, False))


@when("a request with a deadline of {seconds:g} s is dispatched")
def dispatch(context, seconds):
    context.refusal = context.sending.dispatch(seconds)


@then("the endpoint was told that it has {seconds:g} s at most")
def check_patience(context, seconds):
    assert 0 < context.sending.patience <= seconds, context.sending.patience


@given("connections that are made after {seconds} s, {which}")
def prepare_plan(context, seconds, which):
    seconds = [float(part) for part in seconds.split(", ")]
    breaks = [which.startswith("the first broken"), *[False] * len(seconds)]
    plan = list(zip(seconds, breaks, strict=False))
    # Further connections are never made.
    context.sending = SendingWorld(*plan, *[(NEVER, False)] * MORE_CONNECTIONS)


@given("{count:d} kept connections that break once they are used, and no new ones")
def prepare_kept(context, count):
    plan = [(0.0, True)] * count
    context.sending = SendingWorld(*plan, *[None] * MORE_CONNECTIONS, kept=count)


@given('the endpoints "{names}", {room}')
def name_endpoints(context, names, room):
    context.endpoints = [make_endpoint(name) for name in names.split(", ")]
    context.full = set(re.findall('"(.*?)" is full', room))


@given("connections of which the first {trouble}")
def prepare_first(context, trouble):
    context.sending = SendingWorld(
        FIRST_CONNECTIONS[trouble], endpoints=context.endpoints, full=context.full
    )


@then('it is refused with status {status:d}, and executed is "{executed}"')
def check_status(context, status, executed):
    assert context.refusal.status == status, context.refusal
    check_executed(context, executed)


@when("a request with a deadline of {seconds:g} s is dispatched, {semantics}")
def dispatch_as(context, seconds, semantics):
    context.refusal = context.sending.dispatch(seconds, SEMANTICS[semantics])


@then('it is refused, and executed is "{executed}"')
def check_executed(context, executed):
    assert context.refusal.executed == executed, context.refusal


@then('it was sent to {count:d} endpoint, and executed is "{executed}"')
def check_sent(context, count, executed):
    assert context.sending.sent_count == count, context.sending.sent_count
    check_executed(context, executed)


@given("the account has no retries left on the route")
def spend_retries(context):
    context.sending.spend_retries()


@then('{count:d} connection was made, and executed is "{executed}"')
def check_connections(context, count, executed):
    assert context.sending.connection_count == count, context.sending.connection_count
    assert context.refusal.executed == executed, context.refusal


@then("no task has ended by an error")
def check_crashes(context):
    assert not context.sending.crashes, context.sending.crashes


@given("endpoints that become ineligible while the connection to the first is made")
def prepare_ineligible(context):
    context.sending = SendingWorld(
        *[(0.05, False)] * MORE_CONNECTIONS,
        find_obstacle=lambda endpoint, scope: IneligibilityReason.EVACUATED,
    )


@then('it was sent to none of them, and executed is "{executed}"')
def check_not_sent(context, executed):
    assert context.sending.sent_count == 0
    assert context.sending.connection_count == MORE_CONNECTIONS
    assert context.refusal.executed == executed, context.refusal
    assert not context.sending.crashes, context.sending.crashes
