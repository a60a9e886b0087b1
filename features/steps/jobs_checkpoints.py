"""Steps of the progress of items that hosts record in the store."""

from types import SimpleNamespace

import orjson
from behave import given, then, when

from features.steps.jobs import run, submit_job
from features.steps.jobs_claims import claim
from mangogauge.entry.events import StreamEvent
from mangogauge.jobs.keys import CLAIM, make_progress_key, make_work_key
from mangogauge.jobs.progress import ProgressWriter
from mangogauge.jobs.records import ItemProgress
from mangogauge.store import Condition, Operation, Transaction
from mangogauge.streams import StreamOrigin


def find_item(context, name, number):
    job = context.hosts[name].job
    return job.items[f"{job.job_id}-{number}"]


def receive(item, count, data=b"x"):
    first = len(item.event_texts) + 1
    for number in range(first, first + count):
        item.add_event(StreamEvent(b"id: %d\ndata: %b\n\n" % (number, data)))


def write_checkpoint(context, name):
    host = context.hosts[name]
    jobs = [host.job, *getattr(context, "other_jobs", ())]
    claimer = SimpleNamespace(list_jobs=lambda: jobs)
    writer = ProgressWriter(claimer, host.claims, context.clock, None)
    run(writer.write_checkpoint)


def read_progress(context, job_id):
    found = run(context.store.get, make_progress_key(job_id)).unwrap()
    return [] if found is None else ItemProgress.decode_group(found.value)


@when("item {number:d} receives {count:d} events at the {name} host")
def receive_events(context, number, count, name):
    receive(find_item(context, name, number), count)


@when('item {number:d} receives {count:d} events of "{software}" at the {name} host')
def receive_events_of_version(context, number, count, software, name):
    item = find_item(context, name, number)
    item.origin = StreamOrigin("llm", software)
    receive(item, count)


@when("the first host writes a checkpoint as older hosts do")
def checkpoint_as_older(context):
    write_checkpoint(context, "first")
    key = make_progress_key(context.hosts["first"].job.job_id)
    rows = orjson.loads(run(context.store.get, key).unwrap().value)
    run(context.store.put, key, orjson.dumps(rows[:-1]))


@then('the second host may resume item {number:d} at version "{software}" only')
def check_origin(context, number, software):
    origin = find_item(context, "second", number).origin
    assert origin == StreamOrigin("llm", software), origin


@then(
    'each row of the progress of "{job_id}" has three values, '
    "and the last row's id is empty"
)
def check_rows(context, job_id):
    found = run(context.store.get, make_progress_key(job_id)).unwrap()
    rows = orjson.loads(found.value)
    assert {len(row) for row in rows} == {3}, rows
    assert [row[0] for row in rows] == [f"{job_id}-1", ""], rows


@when("each item receives an event of {size} bytes at the first host")
def receive_large_events(context, size):
    data = b"x" * int(size.replace(",", ""))
    for item in context.hosts["first"].job.items.values():
        receive(item, 1, data)


@when("the {name} host writes a checkpoint")
@when("the {name} host tries to write a checkpoint")
def checkpoint(context, name):
    write_checkpoint(context, name)


@given('the first host has also claimed "{job_id}", of which it loses the claim')
def claim_other(context, job_id):
    first_job = context.hosts["first"].job
    submit_job(context, "first", job_id, 1)
    other = claim(context, "first", job_id)
    context.hosts["first"].job = first_job
    context.other_jobs = [other]
    key = make_work_key(job_id, CLAIM)
    run(
        context.store.transact,
        Transaction([Condition(key, other.claim_revision)], [Operation(key)]),
    )


@when('an item of "{job_id}" receives {count:d} events')
def receive_other(context, job_id, count):
    (item,) = context.other_jobs[0].items.values()
    receive(item, count)


@then("the second host resumes item {number:d} after event {event:d}")
def check_resumed(context, number, event):
    assert find_item(context, "second", number).last_event == event


@then("the second host has {count:d} events of item {number:d}")
def check_events(context, count, number):
    assert find_item(context, "second", number).event_texts == ["x"] * count


@then("the second host runs item {number:d} from the start")
def check_fresh(context, number):
    assert find_item(context, "second", number).last_event is None


@then("the progress that is stored has {count:d} event")
@then("the progress that is stored has {count:d} events")
def check_stored(context, count):
    check_stored_of(context, context.job_id, count)


@then('the progress of "{job_id}" that is stored has {count:d} events')
def check_stored_of(context, job_id, count):
    progress = read_progress(context, job_id)
    assert sum(item.count for item in progress) == count, progress


@then('no progress of "{job_id}" is stored')
def check_nothing_stored(context, job_id):
    assert read_progress(context, job_id) == []


@then("a further checkpoint makes no call to the store")
def check_no_call(context):
    calls = context.store.calls
    write_checkpoint(context, "first")
    assert context.store.calls == calls
