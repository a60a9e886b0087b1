"""Steps of the HTTP server's features."""

import re
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import orjson
from behave import given, then, when

from features.builders import wait_until
from features.builders.wire import RawCaller, make_request

HEAD_END = b"\r\n\r\n"
STEADY_READS = 25


def open_caller(context, **options):
    world = context.world
    return RawCaller(world.address, world.hosts["a1"][0], **options)


def exchange(context, data, end=False):
    caller = open_caller(context)
    caller.send(data)
    if end:
        caller.end_sending()
    context.raw = caller.read_to_end()
    caller.close()
    return context.raw


def read_status(raw):
    match = re.match(rb"HTTP/1\.1 (\d{3})", raw)
    return int(match[1]) if match else 0


def read_error(raw):
    return orjson.loads(raw.partition(HEAD_END)[2])["error"]


@given("a host whose callers have a second for a head and for a pause")
def start_patient_host(context):
    limits = {"head_timeout": 1, "body_timeout": 1}
    context.execute_steps(
        "Given a platform, an engine in each data centre, and a service"
    )
    context.world.start_host("a1", "a", caller_limits=limits)
    context.execute_steps('Given a key of the client account "desk"')


@when("callers send what is not well formed")
def send_malformed(context):
    context.cases = []
    for row in context.table:
        data = row["bytes"].encode().decode("unicode_escape").encode("latin-1")
        raw = exchange(context, data.replace(b"KEY", context.key.encode()))
        context.cases.append((row["case"], int(row["answer"]), raw))


@then("each was answered as the table says, in JSON with a code and a request id")
def check_malformed(context):
    for case, status, raw in context.cases:
        assert read_status(raw) == status, (case, raw)
        error = read_error(raw)
        assert error["code"] == "malformed_request", (case, error)
        assert error["request_id"] and error["executed"] == "no", (case, error)


@then("the host still serves")
def check_serving(context):
    answer = context.world.get_caller("a1", context.key).chat("still there?")
    assert answer.status == 200, answer
    assert context.world.processes["a1"].is_running


@when("a caller sends a head of {size:d} bytes")
def send_large_head(context, size):
    exchange(context, make_request(X_Filling="x" * size))


@when("a caller announces a body of {size:d} bytes")
def announce_large_body(context, size):
    head = make_request("/bookings/1", "POST", key=context.key, Content_Length=size)
    exchange(context, head)


