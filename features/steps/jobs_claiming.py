"""Steps of a runner that claims jobs while their entries change."""

import curio
from behave import given, then, when
from returns.result import Failure

from features.steps.jobs import LEASE_SECONDS, read_job_directory, run, submit_job
from mangogauge.fleet import FleetMember, FleetState, MemberDirectory
from mangogauge.jobs import JobRunner
from mangogauge.jobs.keys import CLAIM, make_work_key
from mangogauge.store import StoreUnavailableError, WatchEvent


class ClosingClaims:
    """Claims that fail, and whose jobs are closed meanwhile."""

    claimant = "first#1"

    def __init__(self):
        self.tried = 0

    async def claim(self, entry):
        self.tried += 1
        await curio.sleep(0)
        for other in self.entries:
            other.open_job = None
        return Failure(StoreUnavailableError("unavailable", step="claim"))


@given("a runner whose claims fail, and whose jobs are closed meanwhile")
def make_closing_runner(context):
    submit_job(context, "first", "j2", 2)
    job_directory = read_job_directory(context)
    claims = context.claims = ClosingClaims()
    claims.entries = job_directory.list_unclaimed()
    assert len(claims.entries) == 2
    context.runner = make_runner(context, job_directory, claims)


def make_runner(context, job_directory, claims):
    """Return a runner of which only the claiming is used."""
    own = FleetMember("first", "1", runs_batch=True)
    members = MemberDirectory(own, context.clock)
    state = FleetState(None, members, None)
    parts = [None] * 6
    return JobRunner(
        "first", state, job_directory, None, claims, *parts, context.clock, None
    )


@when("it looks for jobs to claim")
def claim_jobs(context):
    context.clock.advance(10)
    run(context.runner.claimer.claim_once)


@then("it continues without an error, and has claimed nothing")
def check_nothing_claimed(context):
    assert context.claims.tried == 1, context.claims.tried
    assert not context.runner.waiting


class LapsingClaims:
    """Claims of the first host, which lapse before the job has been read."""

    def __init__(self, context, job_directory):
        self._context = context
        self._job_directory = job_directory
        self._claims = context.hosts["first"].claims
        self.claimant = self._claims.claimant
        self.reclaim = self._claims.reclaim

    async def claim(self, entry):
        registration = self._context.hosts["first"].registration
        await registration._register()
        answer = await self._claims.claim(entry)
        self._context.clock.advance(LEASE_SECONDS + 1)
        await registration._register()
        key = make_work_key(entry.open_job.job_id, CLAIM)
        self._job_directory.apply_changes([WatchEvent(key, None, 0)])
        return answer


@given("a runner whose claim lapses while it reads the job")
def make_lapsing_runner(context):
    job_directory = read_job_directory(context)
    context.runner = make_runner(
        context, job_directory, LapsingClaims(context, job_directory)
    )


@when("it reconciles its claims")
def reconcile_claims(context):
    context.clock.advance(1)
    run(context.runner.claimer.reconcile)


@then("it has the claim, and items to run")
def check_claim(context):
    key = make_work_key(context.job_id, CLAIM)
    found = run(context.store.get, key).unwrap()
    assert found is not None, "nobody has the claim"
    assert found.value.decode() == context.hosts["first"].claims.claimant
    assert context.runner.waiting
