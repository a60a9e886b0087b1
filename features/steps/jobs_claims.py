"""Steps of claims on jobs, and of what is committed under them."""

import curio
from behave import given, then, when
from returns.result import Success

from features.steps.jobs import LEASE_SECONDS, read_job_directory, run
from mangogauge.jobs import ItemState
from mangogauge.jobs.keys import make_results_prefix
from mangogauge.jobs.records import ItemResult

COMMIT_ATTEMPTS = 5
WRITE_SECONDS = 0.02


def claim(context, name, job_id):
    entry = next(
        e
        for e in read_job_directory(context).list_unclaimed()
        if e.open_job.job_id == job_id
    )
    host = context.hosts[name]
    host.job = run(host.claims.claim, entry).unwrap()
    return host.job


@when('the {name} host has claimed "{job_id}"')
@given('the {name} host has claimed "{job_id}"')
def claim_job(context, name, job_id):
    assert claim(context, name, job_id) is not None


@when('both hosts claim "{job_id}"')
def claim_both(context, job_id):
    entry = read_job_directory(context).list_unclaimed()[0]
    for host in context.hosts.values():
        host.job = run(host.claims.claim, entry).unwrap()


@then("exactly one of them has the claim")
def check_one_claim(context):
    jobs = [host.job for host in context.hosts.values() if host.job is not None]
    assert len(jobs) == 1


def commit(context, name, numbers):
    host = context.hosts[name]
    for number in numbers:
        finish(host.job, number)
    context.outcome = run(host.claims.commit, host.job, 1000.0)
    context.committing = name


@when("the {name} host commits the result of item {number:d}")
def commit_one(context, name, number):
    commit(context, name, [number])


@when("the {name} host commits the results of items {numbers}")
def commit_many(context, name, numbers):
    found = [int(n) for n in numbers.replace(" and ", ", ").split(", ")]
    commit(context, name, found)


def finish(job, number):
    item = job.items[f"{job.job_id}-{number}"]
    item.event_texts = [f"text {number}"]
    job.finish(item, ItemState.DONE)


@when(
    "the result of item {number:d} is committed by two calls at once, "
    "and item {other:d} ends meanwhile"
)
def commit_twice(context, number, other):
    host = context.hosts["first"]
    context.store.delay = WRITE_SECONDS
    finish(host.job, number)

    async def commit_both():
        calls = [
            await curio.spawn(host.claims.commit, host.job, 1000.0) for _ in range(2)
        ]
        await curio.sleep(WRITE_SECONDS / 2)
        finish(host.job, other)
        return [(await call.join()).unwrap() for call in calls]

    assert run(commit_both) == [True, True]
    context.store.delay = 0.0


@when("it commits again until the outcome is known")
def commit_again(context):
    host = context.hosts[context.committing]
    for _ in range(COMMIT_ATTEMPTS):
        if isinstance(context.outcome, Success):
            break
        context.outcome = run(host.claims.commit, host.job, 1000.0)
    assert context.outcome.unwrap()


@when("the late writes take effect")
def apply_late_writes(context):
    run(context.store.deliver_late)


@when('its lease lapses, and the second host claims "{job_id}"')
def lapse_and_claim(context, job_id):
    context.clock.advance(LEASE_SECONDS + 1)
    run(context.hosts["second"].registration._register)
    assert claim(context, "second", job_id) is not None


@when("its lease lapses, and it registers again")
def lapse_and_register(context):
    context.clock.advance(LEASE_SECONDS + 1)
    run(context.hosts["first"].registration._register)


@when('the first host claims "{job_id}" again')
def reclaim(context, job_id):
    host = context.hosts["first"]
    assert run(host.claims.reclaim, host.job).unwrap()


@then("the commit is rejected since the claim is lost")
def check_lost(context):
    assert context.outcome.unwrap() is False


@then("the second host has to run the items {first:d} and {second:d}")
def check_items(context, first, second):
    items = sorted(context.hosts["second"].job.items)
    assert items == [f"{context.job_id}-{n}" for n in (first, second)], items


def list_results(context):
    prefix = make_results_prefix(context.job_id)
    items = run(context.store.list_prefix, prefix).unwrap()
    groups = [ItemResult.decode_group(item.value) for item in items]
    return [result for group in groups for result in group]


@then("each result is stored once, in this order: {numbers}")
def check_results(context, numbers):
    expected = [f"{context.job_id}-{n}" for n in numbers.split(", ")]
    results = list_results(context)
    assert [r.item_id for r in results] == expected, results
    assert all(r.text == f"text {r.item_id[-1]}" for r in results)


@then('"{job_id}" is closed')
def check_closed(context, job_id):
    assert not read_job_directory(context).list_unclaimed()
    assert read_job_directory(context).get(job_id) is None


@when("item {number:d} fails {count:d} times at the {name} host")
def fail_item(context, number, count, name):
    job = context.hosts[name].job
    context.item = job.items[f"{job.job_id}-{number}"]
    context.item.failures = count


@then("item {number:d} is not run again before its failures are written")
def check_not_ready(context, number):
    job = context.item.job
    assert context.item not in job.list_ready(1e9)
    assert job.has_new_failures


@when("the {name} host writes the failures")
def write_failures(context, name):
    host = context.hosts[name]
    assert run(host.claims.write_failures, host.job).unwrap()
    assert context.item in host.job.list_ready(1e9)


@then("the second host has read that item {number:d} failed {count:d} times")
def check_failures(context, number, count):
    job = context.hosts["second"].job
    assert job.items[f"{job.job_id}-{number}"].failures == count


@when('{count:d} items of "{job_id}" get their results')
def commit_results(context, count, job_id):
    claim(context, "first", job_id)
    commit(context, "first", range(count))
