"""Steps of the callers' front."""

from pathlib import Path

import curio
import orjson
from behave import given, then, when

from features.builders import wait_until
from features.builders.wire import RawCaller, make_request
from mangogauge.clock import SystemClock
from mangogauge.gateway import Doorkeeper, Front, RefusalCode
from mangogauge.http import Headers, HTTPServer, open_response
from mangogauge.keys import (
    KeyRecord,
    KeyRing,
    KeyTaskTracker,
    KeyTrust,
    hash_key,
    make_key,
)
from mangogauge.settings import ConfigurationDocuments, read_fleet
from mangogauge.telemetry import HostMetrics

LONG_STREAM = 2000


@given("a front with engines, a service and routes for some")
def start_front(context):
    world = context.world
    world.accounts += [("shops", 100, 100), ("few", 0.01, 1)]
    world.routes += [
        {
            "name": "notices",
            "path": "/notices/*",
            "kind": "service",
            "endpoints": "desk-service",
            "open": "yes",
            "methods": "GET",
        },
        {
            "name": "ledger",
            "path": "/ledger/*",
            "kind": "service",
            "endpoints": "desk-service",
            "accounts": "shops",
        },
    ]
    context.execute_steps(
        "Given a platform, an engine in each data centre, and a service"
    )
    world.start_host("a1", "a")
    context.execute_steps('Given a key of the client account "desk"')


def chat_body(max_tokens, stream):
    return orjson.dumps(
        {
            "model": "small",
            "max_tokens": max_tokens,
            "stream": stream,
            "messages": [{"role": "user", "content": "hello"}],
        }
    )


def open_chat(context, request_id, max_tokens=LONG_STREAM, stream=True):
    world = context.world
    caller = RawCaller(world.address, world.hosts["a1"][0])
    body = chat_body(max_tokens, stream)
    caller.send(
        make_request(
            "/v1/chat/completions", "POST", body, context.key, X_Request_Id=request_id
        )
    )
    context.request_id = request_id
    return caller


def read_records(context, what):
    engines = [context.world.get_standin(name) for name in ("engine-a", "engine-b")]
    records = [r for engine in engines for r in engine.control()["records"]]
    return {r["request"] for r in records if r["what"] == what}


@when("a caller hangs up within a stream")
def hang_up_in_stream(context):
    caller = open_chat(context, "left-in-stream")
    caller.read_until(b"data: ")
    caller.close()


@when("a caller hangs up before an answer in one piece")
def hang_up_before_answer(context):
    caller = open_chat(context, "left-before-answer", stream=False)
    wait_until(
        lambda: context.request_id in read_records(context, "started"), "it has started"
    )
    caller.close()


@then("the engine has cancelled that request")
def check_cancelled(context):
    wait_until(
        lambda: context.request_id in read_records(context, "cancelled"),
        f"{context.request_id} is cancelled",
    )
    assert context.request_id not in read_records(context, "finished")


@given("both engines hang")
def hang_engines(context):
    for name in ("engine-a", "engine-b"):
        context.world.get_standin(name).control(hanging=True)


@when("a caller asks for a chat within {milliseconds:d} ms")
def chat_with_deadline(context, milliseconds):
    context.request_id = "late"
    fields = {"X-Deadline-Ms": str(milliseconds), "X-Request-Id": "late"}
    caller = context.world.get_caller("a1", context.key)
    context.answer = caller.chat("hello", headers=fields)


@when('a caller gives the deadline "{deadline}"')
def chat_with_odd_deadline(context, deadline):
    caller = context.world.get_caller("a1", context.key)
    context.answer = caller.chat("hello", headers={"X-Deadline-Ms": deadline})


@then('it is refused {status:d} as "{code}", executed "{executed}"')
def check_refused(context, status, code, executed):
    answer = context.answer
    assert answer.status == status, answer
    error = answer.json["error"]
    assert (error["code"], error["executed"]) == (code, executed), error
    assert error["request_id"] == answer.headers["x-request-id"], answer
    assert error["message"].endswith("."), error


