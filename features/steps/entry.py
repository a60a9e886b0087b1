"""Steps of online requests that wait for a slot."""

import random

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
class Asked:
    """One request, and what it got."""

    account = field()
    started = field(default=False)
    refusal = field(default=None)


@given("{count:d} endpoints with {slots:d} slots, and a queue before them")
def make_queue(context, count, slots):
    clock = context.clock = SystemClock()
    context.board = ReportTable("h1", "1", clock)
    endpoints = [make_endpoint(f"e{n}", slots=slots) for n in range(count)]
    chooser = EndpointChooser(
        FixedDirectory(endpoints),
        context.board,
        EndpointHealth(clock),
        EndpointTrust(clock),
        "a",
        random.Random(1),
    )

    async def notify():
        await curio.sleep(0)

    context.queue = SlotQueue(chooser, context.board, notify, clock, random.Random(2))
    context.asked = []


@given("requests have held a slot for {seconds:g} s lately")
def hold_lately(context, seconds):
    curio.run(_hold_lately, context, seconds)


async def _hold_lately(context, seconds):
    for _ in range(50):
        endpoint = await context.queue.acquire(make_call(context, "any"), SERVICE)
        await context.queue.release(endpoint, seconds)


def make_call(context, account, priority=1):
    now = context.clock.read_elapsed()
    return OnlineCall(
        "q", make_route(), account, "POST", "/", None, b"", now, now + 5, None, priority
    )


async def hold(context, asked, seconds, priority=1):
    call = make_call(context, asked.account, priority)
    try:
        endpoint = await context.queue.acquire(call, SERVICE)
    except Refusal as refusal:
        asked.refusal = refusal
        return
    asked.started = True
    await curio.sleep(seconds)
    await context.queue.release(endpoint, seconds)


async def send_all(context, groups, seconds):
    tasks = []
    for account, count, priority in groups:
        for _ in range(count):
            asked = Asked(account)
            context.asked.append(asked)
            tasks.append(await curio.spawn(hold, context, asked, seconds, priority))
    await curio.sleep(0.01)
    context.at_once = sum(asked.started for asked in context.asked)
    for task in tasks:
        await task.join()


@when(
    '"{first}" sends {count:d} requests and "{second}" {few:d}, '
    "each holding its slot for {seconds:g} s"
)
def send(context, first, count, second, few, seconds):
    groups = [(first, count, 1), (second, few, 1)]
    curio.run(send_all, context, groups, seconds)


@when(
    '"{first}" sends {count:d} requests and "{second}" {few:d} of a higher rank, '
    "each holding its slot for {seconds:g} s"
)
def send_ranked(context, first, count, second, few, seconds):
    groups = [(first, count, 1), (second, few, 0)]
    curio.run(send_all, context, groups, seconds)


@when("{count:d} requests are sent and those that wait are left by their callers")
def send_and_leave(context, count):
    curio.run(_send_and_leave, context, count)


async def _send_and_leave(context, count):
    asked = [Asked("big") for _ in range(count)]
    tasks = [await curio.spawn(hold, context, a, 0.1) for a in asked]
    await curio.sleep(0.01)
    for task, one in zip(tasks, asked, strict=True):
        if not one.started:
            await task.cancel()
    for task in tasks:
        await task.wait()


@then("{count:d} started at once")
def check_at_once(context, count):
    assert context.at_once == count, context.at_once


@then('every request of "{account}" got a slot')
def check_account(context, account):
    missed = [a for a in context.asked if a.account == account and not a.started]
    assert not missed, missed


@then('some of "{account}" were refused')
def check_some_refused(context, account):
    assert any(a.refusal for a in context.asked if a.account == account)


@then("each refusal is a 503 that says not run and when to come back")
def check_refusals(context):
    for asked in context.asked:
        if asked.refusal is not None:
            assert asked.refusal.status == 503
            assert asked.refusal.executed == "no"
            assert 0 < asked.refusal.retry_after <= 1.5


@then("all slots are free again after the others have ended")
def check_free(context):
    assert not context.board.measure("e0").total
    assert not context.board.measure("e1").total
    assert not len(context.queue)
