"""Steps of endpoints that are told to end a run, and end it after a part."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders.builds import find_build
from features.builders.platform import PlatformDeployment
from features.builders.platform.runs import RunRecord
from features.steps.platform import wait_until_known

EVENTS = 20


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
