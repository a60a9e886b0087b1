"""Steps of whether work may go to an endpoint now."""

import logging
import random

import curio
from attrs import evolve
from behave import given, then, when

from features.builders.fleet import (
    SERVICE,
    FixedDirectory,
    FixedMembers,
    make_account,
    make_endpoint,
    make_route,
)
from mangogauge.clock import ManualClock
from mangogauge.entry import OnlineCall
from mangogauge.fleet import FleetMember
from mangogauge.http import Headers
from mangogauge.placement import (
    Eligibility,
    EndpointChooser,
    EndpointHealth,
    EvacuationMonitor,
    SlotQueue,
    WorkScope,
)
from mangogauge.refusals import Refusal, RefusalCode
from mangogauge.sharing import ReportTable
from mangogauge.trust import EndpointTrust

CHOICES = 64


def read_names(text):
    return [] if text == "none" else text.split(", ")


def read_regions(text):
    """Return a set of regions; "any" for None, "nowhere" for the empty set."""
    if text == "any":
        return None
    return frozenset() if text == "nowhere" else frozenset(text.split(", "))


@given('the endpoints "{first}" of "a", "{second}" of "b" and "{third}" of "c"')
def make_endpoints(context, first, second, third):
    rows = zip("abc", (first, second, third), strict=True)
    context.endpoints = {
        name: make_endpoint(name, data_centre=data_centre)
        for data_centre, names in rows
        for name in names.split(", ")
    }


@given("the regions a = north, b = south")
def set_regions(context):
    context.clock = ManualClock()
    context.directory = FixedDirectory(list(context.endpoints.values()))
    context.directory.loaded = True
    context.eligibility = Eligibility(context.directory, {"a": "north", "b": "south"})
    context.health = EndpointHealth(context.clock)
    context.report_table = ReportTable("h1", "1", context.clock)
    context.chooser = EndpointChooser(
        context.directory,
        context.report_table,
        context.health,
        EndpointTrust(context.clock),
        "a",
        random.Random(1),
        eligibility=context.eligibility,
    )


@given('the data centres "{evacuated}" are evacuated, and "{leaving}" is leaving')
def set_state(context, evacuated, leaving):
    context.eligibility.apply_evacuations(frozenset(read_names(evacuated)))
    endpoints = context.directory.list_endpoints()
    endpoints[:] = [evolve(e, leaving=e.name == leaving) for e in endpoints]


@when('"{names}" accept no connections')
def lose(context, names):
    for name in names.split(", "):
        context.health.note_unreachable(name)


@then('the reason for "{name}" is "{reason}" with the regions "{regions}"')
def check_reason(context, name, reason, regions):
    scope = WorkScope(read_regions(regions))
    # As it was chosen, before it became ineligible.
    endpoint = context.endpoints.get(name) or make_endpoint(name)
    found = context.eligibility.find_current_reason(endpoint, scope)
    assert (found.value if found else "none") == reason, found
    current = context.directory.get(name)
    if current is not None:
        is_eligible = context.eligibility.is_eligible(current, scope)
        assert is_eligible is (found is None)


@then('"{names}" are chosen, usable and counted with the regions "{regions}"')
def check_usable(context, names, regions):
    scope = WorkScope(read_regions(regions))
    expected = set(read_names(names))
    choose = context.chooser.choose
    chosen = {choose(SERVICE, scope=scope) for _ in range(CHOICES)} - {None}
    assert {endpoint.name for endpoint in chosen} <= expected, chosen
    assert bool(chosen) is bool(expected)
    usable = context.chooser.list_usable(SERVICE, trials=True, scope=scope)
    assert {endpoint.name for endpoint in usable} == expected, usable
    slots = context.chooser.count_slots(SERVICE, scope=scope)
    assert slots == sum(context.endpoints[name].slots for name in expected), slots


@given('a route with the regions "{route}" and an account with "{account}"')
def make_restricted(context, route, account):
    context.scope = WorkScope.of(
        make_route(allowed_regions=read_regions(route)),
        make_account(allowed_regions=read_regions(account)),
    )


@then('their requests may run in "{regions}"')
def check_scope(context, regions):
    assert context.scope.allowed_regions == read_regions(regions), context.scope


