"""Steps of endpoints that are told to end a run, and end it after a part."""

import os
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders import wait_until
from features.builders.builds import find_build
from features.builders.platform import PlatformDeployment
from features.builders.platform.runs import RunRecord
from features.steps.platform import wait_until_known

EVENTS = 20
LEFT_SECONDS = 0.5
# Sockets of a host that come and go: calls to the store, checks of health.
SPARE_SOCKETS = 8


@given(
    "the platform with an endpoint that sends a part of its answers {framing}, "
    "{begins} it is told to end, and a sound one"
)
def start_told(context, framing, begins):
    # The build that MANGOGAUGE_OTHER_BUILD names, or this one.
    context.world.build = find_build("old")
    deployment = context.deployment = PlatformDeployment(context.world)
    deployment.write_configuration()
    context.journals = [
        deployment.start_told("told", framing, begins),
        deployment.start_pausable("sound", "at once"),
    ]
    deployment.start_host("h1")
    for endpoint in ("told", "sound"):
        wait_until_known(context, endpoint)


@when('{count:d} requests are sent to "{path}"')
def send_requests(context, count, path):
    def ask(number):
        request_id = f"q{number}"
        return context.deployment.ask("h1", f"{path}{number}", request_id, EVENTS)

    with ThreadPoolExecutor(count) as pool:
        context.answers = dict(enumerate(pool.map(ask, range(count))))


@then("each whole answer has each event once")
def check_events(context):
    spoilt = {}
    for number, answer in context.answers.items():
        expected = [f"q{number}-{event}" for event in range(1, EVENTS + 1)]
        is_served = answer.status == 200 and answer.whole
        if is_served and answer.texts != expected:
            spoilt[number] = answer.texts
    assert not spoilt, spoilt


@then("some were sent by each of both endpoints")
def check_endpoints(context):
    runs = RunRecord(context.journals).runs
    assert {run.endpoint for run in runs} == {"told", "sound"}, runs


@when('{count:d} callers of "{path}" leave after {seconds:g} s, three times')
def leave(context, count, path, seconds):
    deployment = context.deployment
    context.sockets = count_sockets(context)
    for turn in range(3):
        connections = [
            deployment.open("h1", f"{path}{turn}-{n}", f"l{turn}-{n}", EVENTS)
            for n in range(count)
        ]
        time.sleep(seconds)
        for connection in connections:
            connection.close()
        context.left_at = time.monotonic()


def count_sockets(context):
    folder = f"/proc/{context.world.processes['h1'].pid}/fd"
    links = [os.path.join(folder, name) for name in os.listdir(folder)]
    return sum(os.path.lexists(p) and "socket" in os.readlink(p) for p in links)


@then("no endpoint works for them half a second later")
def check_left(context):
    wait_until(lambda: RunRecord(context.journals).are_ended, "all runs have ended")
    late = [
        run
        for run in RunRecord(context.journals).runs
        if run.ended_at > context.left_at + LEFT_SECONDS
    ]
    assert not late, late


@then("the host has as many connections as its endpoints' idle ones")
def check_sockets(context):
    most = (
        context.sockets
        + SPARE_SOCKETS
        + sum(run.endpoint == "sound" for run in RunRecord(context.journals).runs)
    )
    assert count_sockets(context) <= most, (count_sockets(context), most)


@then("{count:d} requests that run once are served at a time")
def check_served(context, count):
    send_requests(context, count, "/ask/")
    statuses = [answer.status for answer in context.answers.values()]
    assert statuses == [200] * count, statuses
