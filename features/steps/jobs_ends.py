"""Steps of jobs that their callers have ended."""

from urllib.parse import parse_qs, urlsplit

import curio
import orjson
from attrs import define
from behave import given, then, when
from returns.result import Failure

from mangogauge.clock import ManualClock, SystemClock
from mangogauge.daemon.fleetview import WAIT_SECONDS
from mangogauge.fleet import (
    FixedDelaySchedule,
    Follower,
)
from mangogauge.jobs import EndWatch, WorkBoard
from mangogauge.jobs.keys import CLAIM, ENDED, OPEN, WORK_PREFIX, make_work_key
from mangogauge.jobs.records import OpenJob
from mangogauge.jobs.work import WorkEntry
from mangogauge.platform import PlatformStore
from mangogauge.store import (
    KeyValue,
    Operation,
    StoreAnswer,
    StoreLostAnswerError,
    Transaction,
)

CLAIMANT = "own#1"
PAUSE_SECONDS = 0.02


class UnansweredClaims:
    """Claims of a host whose writes get no answer."""

    claimant = CLAIMANT

    async def close(self, job, now):
        return Failure(StoreLostAnswerError("lost", step="close"))


@given("the job was ended by its caller, and writes get no answer")
def end_job(context):
    job = context.job
    opened = OpenJob(job.job_id, "desk", 0.0, len(job.items))
    entries = {OPEN: opened.to_bytes(), CLAIM: CLAIMANT.encode(), ENDED: b"-"}
    context.work.apply_snapshot(
        [KeyValue(make_work_key(job.job_id, kind), v) for kind, v in entries.items()]
    )
    context.runner.holder._claims = UnansweredClaims()


@given("the job's progress is not written again for {seconds:g} s")
def hold_writes(context, seconds):
    context.job.write_after = context.clock.read_elapsed() + seconds


def try_claim(context, host):
    context.host = context.hosts[host]
    return curio.run(context.host.claims.claim, context.entry).unwrap()


def write(context, kind, value, lease=0):
    key = make_work_key(context.job_id, kind)
    operation = Operation(key, value, lease)
    curio.run(context.store.transact, Transaction((), (operation,)))


@given('a host that read the open jobs before "{job_id}" was ended')
def read_before_end(context, job_id):
    context.entry = WorkEntry(0.0)
    key = make_work_key(job_id, OPEN)
    found = curio.run(context.store.get, key).unwrap()
    context.entry.opened = OpenJob.from_bytes(found.value)
    context.entry.open_revision = found.mod_revision
    write(context, ENDED, b"-")


@given("its claim had taken effect before, and it was not told")
def write_claim(context):
    first = context.hosts["first"]
    lease = first.registration.lease.lease_id
    write(context, CLAIM, first.claims.claimant.encode(), lease)


@then("it claims nothing")
def check_no_claim(context):
    assert try_claim(context, "first") is None


@when("it has read of the end")
def learn_end(context):
    context.entry.ended = True


@then('it claims "{job_id}"')
def check_claim(context, job_id):
    assert try_claim(context, "first").job_id == job_id


@then('the first host can\'t claim "{job_id}" again')
def check_no_renewal(context, job_id):
    host = context.hosts["first"]
    assert curio.run(host.claims.renew, host.job).unwrap() is False


@given("what it knows of the jobs' ends was read {seconds:g} s ago")
def age_work(context, seconds):
    context.work_asked_at = context.clock.read_elapsed() - seconds


@when("what it knows of the jobs' ends is read again")
def read_work(context):
    context.work_asked_at = context.clock.read_elapsed()


@define
class ClaimedJob:
    """A job that a host has claimed."""

    job_id: str
    claimed_at: float


@given(
    "a host that read {read:g} s ago which jobs are ended,"
    " and claimed its own {claimed:g} s ago"
)
def make_host(context, read, claimed):
    clock = context.clock = ManualClock(elapsed=1000.0)
    context.job = ClaimedJob("j1", clock.read_elapsed() - claimed)
    context.ends = EndWatch(WorkBoard(clock), lambda: read, clock)


@then("items of its job {verdict} start")
def check_may_start(context, verdict):
    assert context.ends.may_start(context.job) is (verdict == "may")


class HangingTransport:
    """Answers every call of a store without items, but the first watch."""

    def __init__(self):
        self.calls = []

    async def request(self, method, target, body, seconds):
        url = urlsplit(target)
        name = url.path.removeprefix("/api/kv-")
        waits = parse_qs(url.query).get("wait_ms")
        self.calls.append((name, int(waits[0]) / 1000 if waits else None, seconds))
        if [call[0] for call in self.calls] == ["range", "watch"]:
            raise curio.TaskTimeout(seconds)
        answer = {"items": [], "truncated": False, "events": [], "as_of": 7}
        return StoreAnswer(200, orjson.dumps(answer))


@given("a follower of open jobs whose first watch at the store gets no answer")
def make_follower(context):
    clock = SystemClock()
    context.transport = HangingTransport()
    context.follower = Follower(
        PlatformStore(context.transport),
        WORK_PREFIX,
        WorkBoard(clock),
        FixedDelaySchedule(PAUSE_SECONDS),
        clock,
        WAIT_SECONDS,
    )


async def follow(context, count):
    task = await curio.spawn(context.follower.run)
    while len(context.transport.calls) < count:
        await curio.sleep(PAUSE_SECONDS)
    await task.cancel()


@when("it has read {count:d} times")
def read_often(context, count):
    curio.run(follow, context, count)


@then("it allowed these reads so many seconds")
def check_reads(context):
    expected = [
        (row["read"], float(row["waits"]) if row["waits"] else None, row["seconds"])
        for row in context.table
    ]
    found = [(n, w, f"{s:g}") for n, w, s in context.transport.calls]
    assert found[: len(expected)] == expected, found
