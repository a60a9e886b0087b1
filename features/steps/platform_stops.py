"""Steps of hosts that are about to stop."""

from behave import given, then, when

from features.builders.platform import PlatformDeployment
from features.builders.processes import wait_until

ROUTE_TIMEOUT_MS = 30_000
EVENTS = 4


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


@given("the store doesn't answer")
def silence_store(context):
    context.deployment.control("store", silent=True)


@given('a job of "desk" that nobody runs, submitted to "{host}"')
def submit_before(context, host):
    submit(context, host, ROUTE_TIMEOUT_MS)
    assert context.answer.status == 202, context.answer


@when('"desk" submits a job to "{host}" with {milliseconds:d} ms to wait')
def submit(context, host, milliseconds):
    items = [("j1-1", "/night/ask/1", EVENTS)]
    context.answer = context.deployment.submit(
        host, "j1", items, X_Deadline_Ms=milliseconds
    )


@when('"desk" reads the job at "{host}" with {milliseconds:d} ms to wait for results')
def read(context, host, milliseconds):
    context.answer = context.deployment.read_job(host, "j1", wait_ms=milliseconds)


@when('"desk" asks "{host}" for "{path}" with {milliseconds:d} ms to wait')
def ask(context, host, path, milliseconds):
    context.answer = context.deployment.ask(
        host, path, "r", EVENTS, X_Deadline_Ms=milliseconds
    )


@then("it is refused as not run, and may be sent again at once")
def check_refused(context):
    answer = context.answer
    assert answer.status == 503, answer
    assert float(answer.headers["retry-after"]) <= 0.1, answer.headers
