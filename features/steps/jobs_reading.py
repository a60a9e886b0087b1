"""Steps of reading jobs, their results and their items' bodies, at any host."""

from copy import deepcopy

from behave import given, then, when

from features.steps.jobs import run
from mangogauge.jobs.keys import CANCELLED, make_work_key
from mangogauge.refusals import Refusal
from mangogauge.store import Operation, Transaction

READ_SECONDS = 1.0


async def read_from(context, position, account="desk"):
    return [
        await read_all(context, host.reader, position, account)
        for host in context.hosts.values()
    ]


async def read_all(context, reader, position, account):
    """Read results until none are left or all of the job's items are read."""
    found = []
    while True:
        manifest, results = await reader.read_results(
            context.job_id, account, position + len(found), 0
        )
        found += [int(r.item_id[-1]) for r in results]
        if not results or position + len(found) >= len(manifest.items):
            return found


@when("a reader at each host has read from position {position:d}")
def read_results(context, position):
    run(read_from, context, position)


@then("a reader at each host reads the items {numbers} from position {position:d}")
def check_read(context, numbers, position):
    expected = [int(n) for n in numbers.split(", ")]
    assert run(read_from, context, position) == [expected, expected]


@then("a reader at each host reads the item {number:d} from position {position:d}")
def check_read_one(context, number, position):
    assert run(read_from, context, position) == [[number], [number]]


@given("copies of the store that are no longer updated")
@when("copies of the store are no longer updated")
def freeze_copy(context):
    context.store.stale_copy = deepcopy(context.store.keyspace)


@then("reading the job makes calls to copies only")
def check_copies_only(context):
    before = context.store.calls
    run(read_from, context, 0)
    assert context.store.calls == before, context.store.calls - before


@then("a waiting reader at the second host reads the items {numbers} from the store")
def check_waiting_read(context, numbers):
    reader = context.hosts["second"].reader
    found = run(wait_for_results, context, reader)
    assert found == [int(n) for n in numbers.split(", ")], found


async def wait_for_results(context, reader):
    _, results = await reader.read_results(context.job_id, "desk", 0, READ_SECONDS)
    return [int(r.item_id[-1]) for r in results]


@then("reading these results again makes no call to the store")
def check_no_calls(context):
    before = context.store.calls
    run(read_from, context, 0)
    assert context.store.calls == before


@then('"{account}" gets 404 for the job "{job_id}"')
def check_no_job(context, account, job_id):
    try:
        run(read_from, context, 0, account)
    except Refusal as refusal:
        assert refusal.status == 404
    else:
        raise AssertionError("the job was read")


async def read_body(context, account, number):
    reader = context.hosts["second"].reader
    return await reader.read_body(context.job_id, account, f"{context.job_id}-{number}")


@then('"{account}" gets the body of item {number:d}')
def check_body(context, account, number):
    assert run(read_body, context, account, number) == b"body %d" % number


@when('"{job_id}" is cancelled by its caller')
def cancel_job(context, job_id):
    mark = Operation(make_work_key(job_id, CANCELLED), b"-")
    run(context.store.transact, Transaction((), (mark,)))


@then('"{account}" gets 404 for the body of item {number:d}')
def check_no_body(context, account, number):
    try:
        run(read_body, context, account, number)
    except Refusal as refusal:
        assert refusal.status == 404
    else:
        raise AssertionError("the body was read")
