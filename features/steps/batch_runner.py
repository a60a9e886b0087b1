"""Steps of the part of a host that claims batch jobs, without a fleet."""

import random

import curio
from behave import given, then, when

from features.builders.views import ViewGroup
from mangogauge.batch.commits import ChunkStore
from mangogauge.batch.files import FileStore
from mangogauge.batch.jobs import JobStore
from mangogauge.batch.runner import BatchParts, BatchRunner
from mangogauge.settings import BatchSettings, FleetSettings
from mangogauge.store import MemoryStore, RecordStore
from mangogauge.telemetry import HostMetrics

POLL_SECONDS = 0.01


class CountingJobs(JobStore):
    """Counts how often it is asked for open jobs."""

    looks = 0

    async def list_open(self, start):
        self.looks += 1
        return await super().list_open(start)


@given("a batch runner whose host has no configuration")
def make_runner(context):
    group = ViewGroup()
    group.add("a1", "a")
    records = RecordStore(MemoryStore(group.clock))
    context.jobs = CountingJobs(records)
    context.runner = BatchRunner(
        BatchParts(
            host="a1",
            records=records,
            jobs=context.jobs,
            files=FileStore(records, group.clock),
            chunks=ChunkStore(records, "a1"),
            dispatcher=None,
            router=None,
            view=group.views["a1"],
            clock=group.clock,
            random=random.Random(1),
            metrics=HostMetrics(),
        )
    )
    context.error = None


@when("it looks for work for {seconds:g} s")
def look_for_work(context, seconds):
    context.error = curio.run(run_for, context.runner, seconds)


async def run_for(runner, seconds):
    """Return the error with which the runner ended by itself, if it did."""
    task = await curio.spawn(runner.run)
    async with curio.ignore_after(seconds):
        await task.wait()
    if task.terminated:
        return task.exception
    await task.cancel()
    return None


@when("its host learns a configuration and it looks for work for {seconds:g} s")
def learn_and_look(context, seconds):
    fleet = FleetSettings(batch=BatchSettings(poll_seconds=POLL_SECONDS))
    context.runner.take_fleet(fleet)
    look_for_work(context, seconds)


@then("it has claimed nothing and goes on")
def check_unclaimed(context):
    assert context.error is None, context.error
    assert context.jobs.looks == 0, context.jobs.looks


@then("it has asked the store for jobs")
def check_asked(context):
    assert context.error is None, context.error
    assert context.jobs.looks > 0
