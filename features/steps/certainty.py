"""Steps of hosts that are asked for something that their copy lacks."""

import curio
import orjson
from behave import given, then, when

from features.builders.fleet import ScriptedFeed, make_configuration
from mangogauge.clock import ManualClock
from mangogauge.fleet import (
    AbsenceChecker,
    ConfigurationConfirmation,
    FleetMember,
    FleetState,
    MemberDirectory,
    OperatorListener,
)
from mangogauge.platform import PlatformSource
from mangogauge.refusals import Refusal
from mangogauge.sharing import ReportTable

SOURCE = PlatformSource()
CONFIGURATION_KEY = "op/config"
LIMITS = {
    "max_header_bytes": 1000,
    "max_body_bytes": 1000,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 1000,
}


class SilentFeed(ScriptedFeed):
    """Feed that doesn't respond if `silent` is set."""

    silent = False

    async def read_snapshot(self, prefix, start_after=""):
        answer = await super().read_snapshot(prefix, start_after)
        if self.silent:
            await curio.Event().wait()
        return answer


@given("a host with a copy of the operators' entries")
def make_host(context):
    clock = context.clock = ManualClock()
    clock.advance(100.0)
    members = MemberDirectory(FleetMember("h1", "1"), clock)
    state = context.state = FleetState(None, members, ReportTable("h1", "1", clock))
    state.apply_configuration(make_configuration(1))
    context.feed = SilentFeed()
    context.absence_checker = AbsenceChecker(
        lambda: clock.read_elapsed() - context.confirmed_at, clock
    )
    listener = OperatorListener(
        SOURCE, state, lambda configuration: None, lambda retirement: None
    )
    context.confirmation = ConfigurationConfirmation(
        context.feed, SOURCE.operator_prefix, listener, context.absence_checker, clock
    )


def set_age(context, age):
    context.confirmed_at = context.clock.read_elapsed() - age


@given("its copy is {age:g} s old, and the store has configuration {version:d}")
def change_configuration(context, age, version):
    set_age(context, age)
    value = {"version": version, "routes": [], "limits": LIMITS}
    context.feed.items = {CONFIGURATION_KEY: orjson.dumps(value)}


@given("its copy is {age:g} s old, and the store is lost")
def lose_store(context, age):
    set_age(context, age)
    context.feed.reachable = False


@given("its copy is {age:g} s old, and the store doesn't respond")
def silence_store(context, age):
    set_age(context, age)
    context.feed.silent = True


@when("a request asks for something that its copy, {age:g} s old, lacks")
def ask(context, age):
    set_age(context, age)
    context.asked_at = context.clock.read_elapsed()


@when("{seconds:g} s pass after the request")
def wait(context, seconds):
    context.clock.advance(seconds)


@then('the certainty that it is absent is "{certainty}"')
def check_certainty(context, certainty):
    found = context.absence_checker.assess(context.asked_at)
    assert found.name.lower() == certainty, found


async def confirm(context):
    try:
        await context.confirmation.confirm(context.clock.read_elapsed())
    except Refusal as refusal:
        return refusal
    return None


async def confirm_all(context, count):
    tasks = [await curio.spawn(confirm, context) for _ in range(count)]
    return [await task.join() for task in tasks]


@when("{count:d} requests ask for something that it lacks")
def ask_often(context, count):
    context.outcomes = curio.run(confirm_all, context, count)


@when(
    "{count:d} requests ask every {pause:g} s, for {seconds:g} s,"
    " for something that it lacks"
)
def ask_for_long(context, count, pause, seconds):
    context.outcomes = []
    for _ in range(round(seconds / pause)):
        context.outcomes += curio.run(confirm_all, context, count)
        context.clock.advance(pause)


@then("none of them was refused, and configuration {version:d} is in force")
def check_confirmed(context, version):
    assert context.outcomes and not any(context.outcomes), context.outcomes
    assert context.state.version == version, context.state.version


@then('all of them were refused as "{code}", not run, with a time to retry after')
def check_refused(context, code):
    assert context.outcomes and all(context.outcomes), context.outcomes
    for refusal in context.outcomes:
        assert refusal.code.value.code == code, refusal
        assert refusal.executed == "no" and refusal.retry_after > 0, refusal


@then("the store was read {count:d} time")
@then("the store was read {count:d} times")
def check_reads(context, count):
    assert len(context.feed.reads) == count, context.feed.reads
