"""Steps of the order in which a host runs its items."""

from behave import given, then, when

from features.builders.itemload import (
    EVENTS_PER_SECOND,
    TOKENS,
    ItemLoad,
    make_items,
    order_by_due_date,
    order_by_timeliness,
)
from mangogauge.clock import ManualClock
from mangogauge.jobs.estimates import ItemPace, SlotShare
from mangogauge.jobs.scheduling import find_timely, order_items

SECONDS_STEP = 0.5
LEARNING_ITEMS = 200


@given("{count:d} item of {seconds:g} s, due in {due:g} s")
@given("{count:d} items of {seconds:g} s each, due in {due:g} s")
def add_items(context, count, seconds, due):
    add_begun_items(context, count, seconds, 0, due)


@given("{count:d} item of {seconds:g} s that is {percent:d}% done, due in {due:g} s")
@given(
    "{count:d} items of {seconds:g} s each that are {percent:d}% done, due in {due:g} s"
)
def add_begun_items(context, count, seconds, percent, due):
    if "items" not in context:
        context.items = []
        context.pace = ItemPace()
        for _ in range(LEARNING_ITEMS):
            context.pace.note_run(TOKENS, seconds)
            context.pace.note_end(TOKENS, round(seconds * EVENTS_PER_SECOND))
    events = round(seconds * EVENTS_PER_SECOND * percent / 100)
    job_id = f"j{len(context.items)}"
    context.items += make_items(job_id, count, due, events)


@when("the host gets {slots:g} slot on average")
@when("the host gets {slots:g} slots on average")
def order(context, slots):
    context.timely = find_timely(context.items, 0.0, context.pace, slots)
    context.order = order_items(context.items, context.timely, context.pace)


@then("{count:d} items are timely, and run first")
def check_timely(context, count):
    assert len(context.timely) == count, len(context.timely)
    assert set(context.order[:count]) == context.timely


@then("the {count:d} items that are {percent:d}% done are timely")
def check_begun_timely(context, count, percent):
    begun = {item for item in context.items if item.event_texts}
    assert len(begun) == count and begun <= context.timely


@then("the items that are {percent:d}% done run before the others")
def check_begun_first(context, percent):
    is_begun = [bool(item.event_texts) for item in context.order]
    assert is_begun == sorted(is_begun, reverse=True), is_begun


@given("a host whose {running:d} items ran for {seconds:g} s while none waited")
def make_share(context, running, seconds):
    context.clock = ManualClock()
    context.share = SlotShare(context.clock)
    note_running(context, running, 0, seconds)


@when("{running:d} items run and {waiting:d} wait")
def note_once(context, running, waiting):
    context.share.note(running, waiting)


@when("for {seconds:g} s {running:d} items run and {waiting:d} wait")
def note_for(context, seconds, running, waiting):
    note_running(context, running, waiting, seconds)


def note_running(context, running, waiting, seconds):
    for _ in range(round(seconds / SECONDS_STEP)):
        context.clock.advance(SECONDS_STEP)
        context.share.note(running, waiting)


@then("it counts on {slots:g} slots")
def check_share(context, slots):
    assert round(context.share.slots, 1) == slots, context.share.slots


@given(
    "a job of {count:d} items of about {seconds:g} s each that comes every"
    " {interval:g} s and is due in {due:g} s"
)
def make_load(context, count, seconds, interval, due):
    context.load = ItemLoad(count, seconds, interval, due)


@when(
    "they are played for {seconds:g} s on {slots:d} slots, of which {taken:d} are"
    " taken for {burst:g} s of each {every:g} s"
)
def play_load(context, seconds, slots, taken, burst, every):
    load = context.load
    load.slots, load.burst_slots = slots, taken
    load.burst_seconds, load.burst_interval = burst, every
    context.in_time = load.play(order_by_timeliness, seconds)
    context.by_due_date = load.play(order_by_due_date, seconds)


@then("at least {times:g} times as many items end in time as in order of due dates")
def check_gain(context, times):
    counts = context.in_time, context.by_due_date
    assert context.in_time >= times * context.by_due_date, counts