@when("a caller sends a chunked body of {size:d} bytes")
def send_large_body(context, size):
    head = make_request(
        "/bookings/1", "POST", key=context.key, Transfer_Encoding="chunked"
    )
    chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
    exchange(context, head + chunk * (size // 0x10000 + 1) + b"0\r\n\r\n")


@then('it is answered {status:d} with the code "{code}"')
def check_refusal(context, status, code):
    assert read_status(context.raw) == status, context.raw
    error = read_error(context.raw)
    assert error["code"] == code and error["executed"] == "no", error


def send_most(context, size):
    """Return a caller that has sent all of a body but its last byte."""
    head = make_request(
        "/bookings/1",
        "POST",
        key=context.key,
        Content_Length=size,
        Connection="close",
    )
    caller = open_caller(context)
    try:
        caller.send(head + bytes(size - 1))
    except OSError:
        # It was refused meanwhile.
        return caller
    return caller


@when("{count:d} callers send a body of {size} bytes each, all but the last byte")
def send_many_bodies(context, count, size):
    size = int(size.replace(",", ""))
    with ThreadPoolExecutor(count) as pool:
        context.callers = list(
            pool.map(lambda _: send_most(context, size), range(count))
        )
        context.raws = list(pool.map(lambda c: c.read_to_end(), context.callers))


@then('some were answered {status:d} with "{code}"')
def check_overloaded(context, status, code):
    told = [raw for raw in context.raws if read_status(raw) == status]
    assert told, [read_status(raw) for raw in context.raws]
    assert {read_error(raw)["code"] for raw in told} == {code}
    # Those that wait for their last byte are told that they are slow.
    statuses = {read_status(raw) for raw in context.raws}
    assert statuses <= {0, 408, status}, statuses


@when("the callers end")
def end_callers(context):
    for caller in context.callers:
        caller.close()


@then("a caller's body of {size} bytes is read again")
def check_read_again(context, size):
    caller = send_most(context, int(size.replace(",", "")))
    caller.send(b"x")
    raw = caller.read_to_end()
    caller.close()
    assert read_status(raw) not in (0, 408, 503), raw[:300]


@when("a caller sends half a head and waits")
def send_half_head(context):
    exchange(context, b"GET /v1/models HTTP/1.1\r\nHost:")


@when("a caller sends half a body and waits")
def send_half_body(context):
    head = make_request("/bookings/1", "POST", key=context.key, Content_Length=10)
    exchange(context, head + b"half")


@when("a caller sends half a head and ends")
def end_in_head(context):
    exchange(context, b"GET /v1/models HTTP/1.1\r\nHost:", end=True)


@when("a caller sends half a body and ends")
def end_in_body(context):
    head = make_request("/bookings/1", "POST", key=context.key, Content_Length=10)
    exchange(context, head + b"half", end=True)


@when("a caller connects and sends nothing")
def send_nothing(context):
    exchange(context, b"")


@then("the connection ends")
def check_ended(context):
    assert read_status(context.raw) in (0, 400), context.raw


@then("the connection is closed without an answer")
def check_closed(context):
    assert context.raw == b"", context.raw


@when("a caller sends {count:d} requests at once")
def send_together(context, count):
    caller = open_caller(context)
    requests = [
        make_request(f"/bookings/{n}", "POST", b"body %d" % n, context.key)
        for n in range(count - 1)
    ]
    requests.append(make_request("/bookings/last", key=context.key, Connection="close"))
    caller.send(b"".join(requests))
    context.raw = caller.read_to_end()


@then("{count:d} answers come in order on that connection")
def check_order(context, count):
    assert context.raw.count(b"HTTP/1.1 200") == count, context.raw
    targets = re.findall(rb"(?i)x-target: /bookings/(\w+)", context.raw)
    assert targets == [*(b"%d" % n for n in range(count - 1)), b"last"], targets


@when("a caller sends a body with no key and then asks for the models")
def send_without_key(context):
    caller = open_caller(context)
    caller.send(make_request("/bookings/1", "POST", b"a body that nobody reads"))
    caller.read_until(b"key_missing")
    caller.send(make_request(key=context.key, Connection="close"))
    context.raw = caller.read_to_end()


@then("the first answer is 401 and the second 200 on that connection")
def check_kept(context):
    statuses = re.findall(rb"HTTP/1\.1 (\d{3})", context.raw)
    assert statuses == [b"401", b"200"], context.raw


@when("a caller asks for leave to send its body")
def ask_for_leave(context):
    caller = open_caller(context)
    caller.send(
        make_request(
            "/bookings/1",
            "POST",
            key=context.key,
            Expect="100-continue",
            Content_Length=4,
            Connection="close",
        )
    )
    caller.read_until(b"HTTP/1.1 100")
    caller.send(b"body")
    context.raw = caller.read_to_end()


@then("it is told to go on and gets its answer")
def check_leave(context):
    assert b"HTTP/1.1 200" in context.raw and context.raw.endswith(b"body"), context.raw


@when("a caller of HTTP/1.0 streams a chat")
def stream_by_old_version(context):
    body = orjson.dumps(
        {"model": "small", "prompt": "old", "max_tokens": 3, "stream": True}
    )
    request = make_request("/v1/completions", "POST", body, context.key)
    exchange(context, request.replace(b"HTTP/1.1", b"HTTP/1.0", 1))


@then("the answer is not chunked and ends with the connection")
def check_old_version(context):
    head, _, body = context.raw.partition(HEAD_END)
    assert b" 200 " in head and b"chunked" not in head.lower(), head
    assert body.startswith(b"data: ") and body.endswith(b"data: [DONE]\n\n"), body


def read_memory(context):
    status = Path(f"/proc/{context.world.processes['a1'].pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * 1024


@when("a caller asks for {size:d} bytes and does not read")
def ask_for_flood(context, size):
    context.memory = read_memory(context)
    context.flood = size
    context.caller = open_caller(context, receive_buffer=65_536)
    context.caller.send(
        make_request(
            "/bookings/1", key=context.key, X_Flood_Bytes=size, Connection="close"
        )
    )


@then("the service is held back, and the host's memory has not grown by {size:d} bytes")
def check_held_back(context, size):
    service = context.world.get_standin("desk-service")
    seen = []

    def is_steady():
        seen.append(service.control()["flooded_bytes"])
        last = seen[-STEADY_READS:]
        return len(last) == STEADY_READS and last[0] and len(set(last)) == 1

    wait_until(is_steady, "the service sends no more")
    assert seen[-1] < context.flood / 2, seen[-1]
    grown = read_memory(context) - context.memory
    assert grown < size, grown


@when("the caller reads on")
def read_on(context):
    context.caller.read_until(HEAD_END)
    head = context.caller.received.partition(HEAD_END)[0]
    context.count = context.caller.count_to_end() - len(head) - len(HEAD_END)


@then("it gets all {size:d} bytes")
def check_all(context, size):
    assert context.count == size, context.count
