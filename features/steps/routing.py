"""Steps of retries, streams and routing."""

import re
import time
from threading import Thread

import orjson
from behave import given, then, when

from features.builders import (
    StreamReader,
    join_stream,
    make_text,
    read_events,
    run_together,
    wait_until,
)
from mangogauge.standins.proxy import make_schedule

SCHEDULE_SECONDS = 6
ATTEMPTS = re.compile(r"^mangogauge_attempts_total\{.*\} (\S+)$", re.MULTILINE)


def split_names(text):
    return [name.strip() for name in text.split(",")]


@given('routing: engines "{engines}" and services "{services}" behind a proxy')
def start_engines_and_services(context, engines, services):
    world = context.world
    world.start_platform()
    for name in split_names(engines):
        world.start_engine(name)
    for name in split_names(services):
        world.start_service(name)
    world.routes.append(
        {
            "name": "bookings",
            "path": "/bookings/*",
            "kind": "service",
            "endpoints": services,
            "deadline": 8,
        }
    )
    insert_proxy(context)


@given('routing: slow engines "{engines}" behind a proxy')
def start_slow_engines(context, engines):
    context.world.start_platform()
    for name in split_names(engines):
        context.world.start_engine(name, options=("--step-seconds", 0.03))
    insert_proxy(context)


def insert_proxy(context):
    endpoints = context.world.endpoints
    context.direct_addresses = {name: e["address"] for name, e in endpoints.items()}
    listens = context.world.start_proxy(**context.direct_addresses)
    for name, address in listens.items():
        endpoints[name]["address"] = address


@given('routing: a host "{host}" with a caller')
def start_host(context, host):
    context.world.apply_configuration()
    context.world.start_host(host)
    key = context.world.grant_key()
    context.caller = context.world.get_caller(host, key)
    context.host = host
    wait_until(
        lambda: context.caller.request("GET", "/v1/batches").status == 200,
        "the key works",
    )


def reapply_configuration(context):
    version = context.world.apply_configuration()
    for host in context.world.hosts:
        operator = context.world.get_operator(host)
        wait_until(
            lambda operator=operator: (
                operator.request("GET", "/state").json["configuration_version"]
                == version
            ),
            "the configuration is in force",
        )


@given("routing: the services are reached without the proxy")
def bypass_proxy(context):
    for name, address in context.direct_addresses.items():
        context.world.endpoints[name]["address"] = address
    reapply_configuration(context)


@given("routing: the engines can't resume")
def forbid_resuming(context):
    for endpoint in context.world.endpoints.values():
        endpoint["resumes"] = "no"
    reapply_configuration(context)


@given('routing: the links "{links}" lose all answers')
@given('routing: the link "{links}" loses all answers')
def lose_answers(context, links):
    for link in split_names(links):
        context.world.set_faults(link, lose_answers=-1)


@given('routing: the links "{links}" follow faults from seed {seed:d}')
def schedule_faults(context, links, seed):
    steps = make_schedule(seed, split_names(links), SCHEDULE_SECONDS, 120, 0.4)

    def apply_faults():
        now = 0.0
        for step in steps:
            time.sleep(step.at - now)
            now = step.at
            context.world.set_faults(step.link, **step.changes)

    context.schedule = Thread(target=apply_faults, daemon=True)
    context.schedule.start()


@given('routing: the processes "{names}" are killed')
@given('routing: the process "{names}" is killed')
def kill_processes(context, names):
    for name in split_names(names):
        context.world.processes[name].kill()


@given("routing: the services answer with status {status:d}")
def fail_services(context, status):
    for name, endpoint in context.world.endpoints.items():
        if endpoint["kind"] == "service":
            context.world.get_standin(name).control(error_status=status)


@given("routing: the engines answer with status {status:d}")
def fail_engines(context, status):
    for name, endpoint in context.world.endpoints.items():
        if endpoint["kind"] == "engine":
            context.world.get_standin(name).control(error_status=status)


@given('routing: the engine "{name}" hangs')
def hang_engine(context, name):
    context.world.get_standin(name).control(hanging=True)


@when("routing: {count:d} bookings are posted")
def post_bookings(context, count):
    names = [f"booking-{number}" for number in range(count)]

    def post(name):
        headers = {"X-Reference": name}
        return name, context.caller.request(
            "POST", f"/bookings/{name}", name.encode(), headers
        )

    context.bookings = run_together(post, names)
    schedule = getattr(context, "schedule", None)
    if schedule is not None:
        schedule.join()


@when("routing: {count:d} searches are made")
def make_searches(context, count):
    targets = [f"/bookings/search-{number}" for number in range(count)]
    context.searches = [
        (target, context.caller.request("GET", target)) for target in targets
    ]


