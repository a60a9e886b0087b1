"""Steps of batch jobs in the platform's store."""

import curio
import orjson
from attrs import define, field
from behave import given, then, when

from features.builders.fleet import make_route, make_submission
from features.builders.jobstore import TickingClock, UnreliableStore
from features.machines.stores import Fate
from mangogauge.fleet import (
    FleetMember,
    Registration,
    RequestSemantics,
)
from mangogauge.jobs import (
    JobAcceptance,
    JobDirectory,
    JobReader,
)
from mangogauge.jobs.claims import JobClaims
from mangogauge.jobs.keys import (
    WORK_PREFIX,
    make_waiting_key,
)
from mangogauge.refusals import Refusal
from mangogauge.store import StoreLimits

VALUE_BYTES = 100_000
TIMEOUT_SECONDS = 0.6
LEASE_SECONDS = 4.0


@define(eq=False)
class JobHost:
    """The parts of a host that batch jobs need."""

    acceptance = field()
    registration = field()
    claims = field()
    reader = field()
    job = field(default=None)


def run(function, *arguments):
    """Run an asynchronous function to its end."""
    return curio.run(function, *arguments)


@given("a store with history, and two hosts that accept jobs")
def make_hosts(context):
    clock = context.clock = TickingClock(calendar=1000.0)
    store = context.store = UnreliableStore(clock)
    context.route = make_route(
        "night", RequestSemantics.BATCH, due_after=18.0, waiting_token_limit=10_000
    )
    context.hosts = {}
    for name in ("first", "second"):
        member = FleetMember(name, "1", runs_batch=True)
        registration = Registration(store, member, clock, LEASE_SECONDS)
        run(registration._register)
        context.hosts[name] = JobHost(
            JobAcceptance(store, store, clock, StoreLimits(VALUE_BYTES)),
            registration,
            JobClaims(store, store, registration, f"{name}#1"),
            JobReader(store, store, clock),
        )


@given("the next write is {fate}")
def set_fate(context, fate):
    context.store.fates = [Fate(fate)]


@given("each of the next {count:d} writes is {fate}")
def set_fates(context, count, fate):
    context.store.fates = [Fate(fate)] * count


@given("the store of jobs is unavailable")
def make_unavailable(context):
    context.store.unavailable = True


@given("the route allows {tokens:d} waiting tokens")
def set_token_limit(context, tokens):
    context.route = make_route(
        "night", RequestSemantics.BATCH, due_after=18.0, waiting_token_limit=tokens
    )


async def accept(context, name, submission, account="desk"):
    host = context.hosts[name]
    try:
        await host.acceptance.accept(
            submission, context.route, account, TIMEOUT_SECONDS
        )
    except Refusal as refusal:
        return refusal
    return None


@when('the job "{job_id}" of {count:d} items is submitted to the {name} host')
def submit_job(context, name, job_id, count):
    submission = make_submission(job_id, count)
    context.refusal = run(accept, context, name, submission)


@when(
    'the job "{job_id}" of {count:d} items is submitted to the {name} host'
    ' by "{account}"'
)
def submit_job_of(context, name, job_id, count, account):
    submission = make_submission(job_id, count)
    context.refusal = run(accept, context, name, submission, account)


@when("a job of {count:d} items is submitted to each host at the same time")
def submit_together(context, count):
    context.refusals = run(_accept_both, context, count)


async def _accept_both(context, count):
    tasks = [
        await curio.spawn(accept, context, name, make_submission(name, count))
        for name in context.hosts
    ]
    return [await task.join() for task in tasks]


@then("it was accepted")
def check_accepted(context):
    assert context.refusal is None, context.refusal


@then("it was refused with {status:d}, and whether it was written is unknown")
def check_unknown(context, status):
    assert context.refusal.status == status
    assert context.refusal.executed == "unknown"


@then("it was refused with {status:d} and a retry delay")
def check_retry(context, status):
    assert context.refusal.status == status
    assert context.refusal.executed == "no"
    assert context.refusal.retry_after > 0


@then("it was refused with {status:d}")
def check_refused(context, status):
    assert context.refusal.status == status


@then("one was accepted and one was refused with {status:d}")
def check_one(context, status):
    found = sorted(r.status if r else 0 for r in context.refusals)
    assert found == [0, status], found


@then(
    "the store has 1 job with {count:d} items, "
    'and {tokens:d} tokens of "{account}" wait'
)
def check_job(context, count, tokens, account):
    job_directory = read_job_directory(context)
    entries = job_directory.list_unclaimed()
    assert [e.open_job.items for e in entries] == [count]
    key = make_waiting_key(account, context.route.name)
    waiting = orjson.loads(run(context.store.get, key).unwrap().value)
    assert sum(waiting.values()) == tokens, waiting


def read_job_directory(context):
    job_directory = JobDirectory(context.clock)
    job_directory.apply_snapshot(run(context.store.list_prefix, WORK_PREFIX).unwrap())
    return job_directory


@when('the job "{job_id}" of {count:d} items is open')
@given('the job "{job_id}" of {count:d} items is open')
def open_job(context, job_id, count):
    submit_job(context, "first", job_id, count)
    context.job_id = job_id
