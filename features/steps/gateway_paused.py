"""Steps of requests to engines that are paused."""

import threading

from behave import given, then, when

from features.builders import run_together, wait_until
from features.steps.routing import reapply_configuration

ENGINES = ("engine-1", "engine-2")
MILLISECONDS = 1000
UNRUN_STATUSES = (429, 503)


@when("a chat of {seconds:d} s is sent while both engines are paused, and then leave")
def send(context, seconds):
    world = context.world
    for name in ENGINES:
        world.processes[name].pause()

    def ask():
        headers = {"X-Deadline-Ms": str(seconds * MILLISECONDS)}
        context.chat = context.caller.chat("hello", headers=headers)

    asking = threading.Thread(target=ask)
    asking.start()
    for name in ENGINES:
        world.endpoints.pop(name)
    reapply_configuration(context)
    asking.join()
    for name in ENGINES:
        world.processes[name].resume()


@then('the chat is answered by {status:d} as "{code}", executed "{executed}"')
def check_chat(context, status, code, executed):
    error = context.chat.json["error"]
    found = (context.chat.status, error["code"], error["executed"])
    assert found == (status, code, executed), context.chat


@given('the chats go to "{host}"')
def choose_host(context, host):
    context.caller = context.jobs.get_caller(host)


@when(
    'each of {count:d} chats of {seconds:d} s is sent while "{paused}" is paused '
    'and "{full}" answers by {status:d}'
)
def send_beside_full(context, count, seconds, paused, full, status):
    context.world.get_standin(full).control(error_status=status)
    context.world.processes[paused].pause()

    def ask(request_id):
        headers = {
            "X-Deadline-Ms": str(seconds * MILLISECONDS),
            "X-Request-Id": request_id,
        }
        return request_id, context.caller.chat(request_id, headers=headers)

    names = [f"chat-{number}" for number in range(count)]
    context.chats = dict(run_together(ask, names, count))
    context.world.processes[paused].resume()


@then('each chat that "{name}" began on waking was answered as one that may have run')
def check_begun(context, name):
    engine = context.world.get_standin(name)
    begun = wait_until(lambda: list_begun(engine), f"{name} has begun a chat")
    answers = {request_id: context.chats[request_id] for request_id in begun}
    refused = [a for a in answers.values() if a.status in UNRUN_STATUSES]
    assert not refused, refused


def list_begun(engine):
    """Return the ids of the chats that an engine has begun."""
    records = engine.control()["records"]
    return {row["request"] for row in records if row["what"] == "started"}
