"""Steps of odd entries in the platform's store."""

import curio
import orjson
from behave import given, then, when

from features.builders.platform.oddentries import (
    DEEP,
    LARGE,
    make_entry,
    make_odd_entries,
    read_odd_value,
)
from features.builders.processes import wait_until
from mangogauge.http import ClientConnection, HTTPConnectError
from mangogauge.platform.source import PlatformSource
from mangogauge.store import KeyValue

TASK_FAILED = "task failed"
ENDPOINT = "servers/e1"
PLACEHOLDER = "placeholder"


@when("other writers leave odd entries among the {kind}")
def leave_odd_entries(context, kind):
    for key, text in make_odd_entries(kind).items():
        context.deployment.control("store", put={key: text})


@when('{count:d} endpoints of "{software}" come after them')
def add_endpoints(context, count, software):
    deployment = context.deployment
    context.added = [f"late{number}" for number in range(count)]
    for name in context.added:
        deployment.start_endpoint(name, version=software)
    for host in deployment.hosts:
        process = context.world.processes[host]
        wait_until(
            lambda process=process: all(
                f'"{name}"' in process.read_log() for name in context.added
            ),
            f"{host} hears of {context.added}",
        )


@then('no task of "{names}" has failed')
def check_tasks(context, names):
    for name in names.split(", "):
        process = context.world.processes[name]
        lines = [
            line for line in process.read_log().splitlines() if TASK_FAILED in line
        ]
        assert process.is_running and not lines, (name, len(lines), lines[:1])


@then("the endpoints that came were used")
def check_used(context):
    used = {row["endpoint"] for row in context.deployment.list_arrivals()}
    assert used >= set(context.added), used


@given("the entry of an endpoint whose {name} is {value}")
def make_odd_entry(context, name, value):
    if value.isdecimal():
        # The encoder takes no number that is so large.
        text = make_entry(**{name: PLACEHOLDER})
        context.entry = text.replace(f'"{PLACEHOLDER}"', value).encode()
    else:
        context.entry = make_entry(**{name: read_odd_value(value)}).encode()


@given("the entry of an endpoint that is nested 100000 deep")
def make_deep(context):
    context.entry = DEEP.encode()


@given("the entry of an endpoint that holds a number of 400 digits")
def make_large(context):
    context.entry = make_entry(slots=PLACEHOLDER).replace(f'"{PLACEHOLDER}"', LARGE)
    context.entry = context.entry.encode()


@given("the entry of an endpoint that is a list")
def make_list(context):
    context.entry = orjson.dumps([make_entry()])


@given("the entry of an endpoint that is no text")
def make_bytes(context):
    context.entry = b"\xff\x00\xfe"


@then("it names no endpoint")
def check_no_endpoint(context):
    found = PlatformSource().read_endpoint(KeyValue(ENDPOINT, context.entry))
    assert found is None, found


@when("a connection to the address {address} is opened")
def open_connection(context, address):
    context.error = None
    try:
        curio.run(ClientConnection.open, read_odd_value(address), 0.5)
    except HTTPConnectError as error:
        context.error = error


@then("no connection could be made")
def check_not_connected(context):
    assert context.error is not None