@when("routing: {count:d} chats are requested with a deadline of {seconds:d} seconds")
def request_chats(context, count, seconds):
    headers = {"X-Deadline-Ms": str(seconds * 1000)}

    def request_chat(prompt):
        return prompt, context.caller.chat(prompt, max_tokens=4, headers=headers)

    prompts = [f"question {number}" for number in range(count)]
    context.chats = run_together(request_chat, prompts, 4)


def count_runs(context):
    runs = {}
    for name, endpoint in context.world.endpoints.items():
        if endpoint["kind"] == "service" and context.world.processes[name].is_running:
            for run, count in context.world.get_standin(name).control()["runs"].items():
                runs[run] = runs.get(run, 0) + count
    return runs


@then(
    'routing: each booking was refused with "{code}" and executed "{executed}"',
)
def check_bookings_refused(context, code, executed):
    for _, answer in context.bookings:
        error = answer.json["error"]
        assert (error["code"], error["executed"]) == (code, executed), error


@then("routing: each booking ran exactly once")
def check_bookings_ran_once(context):
    runs = count_runs(context)
    for name, _ in context.bookings:
        assert runs.get(f"POST {name}") == 1, (name, runs)


@then("routing: each booking was answered and ran once")
def check_bookings_answered(context):
    for name, answer in context.bookings:
        assert (answer.status, answer.body) == (200, name.encode()), answer
    check_bookings_ran_once(context)


@then("routing: each booking got the service's own status {status:d}")
def check_service_status_passed_on(context, status):
    for _, answer in context.bookings:
        assert answer.status == status, answer
        assert answer.json == {"error": "refused"}, answer
    assert not count_runs(context)


@then("routing: every booking's answer or refusal is correct")
def check_bookings_consistent(context):
    runs = count_runs(context)
    answered = 0
    for name, answer in context.bookings:
        count = runs.get(f"POST {name}", 0)
        assert count <= 1, (name, count)
        if answer.status == 200:
            answered += 1
            assert (count, answer.body) == (1, name.encode()), (name, answer)
        elif answer.json["error"]["executed"] == "no":
            assert count == 0, (name, answer)
    assert answered, context.bookings


@then("routing: each search was answered")
def check_searches_answered(context):
    for target, answer in context.searches:
        assert (answer.status, answer.body) == (200, target.encode()), answer


@then("routing: each chat got its own complete answer")
def check_chats_complete(context):
    for prompt, answer in context.chats:
        assert answer.status == 200, answer
        text = answer.json["choices"][0]["message"]["content"]
        assert text == make_text(prompt, 4), (prompt, text)


@then("routing: there were at most {count:d} more attempts than chats")
def check_attempt_count(context, count):
    text = context.world.get_operator(context.host).request("GET", "/metrics").body
    attempts = sum(float(value) for value in ATTEMPTS.findall(text.decode()))
    assert attempts <= len(context.chats) + count, attempts


@when("routing: a stream of {count:d} tokens has begun")
def begin_stream(context, count):
    context.prompt = "a long story"
    context.stream = StreamReader(context.caller, context.prompt, count)
    context.stream.read_some()


@when("routing: a stream of {count:d} tokens with usage has begun")
def begin_stream_with_usage(context, count):
    context.prompt = "a counted story"
    context.stream = StreamReader(context.caller, context.prompt, count, usage=True)
    context.stream.read_some()


def find_running_engine(context):
    for name, endpoint in context.world.endpoints.items():
        if endpoint["kind"] != "engine":
            continue
        if context.world.get_standin(name).control()["running"]:
            return context.world.processes[name]
    raise AssertionError("no engine runs it")


@when("routing: the engine that runs it is killed")
def kill_running_engine(context):
    find_running_engine(context).kill()


@when("routing: the engine that runs it is paused")
def pause_running_engine(context):
    context.paused = find_running_engine(context)
    context.paused.pause()


@when("routing: the engine that runs it is paused for {seconds:g} s")
def pause_for_a_while(context, seconds):
    pause_running_engine(context)
    time.sleep(seconds)
    resume_paused_engine(context)


@when("routing: the paused engine is resumed")
def resume_paused_engine(context):
    context.paused.resume()


@when("routing: all links are reset")
def reset_links(context):
    for link in context.direct_addresses:
        context.world.set_faults(link, reset=True)


@then("routing: the stream is complete with its own {count:d} tokens")
def check_stream_complete(context, count):
    context.answer = context.stream.read_rest()
    assert context.answer.whole, context.answer
    text = join_stream(context.answer.body)
    assert text == make_text(context.prompt, count), text


@then("routing: its usage reports {count:d} tokens")
def check_usage(context, count):
    values = read_events(context.answer.body)
    usages = [value["usage"] for value in values if value and value.get("usage")]
    assert [usage["completion_tokens"] for usage in usages] == [count], usages


@then("routing: the stream ends visibly incomplete")
def check_stream_incomplete(context):
    answer = context.stream.read_rest()
    assert not answer.whole, answer
    assert join_stream(answer.body) is None
    events = orjson.dumps(answer.body.decode()[-200:])
    assert answer.status == 200, events
