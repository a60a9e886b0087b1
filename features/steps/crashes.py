"""Steps of telling endpoints' crashes from network partitions."""

import socket

import curio
from behave import given, then, when

from features.builders.crashes import make_crash_detector
from features.builders.fleet import HOST_NAME, make_endpoint, make_route
from mangogauge.clock import ManualClock, SystemClock
from mangogauge.entry import AttemptFailure, OnlineCall
from mangogauge.http import Headers
from mangogauge.routing import Progress
from mangogauge.sharing import CrashLedger

LOCAL = "127.0.0.1"
FINGERPRINT = "f"
REPORTS_ARRIVE = {"receives": True, "does not receive": False}
DIAGNOSIS_SECONDS = 1.5


@given('a host that {receives} reports of data centre "b" after a connection broke')
def make_detector(context, receives):
    clock = SystemClock()
    asked = context.asked = []

    def has_reported_since(data_centre, moment):
        asked.append(data_centre)
        return REPORTS_ARRIVE[receives]

    context.detector = make_crash_detector(clock, has_reported_since)


def find_refusing_address():
    """Return a local address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return f"{LOCAL}:{probe.getsockname()[1]}"


@when(
    '{count:d} runs of a request are interrupted at an endpoint of "b"'
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
        await context.detector.note_failure(context.call, endpoint, failure, 0.0)
    await curio.sleep(DIAGNOSIS_SECONDS)


@then("the request is quarantined")
def check_quarantined(context):
    assert context.detector.is_quarantined(context.call)
    assert set(context.asked) == {"b"}


@then("the request is not quarantined")
def check_not_quarantined(context):
    assert not context.detector.is_quarantined(context.call)
    assert set(context.asked) == {"b"}


@given("a host to which another has reported {count:d} crashes of a request")
def make_ledger(context, count):
    context.ledger = CrashLedger(ManualClock())
    merge_counts(context, count)


@when("the other host reports {count:d} crashes")
@when("the other host reports {count:d} crashes again")
def merge_counts(context, count):
    context.ledger.merge_counts("other", {FINGERPRINT: count})


@when("the other host restarts, and reports {first:d} crash, and then {second:d}")
def merge_counts_after_restart(context, first, second):
    merge_counts(context, first)
    merge_counts(context, second)


@when("the other host reports no crashes once, and then {count:d} again")
def merge_none_between(context, count):
    context.ledger.merge_counts("other", {})
    merge_counts(context, count)


@when("the request is answered on this host")
def answer(context):
    context.ledger.note_answer(FINGERPRINT)


@then("{count:d} crash counts against the request")
@then("{count:d} crashes count against the request")
def check_count(context, count):
    assert context.ledger.count_uncleared(FINGERPRINT) == count