async def skip_notification():
    """Notify no other host."""


def make_queue(context):
    return SlotQueue(
        context.chooser,
        context.report_table,
        skip_notification,
        context.clock,
        random.Random(2),
    )


def make_call(context, regions, account="desk"):
    now = context.clock.read_elapsed()
    return OnlineCall(
        "r1",
        make_route(),
        account,
        "POST",
        "/ask/1",
        Headers(),
        b"",
        now,
        now + 5.0,
        scope=WorkScope(read_regions(regions)),
    )


@then('a request with the regions "{regions}" is refused as "{message}"')
def check_refused(context, regions, message):
    try:
        curio.run(make_queue(context).acquire, make_call(context, regions), SERVICE)
    except Refusal as refusal:
        assert refusal.code is RefusalCode.NO_ENDPOINT, refusal.code
        assert refusal.message == message, refusal.message
        assert refusal.retry_after > 0
        assert refusal.executed == "no", refusal.executed
    else:
        raise AssertionError("not refused")


@given('all slots of "{names}" are in use')
def fill(context, names):
    for name in names.split(", "):
        for _ in range(context.endpoints[name].slots + 1):
            context.report_table.begin(name)


@when('a request with the regions "{regions}" waits for a slot')
def add_waiting(context, regions):
    context.waiting = make_call(context, regions)


@then('a request with the regions "{regions}" gets a slot at once')
def check_gets_slot(context, regions):
    async def play():
        queue = make_queue(context)
        waiting = await curio.spawn(queue.acquire, context.waiting, SERVICE)
        await curio.sleep(0)
        assert len(queue) == 1
        endpoint = await queue.try_acquire(make_call(context, regions), SERVICE)
        await queue.assign_free_slots()
        await waiting.cancel()
        return endpoint

    assert curio.run(play) is not None


@then('a request with the regions "{regions}" gets none')
def check_gets_none(context, regions):
    queue = make_queue(context)
    call = make_call(context, regions)
    assert curio.run(queue.try_acquire, call, SERVICE) is None


@when('requests with the regions "{first}", "{second}" and "{third}" wait, {how}')
def make_waiting(context, first, second, third, how):
    context.calls = [
        make_call(context, regions, f"account{number}")
        for number, regions in enumerate((first, second, third))
    ]


@when('{count:d} requests at "{name}" end')
def end_requests(context, count, name):
    context.ending = [name] * count


@then('the first {count:d} of them get a slot at "{name}"')
def check_order(context, count, name):
    async def play():
        queue = make_queue(context)
        tasks = [
            await curio.spawn(queue.acquire, call, SERVICE) for call in context.calls
        ]
        await curio.sleep(0)
        assert len(queue) == len(tasks)
        for ended in context.ending:
            context.report_table.end(ended)
        await queue.assign_free_slots()
        await curio.sleep(0)
        assert [task.terminated for task in tasks] == [True] * count + [False]
        await tasks[-1].cancel()
        return {task.result.name for task in tasks[:count]}

    assert curio.run(play) == {name}


class LineKeeper(logging.Handler):
    """Keeps log records.

    Attributes
    ----------
    lines : list of str
    """

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(f"{record.getMessage()} {record.evacuated}")


@when('the data centres "{names}" are evacuated and checked')
def evacuate_and_check(context, names):
    members = FixedMembers(FleetMember("h1", "1", "a"), [])
    members.loaded = True
    keeper = LineKeeper()
    logger = logging.getLogger("mangogauge.eligibility")
    logger.addHandler(keeper)
    try:
        monitor = EvacuationMonitor(context.eligibility, context.directory, members)
        context.eligibility.apply_evacuations(frozenset(names.split(", ")))
        for _ in range(3):
            monitor.evaluate()
    finally:
        logger.removeHandler(keeper)
    context.lines = keeper.lines


@then('it is logged that "{name}" has no endpoints and no hosts')
def check_unknown(context, name):
    message = f"evacuated data centre has no endpoints and no hosts {name}"
    assert context.lines.count(message) == 1, context.lines


@then("it is logged that requests are refused")
def check_all_evacuated(context):
    refused = [line for line in context.lines if "requests are refused" in line]
    assert len(refused) == 1, context.lines
