"""Steps of drains, restarts and pauses."""

import http.client
from concurrent.futures import ThreadPoolExecutor

import orjson
from behave import given, then, when

from features.builders import (
    BalancedLoad,
    Balancer,
    StreamReader,
    join_stream,
    make_mixed_request,
    make_text,
    wait_until,
)

RESTART_TOKENS = 12
PAUSED_REQUESTS = 12


@given("drain: {count:d} hosts before a slow engine")
def start_slow(context, count):
    context.world.start_platform()
    context.world.start_engine("engine-1", options=("--step-seconds", 0.03))
    start_hosts(context, [(f"a{n}", "a") for n in range(count)])


@given("drain: {count:d} hosts in two data centres before engines and a service")
def start_fleet(context, count):
    world = context.world
    world.start_platform()
    world.start_engine("engine-a", "a")
    world.start_engine("engine-b", "b")
    world.start_service("desk", "a")
    world.start_service("desk-b", "b")
    world.routes.append(
        {
            "name": "bookings",
            "path": "/bookings/*",
            "kind": "service",
            "endpoints": "desk, desk-b",
        }
    )
    world.accounts = [("desk", 5000, 5000)]
    start_hosts(context, [(f"{'ab'[n % 2]}{n}", "ab"[n % 2]) for n in range(count)])


def start_hosts(context, hosts):
    world = context.world
    world.apply_configuration()
    for name, data_centre in hosts:
        world.start_host(name, data_centre, ready=False, drain_seconds=1.2)
    for name, _ in hosts:
        world.wait_until_ready(name)
    context.first = hosts[0][0]
    context.key = world.grant_key()
    for name in world.hosts:
        wait_for_key(context, name)
    context.caller = world.get_caller(context.first, context.key)


def wait_for_key(context, host):
    caller = context.world.get_caller(host, context.key)
    wait_until(
        lambda: caller.request("GET", "/v1/batches").status == 200,
        f"the key works at {host}",
    )


@when("drain: a stream of {count:d} tokens has begun at the first host")
def begin_stream(context, count):
    context.stream = StreamReader(context.caller, "a long story", count)
    context.stream.read_some()


@when("drain: the first host is told to end")
def end_host(context):
    context.world.processes[context.first].terminate()


@then("drain: the first host says that it is not ready")
def check_not_ready(context):
    wait_until(lambda: not context.world.is_ready(context.first), "it is not ready")


@then("drain: the first host still serves a new request, and closes after it")
def check_still_serving(context):
    answer = context.caller.chat("during the drain", max_tokens=2)
    assert answer.status == 200, answer
    assert answer.headers["connection"] == "close", answer.headers


@then("drain: the stream ends whole with its own {count:d} tokens")
def check_stream(context, count):
    answer = context.stream.read_rest()
    assert answer.whole, answer
    assert join_stream(answer.body) == make_text("a long story", count)


@then("drain: the stream is seen to be broken")
def check_broken(context):
    answer = context.stream.read_rest()
    assert not answer.whole, answer


@then("drain: the first host exits with {code:d}")
def check_exit(context, code):
    assert context.world.processes[context.first].wait() == code


@when("drain: a stream of {count:d} tokens ends after the first host was told to end")
def end_within_stream(context, count):
    context.connection = context.caller.open(*make_chat(count, stream=True))
    response = context.connection.getresponse()
    context.world.processes[context.first].terminate()
    wait_until(lambda: not context.world.is_ready(context.first), "it is not ready")
    assert response.read() and not response.will_close


@then("drain: a request on the same connection is served, and closes it")
def check_same_connection(context):
    method, target, body, headers = make_chat(2, stream=False)
    headers["Authorization"] = f"Bearer {context.key}"
    context.connection.request(method, target, body=body, headers=headers)
    response = context.connection.getresponse()
    assert response.status == 200 and response.will_close, response.headers


def make_chat(count, stream):
    body = {
        "model": "small",
        "max_tokens": count,
        "stream": stream,
        "messages": [{"role": "user", "content": "once more"}],
    }
    headers = {"Content-Type": "application/json"}
    return "POST", "/v1/chat/completions", orjson.dumps(body), headers


@when("drain: every host is restarted in turn under load through a lagging balancer")
def restart_all(context):
    world = context.world

    def make_request(number):
        return make_mixed_request(number, context.key)

    with Balancer(world) as balancer:
        with BalancedLoad(balancer, make_request, threads=6) as load:
            for host in list(world.hosts):
                restart(context, host)
                wait_until(lambda host=host: host in balancer.ready, f"{host} is back")
    context.load = load


def restart(context, host):
    process = context.world.processes[host]
    process.terminate()
    assert process.wait() == 0, process.read_log()
    data_centre = host[0]
    context.world.start_host(host, data_centre, drain_seconds=1.2)


@then("drain: no request was lost or refused, and each got its own answer")
def check_load(context):
    load = context.load
    assert not load.lost, load.lost
    assert len(load.answers) > len(context.world.hosts)
    for number, answer in load.answers.items():
        check_own(number, answer)


def check_own(number, answer):
    assert answer.status == 200, (number, answer)
    if number % 3 == 2:
        assert answer.body == f"booking-{number}".encode(), (number, answer)
        return
    expected = make_text(f"question {number}", RESTART_TOKENS)
    if number % 3 == 1:
        assert join_stream(answer.body) == expected, (number, answer)
    else:
        text = answer.json["choices"][0]["message"]["content"]
        assert text == expected, (number, answer)


@when("drain: the first host is paused for a while within its requests and woken")
def pause_host(context):
    process = context.world.processes[context.first]
    world = context.world
    other = list(world.hosts)[1]

    def ask(number):
        method, target, body, headers = make_mixed_request(number, context.key)
        headers["X-Deadline-Ms"] = "20000"
        try:
            return number, context.caller.request(method, target, body, headers)
        except http.client.HTTPException as error:
            return number, error

    with ThreadPoolExecutor(PAUSED_REQUESTS) as pool:
        asked = [pool.submit(ask, number) for number in range(PAUSED_REQUESTS)]
        process.pause()
        wait_until(
            lambda: context.first not in list_members(context, other),
            "the paused host is missed",
        )
        process.resume()
        context.answers = [future.result() for future in asked]


def list_members(context, host):
    return context.world.get_operator(host).request("GET", "/state").json["members"]


@then("drain: each of its requests got its own answer or a true refusal")
def check_paused(context):
    runs = {}
    for name in ("desk", "desk-b"):
        runs.update(context.world.get_standin(name).control()["runs"])
    for number, answer in context.answers:
        count = runs.get(f"POST booking-{number}", 0)
        assert count <= 1, (number, count)
        if answer.status == 200:
            check_own(number, answer)
        else:
            assert answer.json["error"]["executed"] != "no" or not count, answer


@then("drain: the hosts know each other again")
def check_members(context):
    names = sorted(context.world.hosts)
    for host in names:
        wait_until(
            lambda host=host: list_members(context, host) == names,
            f"{host} knows all hosts",
        )
