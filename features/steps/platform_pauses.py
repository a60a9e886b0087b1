"""Steps of endpoints whose processes are stopped and go on."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders import wait_until
from features.builders.builds import find_build
from features.builders.platform import PlatformDeployment
from features.builders.platform.runs import RunRecord
from features.steps.platform import wait_until_in_force, wait_until_known
from features.steps.platform_jobs import read_all

# Requests come from this long before endpoints stop until as long after they go on.
MARGIN_SECONDS = 0.6
REQUEST_GAP_SECONDS = 0.06
CHANGE_DELAY_SECONDS = 0.15
EVENTS = 30
JOB_ITEMS = 8
ITEM_EVENTS = 60
BURST_REQUESTS = 12
BURST_GAP_SECONDS = 0.2
BURST_EVENTS = 3
# Items fill the endpoints meanwhile; and so long after the first burst these stop.
FILL_SECONDS = 1.0
FIRST_BURST_SECONDS = 0.25
WIDTH = 96
PATHS = ("/ask/", "/note/", "/ask/", "/note/", "/safe/")
SHORT_TIMEOUT_MS = 3000
SHORT_IDLE_MS = 400


@given(
    "the platform with {count:d} endpoints that notice a closed connection {notices}, "
    'and the hosts "{names}"'
)
def start_pausable(context, count, notices, names):
    # The build that MANGOGAUGE_OTHER_BUILD names, or this one.
    context.world.build = find_build("old")
    deployment = context.deployment = PlatformDeployment(context.world)
    deployment.services.append("spare")
    deployment.write_configuration()
    context.journals = [
        deployment.start_pausable(f"e{n}", notices) for n in range(1, count + 1)
    ]
    context.journals.append(
        deployment.start_pausable("spare", notices, service="spare")
    )
    context.pausable = [f"e{n}" for n in range(1, count + 1)]
    for name in names.split(", "):
        deployment.start_host(name)
    for endpoint in [*context.pausable, "spare"]:
        wait_until_known(context, endpoint)


def change_nothing(deployment):
    return


def change_idle_time(deployment):
    deployment.limits["idle_timeout_ms"] = SHORT_IDLE_MS
    deployment.write_configuration()


def shorten_routes(deployment):
    for route in deployment.routes:
        route["timeout_ms"] = SHORT_TIMEOUT_MS
    deployment.write_configuration()


def move_routes(deployment):
    for route in deployment.routes:
        if route["name"] in ("ask", "note"):
            route["service"] = "spare"
    deployment.write_configuration()


CHANGES = {
    "nothing": change_nothing,
    "the idle time": change_idle_time,
    "the routes' time-out": shorten_routes,
    "the routes' service": move_routes,
}


@when(
    "requests come while {count:d} endpoints are stopped for {seconds:g} s "
    "and {what} changes"
)
def run_storm(context, count, seconds, what):
    started = time.monotonic()
    with ThreadPoolExecutor(WIDTH) as pool:
        sent = send_requests(context, pool, started, seconds + 2 * MARGIN_SECONDS)
        time.sleep(max(0.0, started + MARGIN_SECONDS - time.monotonic()))
        stop_endpoints(context, count)
        time.sleep(CHANGE_DELAY_SECONDS)
        CHANGES[what](context.deployment)
        time.sleep(seconds - CHANGE_DELAY_SECONDS)
        resume_endpoints(context)
        context.answers = {key: answer.result() for key, answer in sent.items()}
    wait_until_in_force(context)
    wait_until(lambda: RunRecord(context.journals).are_ended, "all runs have ended")
    context.record = RunRecord(context.journals)


@when(
    "{count:d} jobs run, and bursts of requests come while {stopped:d} endpoints "
    "are stopped for {seconds:g} s"
)
def run_bursts(context, count, stopped, seconds):
    deployment = context.deployment
    jobs = [f"j{number}" for number in range(count)]
    for job in jobs:
        items = [(f"{job}-{n}", f"/night/{n}", ITEM_EVENTS) for n in range(JOB_ITEMS)]
        assert deployment.submit("h1", job, items).status == 202, job
    wait_until(lambda: RunRecord(context.journals).runs, "items run")
    time.sleep(FILL_SECONDS)
    started = time.monotonic()

    def ask(number, request_id):
        at = started + number // BURST_REQUESTS * BURST_GAP_SECONDS
        time.sleep(max(0.0, at - time.monotonic()))
        host = ("h1", "h2")[number % 2]
        path = PATHS[number % len(PATHS)] + str(number)
        return deployment.ask(host, path, request_id, BURST_EVENTS)

    numbers = range(int((seconds + 1) / BURST_GAP_SECONDS) * BURST_REQUESTS)
    with ThreadPoolExecutor(WIDTH) as pool:
        sent = {f"q{n}": pool.submit(ask, n, f"q{n}") for n in numbers}
        time.sleep(FIRST_BURST_SECONDS)
        stop_endpoints(context, stopped)
        time.sleep(seconds)
        resume_endpoints(context)
        context.answers = {key: answer.result() for key, answer in sent.items()}
    for job in jobs:
        found = sorted(row["id"] for row in read_all(context, "h1", job))
        assert found == sorted(f"{job}-{n}" for n in range(JOB_ITEMS)), found
    wait_until(lambda: RunRecord(context.journals).are_ended, "all runs have ended")
    context.record = RunRecord(context.journals)
    log = context.world.processes["r1"].read_log()
    assert log.count("item gives way") > 0, "no item gave way"


def send_requests(context, pool, started, seconds):
    """Have requests sent over a time; return futures of their answers by id."""
    hosts = [name for name in context.deployment.hosts if name.startswith("h")]

    def ask(number, request_id):
        at = started + number * REQUEST_GAP_SECONDS
        time.sleep(max(0.0, at - time.monotonic()))
        path = PATHS[number % len(PATHS)] + str(number)
        host = hosts[number // len(PATHS) % len(hosts)]
        return context.deployment.ask(host, path, request_id, EVENTS)

    numbers = range(int(seconds / REQUEST_GAP_SECONDS))
    return {f"q{n}": pool.submit(ask, n, f"q{n}") for n in numbers}


def stop_endpoints(context, count):
    context.stopped = context.pausable[:count]
    for name in context.stopped:
        context.world.processes[name].pause()


def resume_endpoints(context):
    for name in context.stopped:
        context.world.processes[name].resume()


@then("no request that may run once ran twice")
def check_once(context):
    assert any(run.path.startswith("/ask/") for run in context.record.runs)
    repeated = context.record.list_repeated("/ask/")
    assert not repeated, [context.record.list_runs(key) for key in repeated]


@then("none that ran was answered as if it would not")
def check_promises(context):
    broken = context.record.list_broken_promises(context.answers, "/ask/")
    assert not broken, [(key, context.answers[key]) for key in broken]


@then("no endpoint worked on what had gone on elsewhere")
def check_overlaps(context):
    overlaps = context.record.list_overlaps()
    assert not overlaps, describe_overlaps(overlaps)


def describe_overlaps(overlaps):
    """Return lines that tell what each endpoint did with a request, and when."""
    lines = []
    for before, after in overlaps:
        work = [at for _, at in before.events if at > after.begun_at]
        lines.append(
            f"{before.request_id} {before.path}: {after.endpoint} began at "
            f"{after.begun_at:.3f}; {before.endpoint} began "
            f"{before.begun_at - after.begun_at:+.3f} s, ended "
            f"{before.ended_at - after.begun_at:+.3f} s, {len(work)} events since"
        )
    return "\n".join(lines)
