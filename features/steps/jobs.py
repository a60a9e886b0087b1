"""Steps of batch jobs in the platform's store."""

import curio
import orjson
from attrs import define, field
from behave import given, then, when
from returns.result import Failure, Success

from features.builders.fleet import make_route, make_submission
from features.builders.jobstore import AwayStore, TickingClock
from features.machines.stores import Fate
from mangogauge.fleet import (
    FleetMember,
    FleetState,
    MemberDirectory,
    Registration,
    RouteNature,
)
from mangogauge.jobs import (
    ItemState,
    JobAcceptance,
    JobReader,
    JobRunner,
    WorkBoard,
)
from mangogauge.jobs.claims import JobClaims
from mangogauge.jobs.keys import (
    CLAIM,
    WORK_PREFIX,
    make_results_prefix,
    make_waiting_key,
    make_work_key,
)
from mangogauge.jobs.records import ItemResult
from mangogauge.refusals import Refusal
from mangogauge.store import StoreUnavailableError, WatchEvent

VALUE_BYTES = 100_000
PATIENCE_SECONDS = 0.6
LEASE_SECONDS = 4.0
SETTLE_TRIES = 5


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


@given("a store with history, and two hosts that take jobs")
def make_hosts(context):
    clock = context.clock = TickingClock(calendar=1000.0)
    store = context.store = AwayStore(clock)
    context.route = make_route(
        "night", RouteNature.BATCH, due=18.0, waiting_token_limit=10_000
    )
    context.hosts = {}
    for name in ("first", "second"):
        member = FleetMember(name, "1", runs_batch=True)
        registration = Registration(store, member, clock, LEASE_SECONDS)
        run(registration._register)
        context.hosts[name] = JobHost(
            JobAcceptance(store, store, clock, VALUE_BYTES),
            registration,
            JobClaims(store, store, registration, f"{name}#1"),
            JobReader(store, store, clock),
        )


@given("the next write is {fate}")
def set_fate(context, fate):
    context.store.fates = [Fate(fate)]


@given("the next {count:d} writes are {fate}")
def set_fates(context, count, fate):
    context.store.fates = [Fate(fate)] * count


@given("the store of jobs is away")
def set_away(context):
    context.store.away = True


@given("the route lets {tokens:d} tokens wait")
def set_limit(context, tokens):
    context.route = make_route(
        "night", RouteNature.BATCH, due=18.0, waiting_token_limit=tokens
    )


async def accept(context, name, submission, account="desk"):
    host = context.hosts[name]
    try:
        await host.acceptance.accept(
            submission, context.route, account, PATIENCE_SECONDS
        )
    except Refusal as refusal:
        return refusal
    return None


@when('the {name} host takes the job "{job_id}" of {count:d} items')
def take_job(context, name, job_id, count):
    submission = make_submission(job_id, count)
    context.refusal = run(accept, context, name, submission)


@when('the {name} host takes the job "{job_id}" of {count:d} items from "{account}"')
def take_job_of(context, name, job_id, count, account):
    submission = make_submission(job_id, count)
    context.refusal = run(accept, context, name, submission, account)


@when("both hosts take a job of {count:d} items at the same time")
def take_jobs_together(context, count):
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


@then("it was refused by {status:d}, which promises nothing")
def check_unknown(context, status):
    assert context.refusal.status == status
    assert context.refusal.executed == "unknown"


@then("it was refused by {status:d}, with when to come back")
def check_retry(context, status):
    assert context.refusal.status == status
    assert context.refusal.executed == "no"
    assert context.refusal.retry_after > 0


@then("it was refused by {status:d}")
def check_refused(context, status):
    assert context.refusal.status == status


@then("one was accepted and one was refused by {status:d}")
def check_one(context, status):
    found = sorted(r.status if r else 0 for r in context.refusals)
    assert found == [0, status], found


@then(
    "the store has 1 job with {count:d} items, "
    'and {tokens:d} tokens of "{account}" wait'
)
def check_job(context, count, tokens, account):
    board = read_work(context)
    entries = board.list_unclaimed()
    assert [e.opened.items for e in entries] == [count]
    key = make_waiting_key(account, context.route.name)
    waiting = orjson.loads(run(context.store.get, key).unwrap().value)
    assert sum(waiting.values()) == tokens, waiting


def read_work(context):
    board = WorkBoard(context.clock)
    board.take_snapshot(run(context.store.list_prefix, WORK_PREFIX).unwrap())
    return board


@when('{count:d} items of "{job_id}" get their results')
def get_results(context, count, job_id):
    claim(context, "first", job_id)
    commit(context, "first", range(count))


@when('the job "{job_id}" of {count:d} items is open')
@given('the job "{job_id}" of {count:d} items is open')
def open_job(context, job_id, count):
    take_job(context, "first", job_id, count)
    context.job_id = job_id


