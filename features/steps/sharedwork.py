"""Steps of runners that share the changes of open jobs."""

import random

import curio
from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.daemon.sharedwork import SharedWork
from mangogauge.fleet import FleetMember
from mangogauge.jobs import JobDirectory
from mangogauge.jobs.keys import CLAIM, OPEN, WORK_PREFIX, make_work_key
from mangogauge.jobs.records import OpenJob
from mangogauge.sharing import ReadBackoff, age_copies
from mangogauge.sharing.messages import decode
from mangogauge.store import MemoryStore, Operation, Transaction

POLL_SECONDS = 0.001
TOLERANCE_SECONDS = 0.001


class TwoRunners:
    """Stands in for `Neighbours` of a runner that hears another."""

    def __init__(self, other):
        self._other = other

    def list_reporting_runners(self):
        return [self._other]

    def list_runner_addresses(self):
        return [self._other]


class Runner:
    """A runner's copy of the open jobs, and what it has sent."""

    def __init__(self, name, other, store, clock):
        self.directory = JobDirectory(clock)
        self.reads, self.sent = 0, []
        self.work = SharedWork(
            store,
            WORK_PREFIX,
            self.directory,
            FleetMember(name, name),
            TwoRunners(other),
            self._ignore_read,
            self._send,
            ReadBackoff(clock, random.Random(1)),
            clock,
            self._count_read,
        )

    async def _ignore_read(self):
        pass

    async def _send(self, data, addresses):
        self.sent.append(data)

    def _count_read(self, prefix, outcome):
        self.reads += 1

    async def read(self):
        """Read once, and send the news."""
        before = self.reads
        task = await curio.spawn(self.work.follower.run)
        while self.reads == before:
            await curio.sleep(POLL_SECONDS)
        await curio.sleep(POLL_SECONDS)
        await task.cancel()


def write(context, key, value):
    transaction = Transaction((), (Operation(key, value),))
    curio.run(context.store.transact, transaction)


def open_job(context, job_id):
    job = OpenJob(job_id, "desk", 0.0, 1)
    write(context, make_work_key(job_id, OPEN), job.to_bytes())


def deliver(context, waited=0.0):
    """Deliver the news that the first runner has sent last."""
    (news,) = decode(context.first.sent[-1])
    curio.run(context.second.work.take, age_copies(news, waited))


def count_reads(context):
    return context.first.reads + context.second.reads - context.reads_before


@given("two runners that have read the open jobs")
def make_runners(context):
    context.clock = ManualClock(elapsed=100.0)
    context.store = MemoryStore(context.clock)
    context.first = Runner("r1", "r2", context.store, context.clock)
    context.second = Runner("r2", "r1", context.store, context.clock)
    for runner in (context.first, context.second):
        curio.run(runner.read)
    context.reads_before = context.first.reads + context.second.reads


@when('"{job_id}" is opened, and the first runner reads')
def read_first(context, job_id):
    lose_news(context, job_id)
    deliver(context)


@when('"{job_id}" is opened, and the first runner reads, but its news is lost')
def lose_news(context, job_id):
    open_job(context, job_id)
    curio.run(context.first.read)


@when(
    '"{job_id}" is opened, and the first runner reads, '
    "and its news waits for {seconds:g} s"
)
def delay_news(context, job_id, seconds):
    lose_news(context, job_id)
    context.clock.advance(seconds)
    deliver(context, seconds)


@when('"{job_id}" is opened, and the second runner reads')
def read_second(context, job_id):
    open_job(context, job_id)
    curio.run(context.second.read)


@when("the second runner reads")
def read_again(context):
    curio.run(context.second.read)


@when("the lost news arrives")
def deliver_lost(context):
    deliver(context)


@given('"{job_id}" is open and claimed, as both runners know')
def claim_job(context, job_id):
    write(context, make_work_key(job_id, CLAIM), b"r9#1")
    read_first(context, job_id)
    context.claimed = job_id


@when("no runner reads for {seconds:g} s, and the claim lapses")
def let_claim_lapse(context, seconds):
    context.clock.advance(seconds)
    write(context, make_work_key(context.claimed, CLAIM), None)


@then('the second runner knows "{jobs}" after {count:d} call in all')
@then('the second runner knows "{jobs}" after {count:d} calls in all')
def check_known(context, jobs, count):
    known = [e.open_job.job_id for e in context.second.directory.list_unclaimed()]
    assert sorted(known) == jobs.split(", "), known
    assert count_reads(context) == count, count_reads(context)


@then('the second runner knows "" after {count:d} calls in all')
def check_nothing_known(context, count):
    assert not context.second.directory.list_unclaimed()
    assert count_reads(context) == count, count_reads(context)


@then("the second runner has to read at once")
def check_due(context):
    work = context.second.work
    assert work._freshness.measure_wait(WORK_PREFIX) == 0


@then("its copy is at least {seconds:g} s old")
def check_age(context, seconds):
    age = context.second.work.measure_age()
    assert age >= seconds - TOLERANCE_SECONDS, age


@then('"{job_id}" is still reserved for its host at the second runner')
def check_reserved(context, job_id):
    entry = context.second.directory.get(job_id)
    assert not entry.claimant
    assert context.second.directory.is_in_grace_period(entry)
