"""Steps of claims that nobody runs."""

import random

import curio
from behave import given, then, when

from features.builders.strays import CLAIM_KEY, JOB_ID, make_store
from features.builders.views import ViewGroup
from features.steps.batch_runner import POLL_SECONDS, run_for
from mangogauge.batch.chunks import ChunkState
from mangogauge.batch.commits import ChunkStore
from mangogauge.batch.files import FileStore
from mangogauge.batch.jobs import JobStore
from mangogauge.batch.keys import make_state_key
from mangogauge.batch.runner import BatchParts, BatchRunner
from mangogauge.settings import BatchSettings, FleetSettings
from mangogauge.store import RecordStore
from mangogauge.telemetry import HostMetrics


@given("a store that goes away once a chunk is claimed, with a job of {items:d} items")
def start_store(context, items):
    context.group = ViewGroup()
    context.store = make_store(context.group.clock, items)


@given('a batch runner "{name}" on that store')
def start_runner(context, name):
    context.group.add(name, "a")
    context.runner = make_runner(context, name)


def make_runner(context, name):
    clock, records = context.group.clock, RecordStore(context.store)
    runner = BatchRunner(
        BatchParts(
            host=name,
            records=records,
            jobs=JobStore(records),
            files=FileStore(records, clock),
            chunks=ChunkStore(records, name),
            dispatcher=None,
            router=None,
            view=context.group.views[name],
            clock=clock,
            random=random.Random(1),
            metrics=HostMetrics(),
        )
    )
    runner.take_fleet(FleetSettings(batch=BatchSettings(poll_seconds=POLL_SECONDS)))
    return runner


@when("the runner looks for work for {seconds:g} s")
def look_for_work(context, seconds):
    error = curio.run(run_for, context.runner, seconds)
    assert error is None, error
    context.claim = read_claim(context)


@when("that store is back and the runner looks for work for {seconds:g} s")
def return_and_look(context, seconds):
    context.store.away = False
    error = curio.run(run_for, context.runner, seconds)
    assert error is None, error


@when('that store is back and another runner "{name}" looks for work for {seconds:g} s')
def look_as_another(context, name, seconds):
    context.runner = make_runner(context, name)
    return_and_look(context, seconds)


@then('the store has a claim of "{name}" that the runner doesn\'t run')
def check_left(context, name):
    assert context.claim is not None
    assert read_epoch(context) == 1, read_epoch(context)


@then("the runner has claimed the chunk again")
def check_claimed_again(context):
    assert read_epoch(context) == 2, read_epoch(context)
    assert read_claim(context) != context.claim


@then("the claim is as it was")
def check_unchanged(context):
    assert read_claim(context) == context.claim
    assert read_epoch(context) == 1, read_epoch(context)


def read_claim(context):
    found = context.store.keyspace.get(CLAIM_KEY)
    return found and found.mod_revision


def read_epoch(context):
    context.store.away, away = False, context.store.away
    records = RecordStore(context.store)
    row = curio.run(records.read, make_state_key(JOB_ID, 0)).unwrap()
    context.store.away = away
    return ChunkState.from_bytes(row.payload).epoch
