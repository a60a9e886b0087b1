"""Steps of requests that wait at a host for budget."""

import curio
from behave import given, then, when

from features.builders.fleet import make_account, make_route
from mangogauge.clock import ManualClock
from mangogauge.entry import RequestAdmission
from mangogauge.refusals import Refusal
from mangogauge.sharing import QuotaLine, SharedQuota
from mangogauge.telemetry.serving import ServingMetrics

# Budget of an account that has none is due within this time.
DUE_SECONDS = 0.06


@given("an account without budget, of which {rate:d} requests a second are admitted")
def make_admission(context, rate):
    context.clock, context.metrics = ManualClock(), ServingMetrics()
    context.account = make_account(rate=rate, burst=1.0)
    context.quota = SharedQuota(context.clock)
    context.line = QuotaLine(context.quota, lambda: (1.0, 1), context.clock)
    context.waits, context.reported = True, []
    while context.quota.admit(context.account, 1.0).admitted:
        pass
    context.used = context.quota.count_own()


@given("the host's settings turn the wait off")
def turn_off(context):
    context.waits = False


@when("a request with an objective of {objective:g} s comes")
def admit(context, objective):
    async def run():
        task = await curio.spawn(_admit, context, objective)
        await curio.sleep(0)
        context.clock.advance(DUE_SECONDS)
        return await task.join()

    context.refusal = curio.run(run)


@when("a request with an objective of {objective:g} s comes, whose caller leaves")
def admit_and_leave(context, objective):
    async def leave():
        task = await curio.spawn(_admit, context, objective)
        await curio.sleep(0)
        assert len(context.line) == 1
        await task.cancel()

    curio.run(leave)


async def _admit(context, objective):
    async def notify():
        context.reported.append(context.quota.count_own())

    admission = RequestAdmission(
        context.quota,
        context.line,
        notify,
        lambda: context.waits,
        context.clock,
        context.metrics,
    )
    route, now = make_route(objective=objective), context.clock.read_elapsed()
    try:
        await admission.admit(context.account, route, now, 5.0)
    except Refusal as refusal:
        return refusal


def _read(context, name, **labels):
    return context.metrics.registry.get_sample_value(f"mangogauge_{name}", labels)


@then("it is admitted after a wait")
def check_admitted(context):
    assert context.refusal is None and context.reported
    assert _read(context, "budget_waits_total", outcome="admitted") == 1


@then("nobody waits, and no budget was used")
def check_left(context):
    assert not len(context.line) and context.quota.count_own() == context.used
    assert _read(context, "budget_waits_total", outcome="left") == 1


@then("it is refused on arrival, with a time to retry")
def check_refused(context):
    assert context.refusal.retry_after > 0 and context.refusal.executed == "no"
    assert _read(context, "budget_refusals_total", at="arrival") == 1