@when("a caller calls the service with many fields of its own")
def call_with_fields(context):
    fields = {
        "X-Reference": "visit-1",
        "Accept": "text/plain",
        "X-Request-Id": "visit-1",
        "Connection": "close, X-Private",
        "X-Private": "for this hop",
        "Keep-Alive": "timeout=5",
        "TE": "trailers",
        "Proxy-Authorization": "Basic abc",
        "Upgrade": "h2c",
        "X-Resume-From": "5",
        "X-Copy": f"my key is {context.key}",
    }
    caller = context.world.get_caller("a1", context.key)
    context.answer = caller.request("POST", "/bookings/1", b"escort", fields)
    assert context.answer.status == 200, context.answer


def read_seen(context):
    return set(context.world.get_standin("desk-service").control()["headers"])


@then('the service saw the fields "{names}" of these')
def check_seen(context, names):
    assert set(names.split(", ")) <= read_seen(context), read_seen(context)


@then('the service did not see the fields "{names}"')
def check_unseen(context, names):
    seen = read_seen(context) & set(names.split(", "))
    assert not seen, seen


@when('a caller gives the request id "{given_id}"')
def give_request_id(context, given_id):
    context.request_id = given_id
    caller = context.world.get_caller("a1", context.key)
    context.answer = caller.request(
        "GET", "/bookings/1", headers={"X-Request-Id": given_id}
    )


@then("the answer's request id is the same")
def check_same_id(context):
    assert context.answer.headers["x-request-id"] == context.request_id


@then("the answer's request id is another")
def check_other_id(context):
    given_id = context.answer.headers["x-request-id"]
    assert given_id and given_id != context.request_id


@then("calls by key and route are answered so")
def check_routes(context):
    keys = {"desk": context.key, "none": "", "made up": "mg-made-up"}
    context.execute_steps('Given a key of the client account "shops"')
    keys["shops"] = context.key
    for row in context.table:
        caller = context.world.get_caller("a1", keys[row["key"]])
        answer = caller.request(row["method"], row["target"])
        assert answer.status == int(row["status"]), (row, answer)
        if row["code"]:
            assert answer.code == row["code"], (row, answer)
        elif row["target"].startswith("/ledger"):
            assert answer.headers["x-method"] == row["method"], (row, answer)
            assert answer.headers["x-target"] == row["target"], (row, answer)


@when("a caller's client account has used up its rate")
def use_up_rate(context):
    context.execute_steps('Given a key of the client account "few"')
    caller = context.world.get_caller("a1", context.key)
    context.answer = wait_until(lambda: ask_refused(caller), "the rate is used up")


def ask_refused(caller):
    answer = caller.chat("hello", max_tokens=1)
    return answer if answer.status != 200 else None


@then("the refusal says when to come again, in its body and its head")
def check_retry_after(context):
    seconds = context.answer.json["error"]["retry_after"]
    assert seconds > 0, context.answer
    assert seconds <= int(context.answer.headers["retry-after"]) <= seconds + 1


@then(
    'the metrics hold {count:d} first token of the route "{route}" '
    'and the account "{account}"'
)
def check_first_token(context, count, route, account):
    text = context.world.get_operator("a1").request("GET", "/metrics").body.decode()
    line = (
        f'mangogauge_first_token_seconds_count{{client_account="{account}",'
        f'route="{route}"}} {count}.0'
    )
    assert line in text.splitlines(), [x for x in text.splitlines() if "first" in x]


@when("a stream is under way and an idle connection is kept, and the host drains")
def drain_host(context):
    world = context.world
    context.kept = RawCaller(world.address, world.hosts["a1"][0])
    context.kept.send(make_request(key=context.key))
    context.kept.read_until(b"}]}")
    context.streaming = open_chat(context, "drained", max_tokens=400)
    context.streaming.read_until(b"data: ")
    world.processes["a1"].terminate()


@then("the stream is whole, the kept connection has ended, and the host ended with 0")
def check_drained(context):
    assert context.streaming.read_to_end().endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")
    assert context.kept.read_to_end().count(b"HTTP/1.1") == 1
    assert context.world.processes["a1"].wait() == 0


