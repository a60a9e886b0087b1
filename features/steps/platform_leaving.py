"""Steps of endpoints that say in their answers that they are leaving."""

import time

from behave import given, then, when

from features.builders import wait_until
from features.steps.platform_jobs import read_all, submit

MOST_REQUESTS = 60


@given('"{name}" answers that it is leaving, by {answer}')
def set_leaving(context, name, answer):
    context.deployment.control(name, leaving=answer)


@given('"{name}" is killed beforehand')
def kill(context, name):
    context.world.processes[name].kill()


@when('"{account}" asks "{host}" for "{path}" until "{name}" has said so')
def ask_until_said(context, account, host, path, name):
    def is_said():
        text = context.world.processes[host].read_log()
        return f'"endpoint": "{name}"' in text and '"endpoint leaves"' in text

    for number in range(MOST_REQUESTS):
        context.deployment.ask(host, path, f"p{number}", 2, key=f"{account}-key")
        if is_said():
            break
    wait_until(is_said, f"{host} has heard that {name} is leaving")
    context.seen_ids = {row["request_id"] for row in context.deployment.list_arrivals()}


@when("{seconds:g} s pass for the hosts")
def pass_time(context, seconds):
    time.sleep(seconds)


@when('"{name}" starts again under its name')
def restart(context, name):
    deployment = context.deployment
    context.world.processes[name].kill()
    context.world.processes[name].start()
    born = int(time.time() * 1000)
    deployment.write_entry(name, born=born)

    def is_known():
        return f'"born": {born}' in context.world.processes["h1"].read_log()

    wait_until(is_known, f"h1 knows the new process of {name}")


@when(
    '"{account}" submits a job of {count:d} items of {events:d} events to "{host}", '
    "which ends"
)
def run_job(context, account, count, events, host):
    submit(context, account, "j1", count, events, host)
    assert len(read_all(context, host, "j1")) == count


def list_new_arrivals(context):
    rows = context.deployment.list_arrivals()
    return [row for row in rows if row["request_id"] not in context.seen_ids]


@then('these requests arrived at "{name}"')
@then('all its items arrived at "{name}"')
def check_arrivals(context, name):
    rows = list_new_arrivals(context)
    assert rows
    assert {row["endpoint"] for row in rows} == {name}, rows


@then('the answer is "{name}"\'s own, with {count:d} events')
def check_own(context, name, count):
    answer = context.answer
    assert answer.status == 200 and answer.whole, answer
    assert answer.headers["x-server-stamp"] == f"stamp-{name}", answer.headers
    assert answer.texts == [f"q1-{n}" for n in range(1, count + 1)], answer.texts
