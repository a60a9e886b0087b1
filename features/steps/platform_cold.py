"""Steps of cold endpoints, with real hosts."""

import subprocess
import sys
import time

from behave import given, then, when

from features.builders import wait_until
from features.builders.cold import count_most
from features.builders.platform import PlatformDeployment
from mangogauge.clock import SystemClock

BOUNDS = {"bounds.cold_over": "1.5", "bounds.cold_slack": "5"}
REFUSED_STATUSES = frozenset({429, 503})


def read_elapsed():
    return SystemClock().read_elapsed()


def start_deployment(context, count, seconds, rate, bounds):
    deployment = context.deployment = PlatformDeployment(context.world)
    context.cold_seconds = seconds
    deployment.service_fields = {"cold_s": seconds, "cold_per_s": rate}
    deployment.bounds = bounds
    deployment.write_configuration()
    for number in range(1, count + 1):
        deployment.start_endpoint(f"e{number}")


def start_hosts(context, names):
    for name in names.split(", "):
        context.deployment.start_host(name, ready=False)
    for name in names.split(", "):
        context.deployment.wait_until_ready(name)


@given(
    "the platform with {count:d} endpoints that are cold for {seconds:g} s at {rate:g} "
    'a second, and the hosts "{names}"'
)
def start_with_bounds(context, count, seconds, rate, names):
    start_deployment(context, count, seconds, rate, BOUNDS)
    start_hosts(context, names)


@given(
    "the platform with {count:d} endpoints that are cold for {seconds:g} s at {rate:g} "
    'a second, and the hosts "{names}" without bounds'
)
def start_without_bounds(context, count, seconds, rate, names):
    start_deployment(context, count, seconds, rate, {})
    start_hosts(context, names)


@when('the entries of "{names}" say that they are cold for {seconds:g} s')
def write_cold(context, names, seconds):
    deployment = context.deployment
    context.cold_seconds, context.written_at = seconds, read_elapsed()
    for name in names.split(", "):
        deployment.write_entry(name, cold_left_ms=round(seconds * 1000), seq=2)
    context.requests_before = len(deployment.control("e1")["request_times"])


@when('"{name}" starts again under its name and writes its entry')
def restart(context, name):
    process = context.world.processes[name]
    process.kill()
    process.start()
    context.written_at = read_elapsed()
    context.deployment.write_entry(name, born=int(time.time() * 1000))


def list_lines(context, host, message):
    lines = context.world.processes[host].read_log().splitlines()
    return [line for line in lines if f'"message": "{message}"' in line]


def wait_for_lines(context, message, names):
    """Wait until each host has a line on each endpoint."""
    marks = [f'"endpoint": "{name}"' for name in names.split(", ")]

    def is_logged(host):
        lines = list_lines(context, host, message)
        return all(any(mark in line for line in lines) for mark in marks)

    for host in context.deployment.hosts:
        wait_until(lambda host=host: is_logged(host), f"{host} logs {message}")


def wait_for_metric(context, count):
    line = f"mangogauge_endpoints_cold {float(count)}\n"
    for host in context.deployment.hosts:
        wait_until(
            lambda host=host: line in context.deployment.read_metrics(host),
            f"{host} shows {count} cold endpoints",
        )


@then('each host logs that "{names}" is cold, and shows it in its metrics')
def check_cold(context, names):
    wait_for_lines(context, "endpoint cold", names)
    context.known_at = read_elapsed()
    wait_for_metric(context, len(names.split(", ")))


@then('each host logs that "{names}" is no longer cold, and shows it in its metrics')
def check_warm(context, names):
    wait_for_lines(context, "endpoint no longer cold", names)
    wait_for_metric(context, 0)
    context.requests_before = len(list_times(context, "e1"))
    context.asked = [row for row in context.callers.rows if row.answer]


def list_times(context, name):
    return context.deployment.control(name)["request_times"]


@then('"{names}" got {least:d} to {most:d} requests in any second from then on')
def check_most(context, names, least, most):
    """Check the time from when all hosts knew to when none took it for warm."""
    begin, end = context.known_at, context.written_at + context.cold_seconds
    assert end - begin > 1, (begin, end)
    for name in names.split(", "):
        times = [t for t in list_times(context, name) if begin <= t < end]
        assert count_most(times) <= most, (name, count_most(times))
        assert len(times) >= least * int(end - begin), (name, len(times))


@then(
    "what was not answered was refused with a time to come back, "
    'which "mangogauge explain" puts down to cold endpoints'
)
def check_refused(context):
    refused = [row for row in context.asked if row.answer.status != 200]
    assert refused
    for row in refused:
        assert row.answer.status in REFUSED_STATUSES, row
        assert 0 < float(row.answer.headers["retry-after"]) < 5, row
    hosts = context.deployment.hosts
    logs = [context.world.processes[name].log_path for name in hosts]
    request_id = refused[len(refused) // 2].request_id
    command = [sys.executable, "-m", "mangogauge", "explain", request_id, *logs]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert "endpoints are cold" in done.stdout.partition("\n")[0], done.stdout


@then("no host logs that an endpoint is cold")
def check_no_line(context):
    for host in context.deployment.hosts:
        assert not list_lines(context, host, "endpoint cold"), host
