"""Steps of jobs that their callers have cancelled."""

from urllib.parse import parse_qs, urlsplit

import curio
import orjson
from attrs import define
from behave import given, then, when
from returns.result import Failure

from mangogauge.clock import ManualClock, SystemClock
from mangogauge.daemon.storecopies import WAIT_SECONDS
from mangogauge.fleet import (
    FixedDelaySchedule,
    Follower,
)
from mangogauge.jobs import CancellationCheck, JobDirectory
from mangogauge.jobs.directory import JobEntry
from mangogauge.jobs.keys import CANCELLED, CLAIM, OPEN, WORK_PREFIX, make_work_key
from mangogauge.jobs.records import OpenJob
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


@given("the job was cancelled by its caller, and writes get no answer")
def cancel_job(context):
    job = context.job
    open_job = OpenJob(job.job_id, "desk", 0.0, len(job.items))
    entries = {OPEN: open_job.to_bytes(), CLAIM: CLAIMANT.encode(), CANCELLED: b"-"}
    context.job_directory.apply_snapshot(
        [KeyValue(make_work_key(job.job_id, kind), v) for kind, v in entries.items()]
    )
    context.runner.claimer._claims = UnansweredClaims()


@given("the job's progress is not written again for {seconds:g} s")
def postpone_writes(context, seconds):
    context.job.write_after = context.clock.read_elapsed() + seconds


def try_claim(context, host):
    context.host = context.hosts[host]
    return curio.run(context.host.claims.claim, context.entry).unwrap()


def write_entry(context, kind, value, lease=0):
    key = make_work_key(context.job_id, kind)
    operation = Operation(key, value, lease)
    curio.run(context.store.transact, Transaction((), (operation,)))


@given('a host that read the open jobs before "{job_id}" was cancelled')
def read_before_cancellation(context, job_id):
    context.entry = JobEntry(0.0)
    key = make_work_key(job_id, OPEN)
    found = curio.run(context.store.get, key).unwrap()
    context.entry.open_job = OpenJob.from_bytes(found.value)
    context.entry.open_revision = found.mod_revision
    write_entry(context, CANCELLED, b"-")


@given("its earlier claim took effect, but the answer was lost")
def write_claim(context):
    first = context.hosts["first"]
    lease = first.registration.lease.lease_id
    write_entry(context, CLAIM, first.claims.claimant.encode(), lease)


@then("it claims nothing")
def check_no_claim(context):
    assert try_claim(context, "first") is None


@when("it has read the cancellation")
def read_cancellation(context):
    context.entry.cancelled = True


@then('it claims "{job_id}"')
def check_claim(context, job_id):
    assert try_claim(context, "first").job_id == job_id


@then('the first host can\'t claim "{job_id}" again')
def check_not_reclaimed(context, job_id):
    host = context.hosts["first"]
    assert curio.run(host.claims.reclaim, host.job).unwrap() is False


@given("its record of cancellations was read {seconds:g} s ago")
def set_read_age(context, seconds):
    context.work_read_at = context.clock.read_elapsed() - seconds


@when("its record of cancellations is read again")
def mark_as_read(context):
    context.work_read_at = context.clock.read_elapsed()


@define
class ClaimedJob:
    """A job that a host has claimed."""

    job_id: str
    claimed_at: float


@given(
    "a host that read {read:g} s ago which jobs are cancelled,"
    " and claimed its job {claimed:g} s ago"
)
def make_host(context, read, claimed):
    clock = context.clock = ManualClock(elapsed=1000.0)
    context.job = ClaimedJob("j1", clock.read_elapsed() - claimed)
    context.cancellation = CancellationCheck(JobDirectory(clock), lambda: read, clock)


@then("items of its job {verdict} start")
def check_may_start(context, verdict):
    assert context.cancellation.may_start(context.job) is (verdict == "may")


class HangingTransport:
    """Answers each call to a store with no items; the first watch times out."""

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
        JobDirectory(clock),
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


@then("the reads had these timeouts")
def check_reads(context):
    expected = [
        (row["read"], float(row["waits"]) if row["waits"] else None, row["seconds"])
        for row in context.table
    ]
    found = [(n, w, f"{s:g}") for n, w, s in context.transport.calls]
    assert found[: len(expected)] == expected, found
