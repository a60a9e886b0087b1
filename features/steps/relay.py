"""Steps of relay duty and of trust in keys."""

import random

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.configuration import Staging
from mangogauge.distribution import RelayDuty, rank_relays
from mangogauge.keys import KeyTrust

STEP_SECONDS = 0.125


@given("relay duty of {count:d} hosts")
def make_duties(context, count):
    context.clock = ManualClock()
    context.ranked = rank_relays([f"a{i}" for i in range(count)], "a")
    context.duties = {
        name: RelayDuty(name, context.clock, random.Random(7))
        for name in context.ranked
    }
    context.reads = {name: [] for name in context.ranked}
    context.silent = set()


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        context.clock.advance(STEP_SECONDS)
        counters = {name: len(reads) for name, reads in context.reads.items()}
        for name, duty in context.duties.items():
            duty.note_counters(counters)
            if name not in context.silent and duty.should_read(context.ranked):
                context.reads[name].append(context.clock.read_elapsed())


@then("the first in rank has read about 20 times and the others not at all")
def check_first_reads(context):
    first, *others = context.ranked
    assert 19 <= len(context.reads[first]) <= 21, context.reads
    assert not any(context.reads[name] for name in others), context.reads


@when("the first in rank falls silent for {seconds:d} seconds")
def fall_silent(context, seconds):
    context.silent.add(context.ranked[0])
    context.silence_began = context.clock.read_elapsed()
    pass_time(context, seconds)


@then("the second in rank has read within {seconds:d} seconds of the silence")
def check_stand_in(context, seconds):
    reads = context.reads[context.ranked[1]]
    assert reads[0] - context.silence_began <= seconds, reads


@given("trust in keys for {seconds:d} seconds")
def make_trust(context, seconds):
    context.clock = ManualClock(elapsed=1000.0)
    context.trust = KeyTrust(context.clock, seconds)


@when("news of age {age:d} that was asked for {ago:d} seconds ago arrives")
def take_news(context, age, ago):
    asked_at = context.clock.read_elapsed()
    context.clock.advance(ago)
    context.trust.confirm(asked_at - age)


@then("keys are trusted, and {seconds:d} seconds later no more")
def check_trust(context, seconds):
    assert context.trust.is_valid
    context.clock.advance(seconds + STEP_SECONDS)
    assert not context.trust.is_valid


@given("a version {version:d} from {source} at a host that {state}")
def stage_version(context, version, source, state):
    context.clock = ManualClock()
    context.staging = Staging(context.clock)
    context.starting = state == "just started"
    context.staged = context.staging.stage(version, None, source == "the platform")


@when('its data centre\'s other hosts have "{versions}"')
def take_peers(context, versions):
    words = versions.split()
    if "late" in words:
        words.remove("late")
        context.clock.advance(3)
    numbers = [int(word) if word != "?" else None for word in words if word != "none"]
    context.entered = context.staging.may_enter(
        context.staged, numbers, context.starting
    )


@then("the version {outcome} in force")
def check_entered(context, outcome):
    assert context.entered == (outcome == "is"), context.entered