def claim(context, name, job_id):
    entry = next(
        e for e in read_work(context).list_unclaimed() if e.opened.job_id == job_id
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
    entry = read_work(context).list_unclaimed()[0]
    for host in context.hosts.values():
        host.job = run(host.claims.claim, entry).unwrap()


@then("exactly one of them has it")
def check_one_claim(context):
    jobs = [host.job for host in context.hosts.values() if host.job is not None]
    assert len(jobs) == 1


def commit(context, name, numbers):
    host = context.hosts[name]
    for number in numbers:
        item = host.job.items[f"{host.job.job_id}-{number}"]
        item.pieces = [f"text {number}"]
        host.job.finish(item, ItemState.DONE)
    context.outcome = run(host.claims.commit, host.job, 1000.0)
    context.committing = name


@when("the {name} host commits the result of item {number:d}")
def commit_one(context, name, number):
    commit(context, name, [number])


@when("the {name} host commits the results of items {numbers}")
def commit_many(context, name, numbers):
    found = [int(n) for n in numbers.replace(" and ", ", ").split(", ")]
    commit(context, name, found)


@when("it commits again until it is settled")
def commit_again(context):
    host = context.hosts[context.committing]
    for _ in range(SETTLE_TRIES):
        if isinstance(context.outcome, Success):
            break
        context.outcome = run(host.claims.commit, host.job, 1000.0)
    assert context.outcome.unwrap()


@when("the writes under way take effect")
def deliver(context):
    run(context.store.deliver_late)


@when('its lease lapses, and the second host claims "{job_id}"')
def lapse_and_take(context, job_id):
    context.clock.advance(LEASE_SECONDS + 1)
    run(context.hosts["second"].registration._register)
    assert claim(context, "second", job_id) is not None


@when("its lease lapses, and it registers again")
def lapse_and_register(context):
    context.clock.advance(LEASE_SECONDS + 1)
    run(context.hosts["first"].registration._register)


@when('the first host claims "{job_id}" again')
def renew(context, job_id):
    host = context.hosts["first"]
    assert run(host.claims.renew, host.job).unwrap()


@then("it is told that its claim is lost")
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


@then("the results stand once each, in this order: {numbers}")
def check_results(context, numbers):
    expected = [f"{context.job_id}-{n}" for n in numbers.split(", ")]
    results = list_results(context)
    assert [r.item_id for r in results] == expected, results
    assert all(r.text == f"text {r.item_id[-1]}" for r in results)


@then('"{job_id}" is closed')
def check_closed(context, job_id):
    assert not read_work(context).list_unclaimed()
    assert read_work(context).get(job_id) is None


@when("item {number:d} fails {count:d} times at the {name} host")
def fail_item(context, number, count, name):
    job = context.hosts[name].job
    context.item = job.items[f"{job.job_id}-{number}"]
    context.item.failures = count


@then("item {number:d} is not run again before that is written")
def check_held(context, number):
    job = context.item.job
    assert context.item not in job.list_ready(1e9)
    assert job.has_news


@when("the {name} host writes the failures")
def write_failures(context, name):
    host = context.hosts[name]
    assert run(host.claims.write_failures, host.job).unwrap()
    assert context.item in host.job.list_ready(1e9)


@then("the second host knows that item {number:d} has failed {count:d} times")
def check_failures(context, number, count):
    job = context.hosts["second"].job
    assert job.items[f"{job.job_id}-{number}"].failures == count


class ClosingClaims:
    """Claims that fail, and whose jobs are closed meanwhile."""

    claimant = "first#1"

    def __init__(self):
        self.tried = 0

    async def claim(self, entry):
        self.tried += 1
        await curio.sleep(0)
        for other in self.entries:
            other.opened = None
        return Failure(StoreUnavailableError("away", step="claim"))


@given("a runner whose claims fail, each after the job's entry is closed")
def make_closing_runner(context):
    take_job(context, "first", "j2", 2)
    board = read_work(context)
    claims = context.claims = ClosingClaims()
    claims.entries = board.list_unclaimed()
    assert len(claims.entries) == 2
    context.runner = make_runner(context, board, claims)


def make_runner(context, board, claims):
    """Return a runner of which only the claiming is used."""
    own = FleetMember("first", "1", runs_batch=True)
    members = MemberDirectory(own, context.clock)
    state = FleetState(None, members, None)
    parts = [None] * 5
    return JobRunner("first", state, board, None, claims, *parts, context.clock, None)


@when("it looks for jobs to claim")
def look_for_jobs(context):
    context.clock.advance(10)
    run(context.runner.holder.claim_once)


@then("it goes on, and has claimed nothing")
def check_nothing_claimed(context):
    assert context.claims.tried == 1, context.claims.tried
    assert not context.runner.waiting


class LapsingClaims:
    """Claims of the first host, which lapse before the job has been read."""

    def __init__(self, context, board):
        self._context = context
        self._board = board
        self._claims = context.hosts["first"].claims
        self.claimant = self._claims.claimant
        self.renew = self._claims.renew

    async def claim(self, entry):
        registration = self._context.hosts["first"].registration
        await registration._register()
        answer = await self._claims.claim(entry)
        self._context.clock.advance(LEASE_SECONDS + 1)
        await registration._register()
        key = make_work_key(entry.opened.job_id, CLAIM)
        self._board.take_changes([WatchEvent(key, None, 0)])
        return answer


@given("a runner whose claim lapses while it reads the job")
def make_lapsing_runner(context):
    board = read_work(context)
    context.runner = make_runner(context, board, LapsingClaims(context, board))


@when("it looks at what has become of its claims")
def look_at_claims(context):
    context.clock.advance(1)
    run(context.runner.holder.check)


@then("it has the claim, and items to run")
def check_claim(context):
    key = make_work_key(context.job_id, CLAIM)
    found = run(context.store.get, key).unwrap()
    assert found is not None, "nobody has the claim"
    assert found.value.decode() == context.hosts["first"].claims.claimant
    assert context.runner.waiting
