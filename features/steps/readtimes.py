"""Steps of how old reads are that other hosts tell of."""

import random

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.sharing import CopyReport, SharedFreshness
from mangogauge.sharing.readtimes import ReadTimes

TOPIC = "orders"
INTERVAL_SECONDS = 0.7
TOLERANCE_SECONDS = 1e-6
# Others start between two reads of the host that lives on.
READ_EVERY = 100


def hear(context, age):
    report = CopyReport("d", 2, "other", 1, age)
    context.freshness.merge_report({TOPIC: report})


@given(
    "a host whose copy was confirmed by a read of another, "
    "{seconds:g} s ago as it heard"
)
def make_freshness(context, seconds):
    clock = ManualClock()
    context.freshness = SharedFreshness(clock, random.Random(1), INTERVAL_SECONDS)
    context.freshness.note_read(TOPIC, "d", clock.read_elapsed(), 1)
    clock.advance(10 * seconds)
    hear(context, seconds)


@when("it hears that the same read was made {seconds:g} s ago")
def hear_again(context, seconds):
    hear(context, seconds)


@then("it takes its copy to be {seconds:g} s old")
def check_age(context, seconds):
    age = context.freshness.measure_age(TOPIC)
    assert abs(age - seconds) < TOLERANCE_SECONDS, age


@given("the dates of the reads of a host that reads all along")
def make_dates(context):
    context.dates = ReadTimes()
    context.dates.date(TOPIC, "old", 1, 1.0)


@when("{count:d} other hosts have started one after the other, and read once")
def start_many(context, count):
    for number in range(1, count + 1):
        context.dates.date(TOPIC, f"new{number}", 1, number)
        if number % READ_EVERY == 0:
            context.number = context.made_at = number
            context.dates.date(TOPIC, "old", number, number)


@then("its last read isn't dated anew")
def check_dated_once(context):
    dated = context.dates.date(TOPIC, "old", context.number, float("inf"))
    assert dated == context.made_at, dated
