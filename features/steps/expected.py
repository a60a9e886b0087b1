"""Steps of a host that reads a version from the store's copy after another host."""

import random

import curio
from behave import given, then, when
from returns.result import Success

from features.builders.copies import make_order
from mangogauge.clock import SystemClock
from mangogauge.fleet import Follower, Listener, SharedSchedule
from mangogauge.sharing import CopyReport, ReadBackoff, SharedFreshness
from mangogauge.store import ChangeFeed, KeyValue, Snapshot

PREFIX = "p/"
INTERVAL_SECONDS = 0.2
POLL_SECONDS = 0.002
OTHER_PROCESS = "other#1"
TIMEOUT_SECONDS = 30


class VersionListener(Listener):
    """Keeps the last version that was read; its digest is the version."""

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
    """Feed of one version, whose copy may be older.

    `on_read_copy` is called once while the copy is read.
    """

    def __init__(self):
        self.version = 1
        self.copied = 1
        self.on_read_copy = None

    async def read_snapshot(self, prefix, start_after=""):
        return self._answer(self.version)

    async def read_copy(self, prefix, start_after=""):
        answer = self._answer(self.copied)
        if self.on_read_copy is not None:
            callback, self.on_read_copy = self.on_read_copy, None
            callback()
        return answer

    async def read_changes(self, prefix, revision, wait_seconds):
        raise NotImplementedError

    def _answer(self, version):
        item = KeyValue(PREFIX + "x", b"%d" % version, 0, version)
        return Success(Snapshot([item], version))


async def ignore_change():
    """Do nothing."""


@given("a host that has read version 1 of a prefix")
def make_host(context):
    clock = SystemClock()
    context.feed = VersionFeed()
    context.listener = VersionListener()
    context.freshness = SharedFreshness(
        clock, INTERVAL_SECONDS, make_order(0, 50), "own#1"
    )
    backoff = ReadBackoff(clock, random.Random(1))
    context.schedule = SharedSchedule(context.freshness, PREFIX, ignore_change, backoff)
    context.follower = Follower(
        context.feed, PREFIX, context.listener, context.schedule, clock, reads_all=True
    )


def report_version(context, version, number):
    report = CopyReport(str(version), version, OTHER_PROCESS, number, 0.0)
    context.freshness.merge_report({PREFIX: report})


@when("another host reports that it has read version 2")
def report_second_version(context):
    context.steps = [lambda: report_version(context, 2, 1)]


@when("another host reports version 3 while the store's copy with version 2 is read")
def report_third_version(context):
    context.feed.copied = 2
    context.feed.on_read_copy = lambda: report_version(context, 3, 2)
    context.reported, context.own = curio.run(follow, context)


async def follow(context):
    """Follow until the copy is read; return the reported and the own version then."""
    task = await curio.spawn(context.follower.run)
    async with curio.timeout_after(TIMEOUT_SECONDS):
        while not context.listener.digest:
            await curio.sleep(POLL_SECONDS)
        context.feed.version = 3
        context.steps[0]()
        await context.schedule.wake()
        while context.listener.digest == "1":
            await curio.sleep(POLL_SECONDS)
        reported = context.freshness.make_report()[PREFIX].digest
        own = context.listener.digest
        # Other hosts keep confirming the newest version.
        number = 2
        until = SystemClock().read_elapsed() + 10 * INTERVAL_SECONDS
        while context.listener.digest != "3" and SystemClock().read_elapsed() < until:
            number += 1
            report_version(context, 3, number)
            await context.schedule.wake()
            await curio.sleep(POLL_SECONDS)
    await task.cancel()
    return reported, own


@then("the host reports no version that it has not read")
def check_reported(context):
    assert context.reported == context.own, (context.reported, context.own)


@then("it reads version 3 later")
def check_own(context):
    assert context.listener.digest == "3", context.listener.digest
