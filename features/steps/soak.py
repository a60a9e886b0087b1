"""Steps of the soak under mixed faults."""

import http.client
import itertools
import threading
import time
from collections import Counter

from behave import given, then, when

from features.builders import join_stream, make_mixed_request, make_text, wait_until
from mangogauge.standins.proxy import make_schedule

TOKENS = 12
THREADS = 12
SCHEDULE_SECONDS = 20


@given(
    "soak: {count:d} hosts in each of two data centres, "
    "engines and services behind a proxy"
)
def start(context, count):
    world = context.world
    world.accounts = [("desk", 5000, 5000)]
    world.start_platform()
    for data_centre in "ab":
        options = ("--step-seconds", 0.01)
        for number in range(2):
            world.start_engine(f"engine-{data_centre}{number}", data_centre, options)
        world.start_service(f"desk-{data_centre}", data_centre)
    world.routes.append(
        {
            "name": "bookings",
            "path": "/bookings/*",
            "kind": "service",
            "endpoints": "desk-a, desk-b",
        }
    )
    context.links = [name for name in world.endpoints if name != "engine-a1"]
    links = {name: world.endpoints[name]["address"] for name in context.links}
    for name, address in world.start_proxy(**links).items():
        world.endpoints[name]["address"] = address
    world.apply_configuration()
    for data_centre in "ab":
        for number in range(count):
            world.start_host(f"{data_centre}{number}", data_centre)
    context.key = world.grant_key()
    for host in world.hosts:
        caller = world.get_caller(host, context.key)
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            "the key works",
        )


@when(
    "soak: {count:d} chats, streams and bookings run while faults follow seed {seed:d}"
)
def run(context, count, seed):
    context.count = count
    context.outcomes = {}
    numbers = iter(range(count))
    hosts = itertools.cycle(context.world.hosts)
    lock = threading.Lock()

    def work():
        while True:
            with lock:
                number, host = next(numbers, None), next(hosts)
            if number is None:
                return
            context.outcomes[number] = ask(context, number, host)

    steps = make_schedule(seed, context.links, SCHEDULE_SECONDS, 40, 1.0)
    follower = threading.Thread(target=follow, args=(context, steps), daemon=True)
    context.threads = [follower]
    context.threads += [
        threading.Thread(target=work, daemon=True) for _ in range(THREADS)
    ]
    for thread in context.threads:
        thread.start()


def follow(context, steps):
    now = 0.0
    for step in steps:
        time.sleep(step.at - now)
        now = step.at
        context.world.set_faults(step.link, **step.changes)


def ask(context, number, host):
    method, target, body, headers = make_mixed_request(number, context.key)
    headers["X-Deadline-Ms"] = "15000"
    caller = context.world.get_caller(host)
    try:
        return caller.request(method, target, body, headers)
    except (http.client.HTTPException, OSError) as error:
        return error


@when("soak: an engine is killed and started again, and a host is paused and woken")
def disturb(context):
    world = context.world
    wait_until(lambda: len(context.outcomes) > context.count // 4, "a quarter is done")
    world.processes["engine-a1"].kill()
    world.processes["b1"].pause()
    state = world.get_operator("b0")
    wait_until(
        lambda: "b1" not in state.request("GET", "/state").json["members"],
        "the paused host is missed",
    )
    world.processes["engine-a1"].start()
    world.processes["b1"].resume()
    for thread in context.threads:
        thread.join()


@then("soak: every caller got its own whole answer or a true refusal")
def check(context):
    context.runs = Counter()
    for name in ("desk-a", "desk-b"):
        runs = context.world.get_standin(name).control()["runs"]
        context.runs.update({run.removeprefix("POST "): n for run, n in runs.items()})
    kinds = Counter()
    for number in range(context.count):
        kinds[judge(context, number, context.outcomes[number])] += 1
    context.kinds = kinds
    print(f"soak: {dict(kinds)}")


def judge(context, number, answer):
    if isinstance(answer, Exception):
        # Only a stream may break off, and then it is seen to be broken.
        assert isinstance(answer, http.client.IncompleteRead), (number, answer)
        assert number % 3 == 1, (number, answer)
        return "broken"
    if answer.status != 200:
        error = answer.json["error"]
        if error["executed"] == "no" and number % 3 == 2:
            assert not context.runs[f"booking-{number}"], (number, answer)
        return error["code"]
    if number % 3 == 2:
        assert answer.body == f"booking-{number}".encode(), (number, answer)
        return "answered"
    expected = make_text(f"question {number}", TOKENS)
    if number % 3 == 1:
        assert join_stream(answer.body) == expected, (number, answer)
    else:
        text = answer.json["choices"][0]["message"]["content"]
        assert text == expected, (number, answer)
    return "answered"


@then("soak: no booking ran twice, and most requests were answered")
def check_runs(context):
    twice = {name: n for name, n in context.runs.items() if n > 1}
    assert not twice, twice
    assert context.kinds["answered"] > context.count / 2, context.kinds


@then("soak: the hosts serve everything again")
def check_served(context):
    for host in context.world.hosts:
        for number in range(3):
            wait_until(
                lambda host=host, number=number: (
                    getattr(ask(context, 10_000 + number, host), "status", 0) == 200
                ),
                f"{host} serves again",
            )
