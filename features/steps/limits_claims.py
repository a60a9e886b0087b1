"""Steps for the planner of slot claims."""

import random

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.limits import (
    ClaimPlanner,
    HostAllocations,
    Owner,
    Part,
    PartKind,
    Slot,
    SlotTable,
    Terms,
)

TERMS = Terms(0.8, 5400.0, 5.0, 20.0)
OWNERS = {
    "itself": Owner("a1", 7, "m1"),
    '"a2"': Owner("a2", 1, "m2"),
    'an earlier "a1"': Owner("a1", 1, "m1"),
    '"a1" on another machine': Owner("a1", 1, "m9"),
}


@given('a limits planner of host "a1" and a table owned by {owner}')
def make_planner(context, owner):
    context.clock = ManualClock(1000.0)
    context.planner = ClaimPlanner(
        Owner("a1", 7, "m1"), random.Random(1), context.clock
    )
    context.planner.mark_ports_bound()
    part = Part(OWNERS[owner])
    context.slot_table = SlotTable([Slot(part, part, TERMS)] * 2)


@when('only "a1" is live')
def plan_without_others(context):
    context.plan = make_plan(context)
    apply_plan(context, context.plan)


@when('"a2" reconnects and clears its suspicions')
def clear_suspicions(context):
    owner = ClaimPlanner(OWNERS['"a2"'], random.Random(2), context.clock)
    context.slot_table = owner.clear_suspicions(context.slot_table)


@then('the limits plan suspects "a2" and requires its lease key to be absent')
def check_suspicion(context):
    assert context.plan.absent_owners == (OWNERS['"a2"'],), context.plan
    assert list_owners(context, PartKind.LEASED) == {"a2"}


@then("the {kind} part is claimed after {seconds:d} seconds, not before")
def check_taken(context, kind, seconds):
    kind = PartKind(kind)
    advance_to(context, 1000.0 + seconds)
    assert list_owners(context, kind) == {"a2"}, "claimed too early"
    advance_to(context, 1000.0 + seconds * 1.02)
    assert list_owners(context, kind) == {"a1"}, "not claimed"


@then('"a1" claims nothing after {seconds:d} seconds without a new suspicion')
def check_nothing_taken(context, seconds):
    advance_to(context, 1000.0 + seconds)
    assert list_owners(context, PartKind.LEASED) == {"a2"}
    assert context.slot_table.slots[0].leased.suspicion is not None


@then("all parts are claimed at once, and usable once loans have ended")
def check_immediate_claim(context):
    assert context.plan.absent_owners == ()
    assert list_owners(context, PartKind.DURABLE) == {"a1"}
    start = context.planner.find_start_time(context.slot_table.slots[0], 1000.0)
    assert start >= 1000.0 + TERMS.loan_seconds, start


@then("nothing is claimed at once")
def check_no_claim(context):
    assert list_owners(context, PartKind.DURABLE) == {"a1"}
    incarnations = {slot.durable.owner.incarnation for slot in context.slot_table.slots}
    assert incarnations == {1}, incarnations


@when("it starts to drain")
def plan_drain(context):
    own, now = context.planner.own, context.clock.read_elapsed()
    context.allocations = HostAllocations(share=1.0)
    context.allocations.replace(context.slot_table, own, {}, now, now + 20.0, now)
    assert make_plan(context, leaving=True) is None, "released at once"
    context.allocations.shorten(context.planner.release_times)


@then(
    "its allocations are valid for {seconds:d} seconds, "
    "and its slots are released only afterwards"
)
def check_release(context, seconds):
    allocations = context.allocations.find("desk")
    assert all(allocation.is_valid(1000.0 + seconds) for allocation in allocations), (
        allocations
    )
    context.clock.advance(seconds)
    assert make_plan(context, leaving=True) is None, "released too early"
    context.clock.advance(seconds * 0.02)
    now = context.clock.read_elapsed()
    apply_plan(context, make_plan(context, leaving=True))
    assert all(slot.is_free for slot in context.slot_table.slots)
    assert not any(allocation.is_valid(now) for allocation in allocations), allocations
    # A late renewal doesn't restore the allocations.
    end_times = context.planner.release_times
    context.allocations.extend(now, now + 20.0, now, end_times=end_times)
    assert not any(allocation.is_valid(now) for allocation in allocations), allocations


def make_plan(context, leaving=False):
    now = context.clock.read_elapsed()
    return context.planner.plan(context.slot_table, ("a1",), TERMS, now, leaving)


def apply_plan(context, plan):
    """Apply a plan's table as decoded from its stored form."""
    if plan is not None:
        context.slot_table = SlotTable.from_bytes(plan.table.to_bytes())
        context.planner.record_written_table(
            context.slot_table, context.clock.read_elapsed()
        )


def advance_to(context, elapsed):
    context.clock.advance(elapsed - context.clock.read_elapsed())
    apply_plan(context, make_plan(context))


def list_owners(context, kind):
    return {slot.parts[kind].owner.name for slot in context.slot_table.slots}
