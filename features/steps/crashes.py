"""Steps of telling endpoints' crashes from cuts."""

import socket

import curio
from behave import given, then, when

from features.builders.fleet import HOST_NAME, make_endpoint, make_route
from mangogauge.clock import ManualClock, SystemClock
from mangogauge.entry import AttemptFailure, CrashDetector, OnlineCall
from mangogauge.http import Headers
from mangogauge.routing import Progress
from mangogauge.sharing import CrashLedger

LOCAL = "127.0.0.1"
FINGERPRINT = "f"
REPORTS_ARRIVE = {"hears": True, "doesn't hear": False}
DIAGNOSIS_SECONDS = 1.5


async def ignore_change():
    """Tell nobody."""


@given('a host that {hears} the hosts of data centre "b" after a connection broke')
def make_watch(context, hears):
    clock = SystemClock()
    asked = context.asked = []

    def heard_since(data_centre, moment):
        asked.append(data_centre)
        return REPORTS_ARRIVE[hears]

    context.watch = CrashDetector(CrashLedger(clock), ignore_change, clock, heard_since)


def find_refusing_address():
    """Return an address that nothing listens at."""
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return f"{LOCAL}:{probe.getsockname()[1]}"


@when(
    '{count:d} runs of a request break off at an endpoint of "b"'
    " that refuses connections"
)
def break_runs(context, count):
    address = find_refusing_address()
    endpoint = make_endpoint(address=address, data_centre="b")
    context.call = OnlineCall(
        "r1", make_route(), "desk", "POST", "/ask/1", Headers([("Host", HOST_NAME)]),
        b"body", 0.0, 60.0,
    )  # fmt: skip
    curio.run(fail_runs, context, endpoint, count)


async def fail_runs(context, endpoint, count):
    failure = AttemptFailure(
        Progress.MAYBE_RUN, "reset", endpoint_at_fault=True, connection_broken=True
    )
    for _ in range(count):
        await context.watch.note_failure(context.call, endpoint, failure)
    await curio.sleep(DIAGNOSIS_SECONDS)


@then("the request is condemned")
def check_condemned(context):
    assert context.watch.is_quarantined(context.call)
    assert set(context.asked) == {"b"}


@then("the request is run further")
def check_run_further(context):
    assert not context.watch.is_quarantined(context.call)
    assert set(context.asked) == {"b"}


@given("a host that has heard of {count:d} crashes of a request from another")
def make_ledger(context, count):
    context.ledger = CrashLedger(ManualClock())
    merge_counts(context, count)


@when("the other host tells of {count:d} crashes")
@when("the other host tells again of {count:d} crashes")
def merge_counts(context, count):
    context.ledger.merge_counts("other", {FINGERPRINT: count})


@when(
    "the other host starts again, and tells of {first:d} crash, and then of {second:d}"
)
def merge_counts_after_restart(context, first, second):
    merge_counts(context, first)
    merge_counts(context, second)


@when("the other host tells of none for a moment, and again of {count:d} crashes")
def merge_none_between(context, count):
    context.ledger.merge_counts("other", {})
    merge_counts(context, count)


@when("the request is answered here")
def answer(context):
    context.ledger.note_answer(FINGERPRINT)


@then("{count:d} crash is held against the request")
@then("{count:d} crashes are held against the request")
def check_held(context, count):
    assert context.ledger.count_uncleared(FINGERPRINT) == count
