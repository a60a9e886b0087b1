"""Steps of endpoints whose processes are stopped and go on."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders import wait_until
from features.builders.builds import find_build
from features.builders.platform import PlatformDeployment
from features.builders.platform.runs import RunRecord
from features.steps.platform import wait_until_in_force, wait_until_known

# Requests come from this long before endpoints stop until as long after they go on.
MARGIN_SECONDS = 0.6
REQUEST_GAP_SECONDS = 0.06
CHANGE_DELAY_SECONDS = 0.15
EVENTS = 30
ITEMS = 6
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