async def fail_on_one_path(exchange):
    if exchange.path == "/fails":
        raise KeyError("a mistake")
    await exchange.respond(200, Headers(), b"fine")


async def ask_in_turn(handler, requests):
    server = HTTPServer(handler)
    server.bind("127.0.0.1", 0)
    serving = await curio.spawn(server.serve)
    answers = []
    for method, target, headers, body in requests:
        response = await open_response(
            f"127.0.0.1:{server.port}", method, target, Headers(headers), body
        )
        answers.append((response.status, await response.read()))
    await serving.cancel()
    return answers


@given("a server whose handler fails on one path")
def make_failing_server(context):
    context.handler = fail_on_one_path


@when("its paths are asked for in turn")
def ask_paths(context):
    requests = [("GET", path, (), b"") for path in ("/a", "/fails", "/b")]
    context.answers = curio.run(ask_in_turn, context.handler, requests)


@then('the failing path is answered 500, executed "unknown", and the others 200')
def check_failing_server(context):
    assert [status for status, _ in context.answers] == [200, 500, 200]
    error = orjson.loads(context.answers[1][1])["error"]
    assert error["executed"] == "unknown" and error["code"] == "internal_error"


class FailingLimiter:
    """A limiter with a mistake in it."""

    async def admit(self, account, cost=1.0):
        raise ZeroDivisionError(account)


@given("a front whose limiter fails")
def make_failing_front(context):
    base = "[data_centre a]\n[account desk]\nrate = 1\nburst = 1\n[model small]\n"
    base += "[route chat]\npath = /v1/chat/completions\nkind = model\n"
    base += "[endpoint e]\naddress = 127.0.0.1:9\ndata_centre = a\nkind = engine\n"
    fleet = read_fleet(ConfigurationDocuments(base + "models = small\n"), "a")
    ring = KeyRing(SystemClock())
    context.key = make_key()
    ring.update(KeyRecord(hash_key(context.key), "desk"), 1)
    trust = KeyTrust(SystemClock(), 60)
    doorkeeper = Doorkeeper(ring, KeyTaskTracker(), trust)
    front = Front(doorkeeper, FailingLimiter(), None, SystemClock(), HostMetrics())
    front.set_settings(fleet)
    context.handler = front.handle


@when("a caller asks that front for a chat")
def ask_front(context):
    headers = [("Authorization", f"Bearer {context.key}")]
    request = ("POST", "/v1/chat/completions", headers, chat_body(1, False))
    context.answers = curio.run(ask_in_turn, context.handler, [request])


@then('the front answers {status:d} as "{code}", executed "{executed}"')
def check_front(context, status, code, executed):
    (found, body), error = context.answers[0], None
    error = orjson.loads(body)["error"]
    assert (found, error["code"], error["executed"]) == (status, code, executed), body


@then("the host's log is JSON, names the request that was left, and holds no key")
def check_log(context):
    process = context.world.processes["a1"]
    wait_until(lambda: "caller hung up" in process.read_log(), "the cancel is logged")
    text = process.read_log()
    assert context.key not in text and "Bearer" not in text
    lines = [orjson.loads(line) for line in text.splitlines()]
    left = [line for line in lines if line["message"] == "caller hung up"]
    for name, value in (
        ("request_id", "left-in-stream"),
        ("client_account", "desk"),
        ("route", "chat"),
        ("host", "a1"),
        ("data_centre", "a"),
    ):
        assert left[0][name] == value, left
    refused = [line for line in lines if line["message"] == "refused"]
    assert "malformed_request" in {line["code"] for line in refused}, refused


@then("the callers' guide has every code with its status")
def check_guide(context):
    guide = Path(__file__).resolve().parents[2] / "docs" / "callers.md"
    lines = [line for line in guide.read_text().splitlines() if line.startswith("| ")]
    for code in RefusalCode:
        status, name = code.value.status, f"`{code.value.code}`"
        found = [line for line in lines if name in line]
        assert found and str(status) in found[0].split("|")[1], (status, name, found)
