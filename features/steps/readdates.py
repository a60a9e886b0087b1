"""Steps of how old reads are that other hosts tell of."""

import random

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.sharing import CopyReport, SharedFreshness

TOPIC = "orders"
INTERVAL_SECONDS = 0.7
TOLERANCE_SECONDS = 1e-6


def hear(context, age):
    report = CopyReport("d", 2, "other", 1, age)
    context.freshness.take_report({TOPIC: report})


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
