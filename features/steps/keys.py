"""Steps for granting and withdrawing keys."""

import base64

import orjson
from behave import given, then, when

from features.builders import wait_until
from features.steps.configuration import apply_changed, cut_platform

LABEL = "desk terminal"


def run_key(context, *arguments):
    world = context.world
    context.outcome = world.run_for_code(
        "key",
        *arguments,
        "--platform",
        world.platform_address,
        "--secret-file",
        world.folder / "secret",
    )
    return context.outcome


@given("a key known to all hosts")
def grant_known_key(context):
    outcome = run_key(context, "grant", "desk", "--label", LABEL, "--wait")
    assert outcome.code == 0, outcome
    context.key = outcome.json["key"]
    context.key_id = outcome.json["key_id"]


@given("keys are trusted for {seconds:d} seconds")
def set_trust_seconds(context, seconds):
    context.world.extra = f"[keys]\ntrust_seconds = {seconds}\n"
    options = ("--wait", "--secret-file", context.world.folder / "secret")
    assert apply_changed(context, *options).code == 0, context.outcome


@given('a caller streams a long answer through host "{host}"')
def start_long_stream(context, host):
    caller = context.world.get_caller(host, context.key)
    value = {"model": "small", "stream": True, "max_tokens": 1_000_000, "messages": []}
    context.stream = caller.open(
        "POST", "/v1/chat/completions", orjson.dumps(value)
    ).getresponse()
    assert context.stream.read(100)


@when("an operator withdraws the key")
def withdraw_key(context):
    run_key(context, "withdraw", context.key_id, "--seconds", "8")


@then('the command says that the key is withdrawn on "{names}"')
def check_withdrawn(context, names):
    assert context.outcome.code == 0, context.outcome
    assert context.outcome.json["in_force_on"] == names.split()


@then("the stream has ended without its last event")
def check_stream_aborted(context):
    try:
        rest = context.stream.read()
    except OSError:
        return
    except Exception as error:
        rest = getattr(error, "partial", b"")
    assert b"[DONE]" not in rest


def read_code(context, host):
    answer = context.world.get_caller(host, context.key).chat("hello")
    return "" if answer.status == 200 else answer.code


@then('every host refuses the key with "{code}"')
def check_all_refuse(context, code):
    for host in context.world.hosts:
        assert read_code(context, host) == code


@then("the engine has cancelled the stream")
def check_cancelled(context):
    def count_running():
        names = ("engine-a", "engine-b")
        return sum(context.world.get_standin(n).control()["running"] for n in names)

    wait_until(lambda: count_running() == 0, "no engine runs anything")


@when('host "{name}" is cut off from the platform and from its peers')
def isolate_host(context, name):
    cut_platform(context, name)
    for host in context.world.hosts:
        context.world.set_faults(f"{host}-peers", refuse=True, reset=True)


@when('host "{name}" is connected again')
def reconnect_host(context, name):
    context.world.set_faults(
        f"{name}-platform", refuse=False, cut_forward=False, cut_backward=False
    )
    for host in context.world.hosts:
        context.world.set_faults(f"{host}-peers", refuse=False)


@then('the command says that host "{name}" has not confirmed')
def check_not_confirmed(context, name):
    assert context.outcome.code == 7, context.outcome
    assert context.outcome.json["not_confirmed_by"] == [name]


@then('host "{name}" eventually refuses the key with "{code}"')
def check_eventually_refused(context, name, code):
    wait_until(lambda: read_code(context, name) == code, f"{name} says {code}")


@then("the command says that nothing was recorded")
def check_not_recorded(context):
    assert context.outcome.code == 5, context.outcome
    assert "Not recorded" in context.outcome.errors


@then('host "{name}" still accepts the key')
def check_accepted(context, name):
    assert read_code(context, name) == ""


@when('a caller uses the key at host "{name}"')
def use_key(context, name):
    assert read_code(context, name) == ""


@then("the list of keys shows its label and its last use")
def check_list(context):
    outcome = run_key(context, "list")
    rows = [orjson.loads(line) for line in outcome.lines]
    (row,) = [row for row in rows if row["key_id"] == context.key_id]
    assert row["label"] == LABEL
    assert row["last_used"] > 0


@then("the platform stores the key only as its hash")
def check_hashed(context):
    request = {
        "key": base64.b64encode(b"\0").decode(),
        "range_end": base64.b64encode(b"~").decode(),
    }
    answer = context.world.get_standin("platform").request(
        "POST", "/v3/kv/range", orjson.dumps(request)
    )
    values = [base64.b64decode(item["value"]) for item in answer.json["kvs"]]
    assert values
    secret = context.key.removeprefix("mg-").encode()
    assert not any(secret in value for value in values)
