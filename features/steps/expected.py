"""Steps of a host that reads from the store's copy what another host has read."""

import random

import curio
from behave import given, then, when
from returns.result import Success

from mangogauge.clock import SystemClock
from mangogauge.fleet import Follower, Listener, SharedSchedule
from mangogauge.sharing import CopyReport, SharedFreshness
from mangogauge.store import ChangeFeed, KeyValue, Snapshot

PREFIX = "p/"
INTERVAL_SECONDS = 0.2
POLL_SECONDS = 0.002
OTHER = "other#1"
BOUND_SECONDS = 30


class VersionListener(Listener):
    """Keeps the one version that it was told; its digest is the version."""

    digest = ""

    def digest_items(self, items):
        return items[0].value.decode()

    def apply_snapshot(self, items):
        self.digest = self.digest_items(items)

    def apply_changes(self, events):
        raise NotImplementedError

    def handle_store_regained(self):
        pass


class VersionFeed(ChangeFeed):
    """A store of one version, whose copy may be older, and is told of while read."""

    def __init__(self):
        self.version = 1
        self.copied = 1
        self.on_read_copy = None

    async def read_snapshot(self, prefix, start_after=""):
        return self._answer(self.version)

    async def read_copy(self, prefix, start_after=""):
        answer = self._answer(self.copied)
        if self.on_read_copy is not None:
            tell, self.on_read_copy = self.on_read_copy, None
            tell()
        return answer

    async def read_changes(self, prefix, revision, wait_seconds):
        raise NotImplementedError

    def _answer(self, version):
        item = KeyValue(PREFIX + "x", b"%d" % version, 0, version)
        return Success(Snapshot([item], version))


async def ignore_change():
    """Tell nobody."""


@given("a host that has read version 1 of a prefix")
def make_host(context):
    clock = SystemClock()
    context.feed = VersionFeed()
    context.listener = VersionListener()
    context.freshness = SharedFreshness(
        clock, random.Random(1), INTERVAL_SECONDS, lambda: 50, "own#1"
    )
    context.schedule = SharedSchedule(context.freshness, PREFIX, ignore_change)
    context.follower = Follower(
        context.feed, PREFIX, context.listener, context.schedule, clock, reads_all=True
    )


def tell(context, version, number):
    report = CopyReport(str(version), version, OTHER, number, 0.0)
    context.freshness.merge_report({PREFIX: report})


@when("another host tells that it has read version 2")
def tell_first(context):
    context.steps = [lambda: tell(context, 2, 1)]


@when("another host tells of version 3, while the store's copy with version 2 is read")
def tell_second(context):
    context.feed.copied = 2
    context.feed.on_read_copy = lambda: tell(context, 3, 2)
    context.told, context.had = curio.run(follow, context)


async def follow(context):
    """Follow until the copy was read; return what is told of then, and what is had."""
    task = await curio.spawn(context.follower.run)
    async with curio.timeout_after(BOUND_SECONDS):
        while not context.listener.digest:
            await curio.sleep(POLL_SECONDS)
        context.feed.version = 3
        context.steps[0]()
        await context.schedule.wake()
        while context.listener.digest == "1":
            await curio.sleep(POLL_SECONDS)
        told = context.freshness.make_report()[PREFIX].digest
        had = context.listener.digest
        # Others go on confirming what is newest.
        number = 2
        until = SystemClock().read_elapsed() + 10 * INTERVAL_SECONDS
        while context.listener.digest != "3" and SystemClock().read_elapsed() < until:
            number += 1
            tell(context, 3, number)
            await context.schedule.wake()
            await curio.sleep(POLL_SECONDS)
    await task.cancel()
    return told, had


@then("the host tells of no version that it hasn't read")
def check_told(context):
    assert context.told == context.had, (context.told, context.had)


@then("it comes to have version 3")
def check_had(context):
    assert context.listener.digest == "3", context.listener.digest
