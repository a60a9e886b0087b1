"""Steps of hosts that are about to stop."""

import time

from behave import given, then, when

from features.builders.platform import PlatformDeployment
from features.builders.processes import wait_until

ROUTE_TIMEOUT_MS = 30_000
EVENTS = 4
BODY_BYTES = 100


@given(
    'the platform with {count:d} endpoints, and the host "{name}", '
    "which has {seconds:d} s to stop"
)
def start_deployment(context, count, name, seconds):
    deployment = context.deployment = PlatformDeployment(context.world)
    for route in deployment.routes:
        route["timeout_ms"] = ROUTE_TIMEOUT_MS
    deployment.write_configuration()
    for number in range(1, count + 1):
        deployment.start_endpoint(f"e{number}")
    deployment.start_host(name, stop_seconds=seconds)


@given('"{name}" is told to stop')
def stop(context, name):
    process = context.world.processes[name]
    process.terminate()
    wait_until(lambda: '"draining"' in process.read_log(), f"{name} drains")


@when('"desk" asks "{host}" for "{path}" with {milliseconds:d} ms to wait')
def ask(context, host, path, milliseconds):
    context.answer = context.deployment.ask(
        host, path, "r", EVENTS, X_Deadline_Ms=milliseconds
    )


@when('"desk" submits a job to "{host}" with {milliseconds:d} ms to wait')
def submit(context, host, milliseconds):
    items = [("i1", "/night/item", EVENTS)]
    context.answer = context.deployment.submit(
        host, "j1", items, X_Deadline_Ms=milliseconds
    )


@when(
    '"desk" submits a job to "{host}" with {milliseconds:d} ms to wait, '
    "and its body never comes"
)
def submit_without_body(context, host, milliseconds):
    context.asked_at = time.monotonic()
    context.answer = context.deployment.request(
        host,
        "POST",
        "/night/submit",
        "j1",
        Content_Length=BODY_BYTES,
        X_Deadline_Ms=milliseconds,
    )


@when(
    '"desk" submits a job to "{host}" with {milliseconds:d} ms to wait, '
    "and the store is silent"
)
def submit_without_store(context, host, milliseconds):
    context.deployment.control("store", silent=True)
    context.asked_at = time.monotonic()
    submit(context, host, milliseconds)


@when('"desk" reads "{job_id}" at "{host}" and asks to wait for {milliseconds:d} ms')
def read(context, job_id, host, milliseconds):
    context.asked_at = time.monotonic()
    context.answer = context.deployment.read_job(host, job_id, wait_ms=milliseconds)


@then("it is answered with {status:d} within {seconds:g} s")
def check_in_time(context, status, seconds):
    elapsed = time.monotonic() - context.asked_at
    assert elapsed < seconds, (elapsed, context.answer)
    assert context.answer.status == status, context.answer


@then("the job is accepted")
def check_accepted(context):
    assert context.answer.status == 202, context.answer


@then("it is refused as not run, and may be sent again at once")
def check_refused(context):
    answer = context.answer
    assert answer.status == 503, answer
    assert float(answer.headers["retry-after"]) <= 0.1, answer.headers
