"""Steps of copies that another host has already read."""

import random
from unittest.mock import patch

import curio
from behave import given, then, when

from features.builders.fleet import ScriptedFeed
from mangogauge.clock import ManualClock
from mangogauge.fleet import Follower, Listener, SharedSchedule
from mangogauge.sharing import CopyReport, ReadBackoff, SharedFreshness

KEY = "p/key"
TOPIC = "p/"
INTERVAL_SECONDS = 0.7
OTHER, THIRD, OWN = "other", "third", "own"
READERS = {"the other's read": OTHER, "its own read": OWN}


class ValueListener(Listener):
    """Keeps the single value of a topic, which is also its digest."""

    def __init__(self):
        self.value = ""
        self.regained = 0

    @property
    def digest(self):
        return self.value

    def digest_items(self, items):
        return items[0].value.decode()

    def apply_snapshot(self, items):
        self.value = self.digest_items(items)

    def apply_changes(self, events):
        raise AssertionError("the follower always reads a snapshot")

    def handle_store_regained(self):
        self.regained += 1


class CountedSchedule(SharedSchedule):
    """A schedule that counts the calls of its `wait`."""

    waits = 0

    async def wait(self):
        self.waits += 1
        await super().wait()


async def ignore_notification():
    """Do nothing in place of a report to other hosts."""


@given('a follower that shares its copy, and has read "{value}"')
def make_sharing_follower(context, value):
    context.clock = ManualClock()
    context.freshness = SharedFreshness(context.clock, INTERVAL_SECONDS, reader=OWN)
    context.feed = ScriptedFeed()
    context.listener = ValueListener()
    context.schedule = CountedSchedule(
        context.freshness,
        TOPIC,
        ignore_notification,
        ReadBackoff(context.clock, random.Random(1)),
    )
    context.follower = Follower(
        context.feed,
        TOPIC,
        context.listener,
        context.schedule,
        context.clock,
        reads_all=True,
    )
    context.feed.items = {KEY: value.encode()}
    curio.run(_follow_until, context, value)
    context.feed.reads.clear()


async def _follow_until(context, value):
    task = await curio.spawn(context.follower.run)
    while context.listener.value != value:
        await curio.sleep(0.001)
    await task.cancel()


@when('another host has read "{value}", and the store\'s copy has "{copied}"')
def merge_newer(context, value, copied):
    context.clock.advance(INTERVAL_SECONDS / 2)
    context.feed.revision += 1
    context.feed.items = {KEY: value.encode()}
    context.feed.copied = {KEY: copied.encode()}
    report = CopyReport(value, context.feed.revision, OTHER, 1, 0.0)
    assert context.freshness.merge_report({TOPIC: report}) == (TOPIC,)
    curio.run(_follow_until, context, value)


@when(
    'another host has read "{value}", and a third reports "{later}" '
    "while the store's copy is read"
)
def merge_both(context, value, later):
    context.clock.advance(INTERVAL_SECONDS / 2)
    context.feed.items = {KEY: later.encode()}
    context.feed.copied = {KEY: value.encode()}
    context.feed.on_copy = lambda: _merge_copy(context, later, THIRD)
    _merge_copy(context, value, OTHER)
    curio.run(_follow_once, context)


def _merge_copy(context, value, reader):
    context.feed.revision += 1
    report = CopyReport(value, context.feed.revision, reader, 1, 0.0)
    context.freshness.merge_report({TOPIC: report})


async def _follow_once(context):
    """Follow until the follower has read and waits again."""
    waits = context.schedule.waits
    task = await curio.spawn(context.follower.run)
    while context.schedule.waits == waits:
        await curio.sleep(0.001)
    await task.cancel()


@when('no host has read for {seconds:g} s, and then the store has "{value}"')
def wait_and_read(context, seconds, value):
    context.clock.advance(seconds)
    context.feed.revision += 1
    context.feed.items = {KEY: value.encode()}
    curio.run(_follow_until, context, value)


@then('the follower has "{value}", after these reads: {reads}')
def check_reads(context, value, reads):
    assert context.listener.value == value
    assert context.feed.reads == reads.split(", "), context.feed.reads


@then('it reports "{value}" to the other hosts')
def check_reported(context, value):
    reported = context.freshness.make_report()[TOPIC].digest
    assert reported == value, reported


@then("it reads again after {seconds:g} s")
def check_due(context, seconds):
    context.clock.advance(seconds)
    assert context.freshness.is_due(TOPIC)


@then("it reports that {origin} confirmed its copy")
def check_reader(context, origin):
    reader = context.freshness.make_report()[TOPIC].reader
    assert reader == READERS[origin], reader


@when('its process is suspended for {seconds:g} s, and the store has "{value}"')
def suspend(context, seconds, value):
    context.clock.advance(INTERVAL_SECONDS / 2)
    context.feed.revision += 1
    context.feed.items = {KEY: value.encode()}
    curio.run(_suspend_and_follow, context, seconds, value)


async def _suspend_and_follow(context, seconds, value):
    """Wait for a read in a process whose clocks go on while it is suspended."""
    times = iter([0.0, seconds])
    with patch("mangogauge.fleet.schedule.monotonic", lambda: next(times)):
        task = await curio.spawn(context.schedule.wait)
        await curio.sleep(0.001)
        context.clock.advance(seconds)
        await context.schedule.wake()
        await task.join()
    await _follow_until(context, value)


@then("it took the entries for those after an outage")
def check_regained(context):
    assert context.listener.regained == 1, context.listener.regained


@then("it did not take the entries for those after an outage")
def check_not_regained(context):
    assert context.listener.regained == 0, context.listener.regained
