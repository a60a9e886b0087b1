"""Steps of requests that wait for endpoints of one software version."""

import random

import curio
from attrs import define, field
from behave import given, then, when

from features.builders.fleet import SERVICE, make_endpoint, make_route
from features.steps.health import FixedDirectory
from mangogauge.clock import ManualClock
from mangogauge.entry import OnlineCall
from mangogauge.placement import EndpointChooser, EndpointHealth, SlotQueue
from mangogauge.refusals import Refusal, RefusalCode
from mangogauge.sharing import ReportTable
from mangogauge.streams import StreamOrigin
from mangogauge.trust import EndpointTrust

SLOTS = 8
SETTLE_SECONDS = 0.01
HOLD_SECONDS = 0.05


@define(eq=False)
class Request:
    """A request and what became of it."""

    software = field()
    endpoint = field(default=None)
    refusal = field(default=None)


async def skip_notification():
    await curio.sleep(0)


def plan(context, software, count):
    """Add requests; those with a version resume streams that it began."""
    context.requests += [Request(software) for _ in range(count)]


async def acquire(context, request):
    origin = request.software and StreamOrigin(SERVICE, request.software)
    call = OnlineCall(
        "q", make_route(), "desk", "POST", "/", None, b"", 0.0, 5.0, origin=origin
    )
    try:
        request.endpoint = await context.queue.acquire(call, SERVICE)
    except Refusal as refusal:
        request.refusal = refusal


async def send(context, freed=None):
    """Send the requests in order; release a slot of a version while they wait."""
    tasks = []
    for request in context.requests:
        tasks.append(await curio.spawn(acquire, context, request))
        await curio.sleep(SETTLE_SECONDS)
    if freed is not None:
        await context.queue.release(context.endpoints[freed], HOLD_SECONDS)
        await curio.sleep(SETTLE_SECONDS)
    context.waiting = len(context.queue)
    context.endpoints_at_once = [request.endpoint for request in context.requests]
    for task in tasks:
        await task.cancel()


@given('an endpoint of "{first}" and one of "{second}", each with 8 slots')
def make_queue(context, first, second):
    clock = ManualClock()
    context.report_table = ReportTable("h1", "1", clock)
    context.endpoints = {
        software: make_endpoint(software, slots=SLOTS, software=software)
        for software in (first, second)
    }
    context.requests = []
    chooser = EndpointChooser(
        FixedDirectory(list(context.endpoints.values())),
        context.report_table,
        EndpointHealth(clock),
        EndpointTrust(clock),
        "a",
        random.Random(1),
    )
    context.queue = SlotQueue(
        chooser, context.report_table, skip_notification, clock, random.Random(2)
    )


@given('all slots of "{software}" are taken')
def fill(context, software):
    endpoint = context.endpoints[software]
    # One request may queue at an endpoint beyond its slots.
    for _ in range(endpoint.slots + 1):
        context.report_table.begin(endpoint.name)


@when(
    '{resuming:d} requests that resume streams of "{software}" '
    "and then {others:d} others are sent"
)
def send_resuming_first(context, resuming, software, others):
    plan(context, software, resuming)
    plan(context, None, others)
    curio.run(send, context)


@when('{others:d} others and then 1 request that resumes one of "{software}" are sent')
def plan_others_first(context, others, software):
    plan(context, None, others)
    plan(context, software, 1)


@when('a slot of "{software}" becomes free')
def free_slot(context, software):
    curio.run(send, context, software)


@when('1 request that resumes a stream of "{software}" is sent')
def send_one(context, software):
    plan(context, software, 1)
    curio.run(send, context)


@then('the others run at "{software}" at once')
def check_others(context, software):
    others = [e for r, e in _list_results(context) if r.software is None]
    assert [e and e.software for e in others] == [software] * len(others), others


@then("those that resume wait")
def check_waiting(context):
    resuming = [e for r, e in _list_results(context) if r.software is not None]
    assert resuming == [None] * len(resuming), resuming
    assert context.waiting == len(resuming), context.waiting


@then('the one that resumes runs at "{software}"')
def check_resumed(context, software):
    (endpoint,) = [e for r, e in _list_results(context) if r.software is not None]
    assert endpoint is not None and endpoint.software == software, endpoint


@then("it is refused as having no endpoint")
def check_refused(context):
    (request,) = context.requests
    assert request.refusal.code is RefusalCode.NO_ENDPOINT, request


def _list_results(context):
    return list(zip(context.requests, context.endpoints_at_once, strict=True))
