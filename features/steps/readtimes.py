"""Steps of the estimated times of other hosts' reads."""

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.sharing import CopyReport, SharedFreshness
from mangogauge.sharing.readtimes import ReadTimes

TOPIC = "orders"
INTERVAL_SECONDS = 0.7
TOLERANCE_SECONDS = 1e-6
# Processes that start between two reads of the host that keeps reading.
PROCESSES_PER_READ = 100


def merge_copy(context, age):
    report = CopyReport("d", 2, "other", 1, age)
    context.freshness.merge_report({TOPIC: report})


@given(
    "a host whose copy was confirmed by another host's read, "
    "reported as {seconds:g} s ago"
)
def make_freshness(context, seconds):
    clock = ManualClock()
    context.freshness = SharedFreshness(clock, INTERVAL_SECONDS)
    context.freshness.note_read(TOPIC, "d", clock.read_elapsed(), 1)
    clock.advance(10 * seconds)
    merge_copy(context, seconds)


@when("the same read is reported as {seconds:g} s ago")
def merge_copy_again(context, seconds):
    merge_copy(context, seconds)


@then("the age of its copy is {seconds:g} s")
def check_age(context, seconds):
    age = context.freshness.measure_age(TOPIC)
    assert abs(age - seconds) < TOLERANCE_SECONDS, age


@given("the read times of a host that keeps reading")
def make_read_times(context):
    context.read_times = ReadTimes()
    context.read_times.record(TOPIC, "old", 1, 1.0)


@when("{count:d} other hosts have started one after the other, and read once")
def start_processes(context, count):
    for number in range(1, count + 1):
        context.read_times.record(TOPIC, f"new{number}", 1, number)
        if number % PROCESSES_PER_READ == 0:
            context.number = context.made_at = number
            context.read_times.record(TOPIC, "old", number, number)


@then("the time of its last read is unchanged")
def check_time_unchanged(context):
    read_at = context.read_times.record(TOPIC, "old", context.number, float("inf"))
    assert read_at == context.made_at, read_at
