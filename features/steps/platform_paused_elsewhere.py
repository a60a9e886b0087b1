"""Steps of batch jobs while the store, a relaying host or an endpoint is paused."""

import threading
import time

from behave import given, then, when

from features.builders.platform import PlatformDeployment
from features.builders.processes import wait_until
from features.steps.platform_detour import start_linked_host
from features.steps.platform_jobs import submit

PROXY = "proxy"
ITEM_EVENTS = 10


@given(
    'the platform with {count:d} endpoints, and the host "{name}" '
    "behind a link to the store"
)
def start_deployment(context, count, name):
    context.deployment = PlatformDeployment(context.world)
    context.deployment.write_configuration()
    for number in range(1, count + 1):
        context.deployment.start_endpoint(f"e{number}")
    start_linked_host(context, name)


@given(
    '"{account}" has submitted the job "{job_id}" of {count:d} items to "{host}", '
    "and read it there"
)
def submit_and_read(context, account, job_id, count, host):
    submit(context, account, job_id, count, ITEM_EVENTS, host)
    answer = context.deployment.read_job(host, job_id)
    assert answer.status == 200, answer


def call_paused(context, process, *arguments, **options):
    """Pause a process, and send a request that it holds up, without waiting."""
    process.pause()
    context.paused = process
    context.calling = threading.Thread(target=_call, args=(context, arguments, options))
    context.calling.start()


def _call(context, arguments, options):
    method, *rest = arguments
    context.answer = getattr(context.deployment, method)(*rest, **options)


def make_items(job_id, count):
    return [(f"{job_id}-{n}", f"/night/{n}", ITEM_EVENTS) for n in range(count)]


@when('the store is paused, and "{account}" ends "{job_id}" at "{host}"')
def end_at_paused_store(context, account, job_id, host):
    call_paused(
        context,
        context.world.processes["store"],
        "request",
        host,
        "DELETE",
        f"/api/lots/{job_id}",
        key=f"{account}-key",
    )


@when(
    'the store is paused, and "{account}" submits the job "{job_id}" '
    'of {count:d} items to "{host}"'
)
def submit_at_paused_store(context, account, job_id, count, host):
    submit_paused(context, "store", account, job_id, count, host)


@when(
    'the host "{name}" is paused, and "{account}" submits the job "{job_id}" '
    'of {count:d} items to "{host}"'
)
def submit_paused(context, name, account, job_id, count, host):
    call_paused(
        context,
        context.world.processes[name],
        "submit",
        host,
        job_id,
        make_items(job_id, count),
        key=f"{account}-key",
    )


@when(
    "the link to the store breaks after {seconds:g} s, "
    "and the store wakes after the answer"
)
def break_link(context, seconds):
    time.sleep(seconds)
    context.world.processes[PROXY].kill()
    wake(context)


@when('"{name}" wakes after the answer')
def wake_host(context, name):
    wake(context)


def wake(context):
    context.calling.join()
    context.paused.resume()


@given("all hosts know each other")
def wait_until_acquainted(context):
    context.deployment.wait_until_acquainted()


@when('the link of "{name}" to the store breaks, and "{name}" goes by way of "{other}"')
def detour(context, name, other):
    context.world.processes[PROXY].kill()
    log = context.world.processes[name]
    wait_until(lambda: "way to the store" in log.read_log(), f"{name} goes another way")
    wait_until(
        lambda: context.deployment.read_job(name, "none").status == 404,
        f"{name} reaches the store by way of {other}",
    )


@when('"{name}" is paused with items for {seconds:g} s')
def pause_endpoint(context, name, seconds):
    wait_until(
        lambda: context.deployment.control(name)["arrivals"], f"{name} has items"
    )
    process = context.world.processes[name]
    process.pause()
    time.sleep(seconds)
    process.resume()


@then('the end of "{job_id}" is written')
def check_end(context, job_id):
    check_written(context, f"work/{job_id}/ended")


@then('the job "{job_id}" is written')
def check_job(context, job_id):
    check_written(context, f"jobs/{job_id}/manifest")


def check_written(context, key):
    wait_until(
        lambda: key in context.deployment.read_store(),
        f"{key} is written, {context.answer}",
    )
