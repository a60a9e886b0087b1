"""Steps of endpoints that announce how many requests a second they take."""

import time

from behave import given, then, when

from features.builders import wait_until
from features.builders.platform.callers import Callers
from features.builders.platform.limits import allow_requests, find_most
from features.steps.platform_jobs import read_all, submit
from mangogauge.clock import SystemClock

EVENTS = 2
# Requests that are beyond all limits are refused well within a route's objective.
AT_ONCE_SECONDS = 0.5
REFUSED_STATUSES = frozenset({429, 503})


def read_elapsed():
    return SystemClock().read_elapsed()


@given('a caller at each host asks for "{path}" every {seconds:g} s')
def start_callers(context, path, seconds):
    context.callers = Callers(context.deployment, [path], EVENTS, seconds)
    context.add_cleanup(context.callers.stop)
    context.callers.wait_for_answers()


@given('"{names}" names the limit "{limit}"')
@when('"{names}" names the limit "{limit}"')
@when('each of "{names}" names the limit "{limit}"')
def name_limit(context, names, limit):
    context.limited = names.split(", ")
    context.named_at = read_elapsed()
    for name in context.limited:
        context.deployment.control(name, limit=limit)


@when('"{name}" names no limit any more')
def name_none(context, name):
    context.deployment.control(name, limit="")
    context.requests_before = len(list_times(context, name))


@when('"{name}" names the limit "{limit}" for {seconds:g} s')
@when('each of "{name}" names the limit "{limit}" for {seconds:g} s')
def name_limit_for(context, name, limit, seconds):
    name_limit(context, name, limit)
    time.sleep(seconds)
    context.seconds = seconds
    context.asked = [row for row in context.callers.rows if row.answer]


@when("callers go on for {seconds:g} s")
def go_on(context, seconds):
    time.sleep(seconds)
    context.asked = [row for row in context.callers.rows if row.answer]


def list_times(context, name):
    """Return when requests came to an endpoint."""
    return context.deployment.control(name)["request_times"]


@then("no endpoint got more in 4 s than the limit of {rate:g} allows")
def check_most(context, rate):
    for name in context.limited:
        most = find_most(list_times(context, name), context.named_at)
        assert most <= allow_requests(rate), (name, most, allow_requests(rate))


@then("each got at least {share:g} of the {rate:g} a second that it takes")
def check_least(context, share, rate):
    for name in context.limited:
        got = sum(t >= context.named_at for t in list_times(context, name))
        assert got >= share * rate * context.seconds, (name, got)


@then('"{name}" got more than the limit of {rate:g} allows')
def check_unlimited(context, name, rate):
    most = find_most(list_times(context, name), context.named_at)
    assert most > allow_requests(rate), (name, most)


@then('"{name}" soon gets {count:d} more requests')
def check_regained(context, name, count):
    wait_until(
        lambda: len(list_times(context, name)) >= context.requests_before + count,
        f"{name} gets requests again",
    )


@then("all that was asked was answered whole")
def check_whole(context):
    bad = [r for r in context.asked if r.answer.status != 200 or not r.answer.whole]
    assert not bad, (len(bad), bad[:3])


@then("what was not answered was refused at once, with a time to come back")
def check_refused(context):
    refused = [row for row in context.asked if row.answer.status != 200]
    assert refused
    for row in refused:
        assert row.answer.status in REFUSED_STATUSES, row
        assert row.seconds < AT_ONCE_SECONDS, row
        assert 0 < float(row.answer.headers["retry-after"]) < 5, row


@when('"{name}" starts again under its name, without a limit')
def restart(context, name):
    context.world.processes[name].kill()
    context.world.processes[name].start()
    context.deployment.write_entry(name, born=int(time.time() * 1000))
    context.requests_before = 0


@when('the host "{name}" starts beside them')
def start_host(context, name):
    context.deployment.start_host(name)


@when('"{account}" submits the job "{job}" of {count:d} items to "{host}", which ends')
def run_job(context, account, job, count, host):
    submit(context, account, job, count, EVENTS, host)
    assert len(read_all(context, host, job)) == count
    context.seconds = read_elapsed() - context.named_at
