"""Steps of endpoints that are killed within answers that have no length."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders import wait_until
from features.builders.platform import PlatformDeployment
from features.builders.platform.runs import RunRecord
from features.steps.platform import wait_until_known

WITHIN_SECONDS = 0.4
# How long an endpoint is away that is back later.
DOWN_SECONDS = 2.0
EVENT_SECONDS = 0.03
IDLE_WORDS = {"keep": "keeps", "end": "ends"}


@given(
    'the platform with endpoints "{names}" whose answers have no length, '
    'and the hosts "{hosts}"'
)
def start_unframed(context, names, hosts):
    deployment = context.deployment = PlatformDeployment(context.world)
    deployment.write_configuration()
    context.journals = {
        name: deployment.start_unframed(name, EVENT_SECONDS)
        for name in names.split(", ")
    }
    for name in hosts.split(", "):
        deployment.start_host(name)
    for name in context.journals:
        wait_until_known(context, name)


@given('"{names}" {do} connections that carry nothing')
def set_idle(context, names, do):
    for name in names.split(", "):
        process = context.world.processes[name]
        process.kill()
        process.arguments = [*process.arguments[:4], IDLE_WORDS[do], EVENT_SECONDS]
        process.arguments = list(map(str, process.arguments))
        process.start()


def list_runs(context):
    return RunRecord(context.journals.values()).runs


@when(
    '{count:d} streams of {events:d} events of "{path}" begin, and "{name}" is killed '
    "within them and is back {back}"
)
def kill_within(context, count, events, path, name, back, version=11):
    thread = threading.Thread(target=kill, args=(context, name, back))
    thread.start()
    ask_all(context, count, events, path, version)
    thread.join()


@when(
    '{count:d} streams of {events:d} events of "{path}" begin by HTTP/1.0, and '
    '"{name}" is killed within them and is back {back}'
)
def kill_within_by_http_1_0(context, count, events, path, name, back):
    kill_within(context, count, events, path, name, back, version=10)


@when('{count:d} streams of {events:d} events of "{path}" begin')
def ask_all(context, count, events, path, version=11):
    hosts = sorted(context.deployment.hosts)

    def ask(number):
        host = hosts[number % 2]
        return context.deployment.ask(
            host, f"{path}{number}", f"q{number}", events, version=version
        )

    with ThreadPoolExecutor(count) as pool:
        context.answers = dict(enumerate(pool.map(ask, range(count))))


@when('"{name}" is killed within items, and is back {back}')
def kill(context, name, back):
    wait_until(
        lambda: any(run.endpoint == name for run in list_runs(context)),
        f"{name} works",
    )
    time.sleep(WITHIN_SECONDS)
    process = context.world.processes[name]
    # An endpoint registers before it listens.
    is_quick = back == "at once"
    process.kill()
    if not is_quick:
        time.sleep(DOWN_SECONDS)
    born = int(time.time() * 1000)
    context.deployment.write_entry(name, born=born)
    process.start()


@then('some had begun at "{name}"')
def check_begun(context, name):
    assert any(run.endpoint == name for run in list_runs(context))


def is_whole(answer):
    return answer.status == 200 and answer.whole


@then("each answer that looks whole has each of its {events:d} events once")
def check_events(context, events):
    spoilt = {
        number: len(answer.texts)
        for number, answer in context.answers.items()
        if is_whole(answer)
        and answer.texts != [f"q{number}-{n}" for n in range(1, events + 1)]
    }
    assert not spoilt, spoilt


@then("the others are whole")
def check_others(context):
    """Whoever was not at the endpoint that was killed has an answer."""
    killed = {run.request_id for run in list_runs(context) if run.endpoint == "e1"}
    spoilt = {
        number: (answer.status, len(answer.texts))
        for number, answer in context.answers.items()
        if f"q{number}" not in killed and not is_whole(answer)
    }
    assert not spoilt, spoilt


@then("all were whole")
def check_all(context):
    spoilt = {
        number: (answer.status, len(answer.texts))
        for number, answer in context.answers.items()
        if not is_whole(answer)
    }
    assert not spoilt, spoilt
