"""Steps of the gateway's hosts that lose their way to endpoints."""

import time
from functools import partial
from itertools import count

from behave import given, then, when

from features.builders import run_together, wait_until
from features.builders.chats import ask_chats, check_whole
from features.builders.hostlinks import HostLinks

TOKENS = 6
LONG_TOKENS = 150
# Far longer than a report takes to all hosts, and shorter than it is believed.
REPORT_SECONDS = 4.0
WATCH_SECONDS = 3.0
POLL_SECONDS = 0.05

_numbers = count()


@given('paths: engines "{engines}", a service, and the hosts "{hosts}" behind links')
def start_fleet(context, engines, hosts):
    world = context.world
    world.start_platform()
    for name in engines.split(", "):
        world.start_engine(name, options=("--step-seconds", 0.01))
    world.start_service("desk")
    route = {"name": "bookings", "path": "/bookings/*", "kind": "service"}
    world.routes.append({**route, "endpoints": "desk", "deadline": 15})
    world.accounts = [("desk", 1000, 1000)]
    world.extra = getattr(context, "paths_extra", "")
    context.links = HostLinks(world)
    world.apply_configuration()
    names = hosts.split(", ")
    context.links.start_hosts(names)
    context.key = world.grant_key()
    context.callers = {name: world.get_caller(name, context.key) for name in names}
    context.links.wait_until_known(context.callers)


@given('paths: "{hosts}" have answered callers')
def warm_up(context, hosts):
    for host in hosts.split(", "):
        ask(context, 4, 2, host)
        check_answers(context)


@when('paths: "{hosts}" is cut off from all endpoints, {how}')
@when('paths: "{hosts}" are cut off from all endpoints, {how}')
def cut(context, hosts, how):
    for host in hosts.split(", "):
        context.links.cut(host, how)


@when('paths: the cut of "{host}" ends')
def restore(context, host):
    context.links.restore(host)


@when('paths: {chats:d} chats and {streams:d} streams are asked for at "{host}"')
def ask(context, chats, streams, host):
    prompts = [f"{host} question {next(_numbers)}" for _ in range(chats + streams)]
    context.asked = ask_chats(context.callers[host], prompts, streams, TOKENS)


@then("paths: each got its own whole answer")
def check_answers(context):
    check_whole(context.asked, TOKENS)


@when('paths: a chat is asked for at "{host}" with a deadline of {seconds:d} s')
def ask_with_deadline(context, host, seconds):
    prompts = [f"{host} question {next(_numbers)}"]
    headers = {"X-Deadline-Ms": str(seconds * 1000)}
    context.asked = ask_chats(context.callers[host], prompts, 0, TOKENS, headers)


@when('paths: {number:d} bookings are posted at "{host}"')
def post_bookings(context, number, host):
    caller = context.callers[host]
    context.bookings = {}
    for _ in range(number):
        name = f"b{next(_numbers)}"
        context.bookings[name] = caller.request(
            "POST", f"/bookings/{name}", b"one", {"X-Reference": name}
        )


@when('paths: a booking is posted at "{host}" with a deadline of {seconds:d} s')
def post_with_deadline(context, host, seconds):
    name = f"b{next(_numbers)}"
    headers = {"X-Reference": name, "X-Deadline-Ms": str(seconds * 1000)}
    caller = context.callers[host]
    answer = caller.request("POST", f"/bookings/{name}", b"one", headers)
    context.bookings = {name: answer}


@then("paths: it is refused with {status:d} as not executed, and didn't run")
def check_not_executed(context, status):
    runs = context.world.get_standin("desk").control()["runs"]
    for name, answer in context.bookings.items():
        assert answer.status == status, answer
        assert answer.json["error"]["executed"] == "no", answer
        assert f"POST {name}" not in runs, runs


@then("paths: each booking was answered, and ran once")
def check_bookings(context):
    runs = context.world.get_standin("desk").control()["runs"]
    for name, answer in context.bookings.items():
        assert answer.status == 200, (name, answer)
        assert runs.get(f"POST {name}") == 1, runs


@then('paths: "{host}" reaches endpoints by itself again')
def check_direct(context, host):
    before = context.links.count_direct_bytes(host)

    def is_direct():
        ask(context, 1, 0, host)
        check_answers(context)
        size = len(context.asked[0].prompt)
        return context.links.count_direct_bytes(host) > before + size

    wait_until(is_direct, f"{host} sends requests itself")


def read_down(context, host):
    operator = context.world.get_operator(host)
    rows = operator.request("GET", "/endpoints").json["endpoints"]
    return {row["endpoint"] for row in rows if row["down"]}


@then('paths: "{hosts}" see "{endpoint}" as down')
def wait_until_down(context, hosts, endpoint):
    for host in hosts.split(", "):
        wait_until(
            lambda host=host: endpoint in read_down(context, host),
            f"{endpoint} is down at {host}",
        )


@then('paths: "{host}" sees no endpoint as down for long')
def check_up(context, host):
    # The others' reports have to arrive before they can be disbelieved.
    time.sleep(REPORT_SECONDS)
    deadline = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < deadline:
        down = read_down(context, host)
        assert not down, down
        time.sleep(POLL_SECONDS)


@when('paths: "{host}" loses its connections while it runs {number:d} long chats')
def cut_while_running(context, host, number):
    caller = context.callers[host]
    prompts = [f"a long question {next(_numbers)}" for _ in range(number)]

    def ask_and_cut():
        wait_until(lambda: count_running(context) >= number, "all run")
        context.links.cut(host, "reset")

    calls = [partial(caller.chat, p, max_tokens=LONG_TOKENS) for p in prompts]
    answers = run_together(lambda call: call(), [*calls, ask_and_cut])
    assert all(answer.status == 200 for answer in answers[:-1]), answers


def count_running(context):
    engines = [n for n, e in context.world.endpoints.items() if e["kind"] == "engine"]
    return sum(context.world.get_standin(n).control()["running"] for n in engines)


@then("paths: no host has noted a crash")
def check_no_crash(context):
    for host in context.callers:
        state = context.world.get_operator(host).request("GET", "/quarantine").json
        assert state == {"suspects": [], "condemned": []}, (host, state)
        assert "an endpoint crashed" not in context.world.processes[host].read_log()
