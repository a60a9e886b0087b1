"""Steps of online requests that wait for a slot."""

import random
import time

import curio
from attrs import define, field
from behave import given, then, when

from features.builders.fleet import SERVICE, make_endpoint, make_route
from features.steps.health import FixedDirectory
from mangogauge.clock import SystemClock
from mangogauge.entry import OnlineCall
from mangogauge.placement import EndpointChooser, EndpointHealth, SlotQueue
from mangogauge.refusals import Refusal
from mangogauge.sharing import ReportTable
from mangogauge.trust import EndpointTrust


@define(eq=False)
class QueuedRequest:
    """One request and its outcome."""

    account = field()
    started = field(default=False)
    refusal = field(default=None)


@given("{count:d} endpoints with {slots:d} slots and a request queue")
def make_queue(context, count, slots):
    clock = context.clock = SystemClock()
    context.report_table = ReportTable("h1", "1", clock)
    endpoints = [make_endpoint(f"e{n}", slots=slots) for n in range(count)]
    chooser = EndpointChooser(
        FixedDirectory(endpoints),
        context.report_table,
        EndpointHealth(clock),
        EndpointTrust(clock),
        "a",
        random.Random(1),
    )

    async def notify():
        await curio.sleep(0)

    context.queue = SlotQueue(
        chooser, context.report_table, notify, clock, random.Random(2)
    )
    context.requests = []
    context.standstill = 0.0


@given("the host stands still for {seconds:g} s once requests wait")
def plan_standstill(context, seconds):
    context.standstill = seconds


@given("recent requests have held a slot for {seconds:g} s")
def release_slots(context, seconds):
    curio.run(_release_slots, context, seconds)


async def _release_slots(context, seconds):
    for _ in range(50):
        endpoint = await context.queue.acquire(make_call(context, "any"), SERVICE)
        await context.queue.release(endpoint, seconds)


def make_call(context, account, priority=1):
    now = context.clock.read_elapsed()
    return OnlineCall(
        "q", make_route(), account, "POST", "/", None, b"", now, now + 5, None, priority
    )


async def hold(context, request, seconds, priority=1):
    call = make_call(context, request.account, priority)
    try:
        endpoint = await context.queue.acquire(call, SERVICE)
    except Refusal as refusal:
        request.refusal = refusal
        return
    request.started = True
    await curio.sleep(seconds)
    await context.queue.release(endpoint, seconds)


async def wait_until_placed(context):
    """Wait until each request has a slot, waits for one or is refused."""
    while True:
        placed = [r for r in context.requests if r.started or r.refusal]
        if len(placed) + len(context.queue) == len(context.requests):
            return
        await curio.sleep(0)


async def send_all(context, groups, seconds):
    tasks = []
    for account, count, priority in groups:
        for _ in range(count):
            request = QueuedRequest(account)
            context.requests.append(request)
            tasks.append(await curio.spawn(hold, context, request, seconds, priority))
    await wait_until_placed(context)
    context.started_at_once = sum(request.started for request in context.requests)
    # Neither timers nor other tasks run meanwhile.
    time.sleep(context.standstill)
    for task in tasks:
        await task.join()


@when(
    '"{first}" sends {count:d} requests and "{second}" {second_count:d}, '
    "each holding its slot for {seconds:g} s"
)
def send(context, first, count, second, second_count, seconds):
    groups = [(first, count, 1), (second, second_count, 1)]
    curio.run(send_all, context, groups, seconds)


@when(
    '"{first}" sends {count:d} requests and "{second}" {second_count:d}'
    " of higher priority, each holding its slot for {seconds:g} s"
)
def send_prioritized(context, first, count, second, second_count, seconds):
    groups = [(first, count, 1), (second, second_count, 0)]
    curio.run(send_all, context, groups, seconds)


@when("{count:d} requests are sent and the callers of those that wait disconnect")
def send_and_cancel(context, count):
    curio.run(_send_and_cancel, context, count)


async def _send_and_cancel(context, count):
    requests = [QueuedRequest("big") for _ in range(count)]
    tasks = [await curio.spawn(hold, context, request, 0.1) for request in requests]
    await curio.sleep(0.01)
    for task, request in zip(tasks, requests, strict=True):
        if not request.started:
            await task.cancel()
    for task in tasks:
        await task.wait()


@then("{count:d} requests started at once")
def check_at_once(context, count):
    assert context.started_at_once == count, context.started_at_once


@then('every request of "{account}" got a slot')
def check_account(context, account):
    missed = [r for r in context.requests if r.account == account and not r.started]
    assert not missed, missed


@then('some of "{account}" were refused')
def check_some_refused(context, account):
    assert any(r.refusal for r in context.requests if r.account == account)


@then("all others were refused")
def check_others_refused(context):
    others = [request for request in context.requests if not request.started]
    assert len(others) == len(context.requests) - context.started_at_once, others
    assert all(request.refusal for request in others), others


@then('each refusal is a 503 with "not run" and a time to retry after')
def check_refusals(context):
    for request in context.requests:
        if request.refusal is not None:
            assert request.refusal.status == 503
            assert request.refusal.executed == "no"
            assert 0 < request.refusal.retry_after <= 1.5


@then("all slots are free once the other requests have ended")
def check_free(context):
    assert not context.report_table.measure("e0").total
    assert not context.report_table.measure("e1").total
    assert not len(context.queue)
