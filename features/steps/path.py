"""Steps of the whole path."""

import orjson
from behave import given, then, when

from features.builders import wait_until


@given("a platform, an engine in each data centre, and a service")
def start_backends(context):
    world = context.world
    world.start_backends()
    world.apply_configuration()


@given("a host in each data centre")
def start_hosts(context):
    context.world.start_host("a1", "a")
    context.world.start_host("b1", "b")


@given('a key of the client account "{account}"')
def grant_key(context, account):
    context.key = context.world.grant_key(account)
    for host in context.world.hosts:
        caller = context.world.get_caller(host, context.key)
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            f"the key works at {host}",
        )


@when('a caller streams a chat of {count:d} tokens through host "{host}"')
def stream_chat(context, count, host):
    caller = context.world.get_caller(host, context.key)
    context.answer = caller.chat("hello", max_tokens=count, stream=True)


@then("the stream has {count:d} tokens and ends with the done event")
def check_stream(context, count):
    assert context.answer.status == 200, context.answer.body
    events = [e for e in context.answer.body.decode().split("\n\n") if e]
    assert events[-1] == "data: [DONE]", events[-1]
    chunks = [orjson.loads(e.removeprefix("data: ")) for e in events[:-1]]
    tokens = [c["choices"][0]["delta"].get("content") for c in chunks]
    assert len([t for t in tokens if t]) == count, tokens


@when('a caller posts "{body}" to "{target}" through host "{host}"')
def post_to_service(context, body, target, host):
    caller = context.world.get_caller(host, context.key)
    context.answer = caller.request("POST", target, body.encode())


@then('the answer is "{body}" and its target was "{target}"')
def check_service_answer(context, body, target):
    assert context.answer.status == 200, context.answer
    assert context.answer.body == body.encode()
    assert context.answer.headers["x-target"] == target


@then("the service saw no key")
def check_no_key(context):
    seen = context.world.get_standin("desk-service").control()["headers"]
    assert "authorization" not in seen, seen


@when('a caller submits a batch of {count:d} items through host "{host}"')
def submit_batch(context, count, host):
    caller = context.world.get_caller(host, context.key)
    upload = make_upload(make_items(count))
    headers = {"Content-Type": "multipart/form-data; boundary=edge"}
    file = caller.request("POST", "/v1/files", upload, headers).json
    request = {
        "input_file_id": file["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    answer = caller.request("POST", "/v1/batches", orjson.dumps(request))
    assert answer.status == 200, answer
    context.batch = answer.json["id"]


@then('the batch completes with {count:d} results, read through host "{host}"')
def check_batch(context, count, host):
    caller = context.world.get_caller(host, context.key)

    def read_completed():
        job = caller.request("GET", f"/v1/batches/{context.batch}").json
        return job if job["status"] == "completed" else None

    job = wait_until(read_completed, "the batch is completed")
    answer = caller.request("GET", f"/v1/files/{job['output_file_id']}/content")
    results = [orjson.loads(line) for line in answer.body.splitlines()]
    names = sorted(result["custom_id"] for result in results)
    assert names == sorted(f"item-{i}" for i in range(count)), names
    assert all(r["response"]["status_code"] == 200 for r in results)


def make_items(count, max_tokens=4):
    """Return the JSONL of a batch's input file."""
    lines = []
    for number in range(count):
        body = {
            "model": "small",
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": f"item {number}"}],
        }
        item = {
            "custom_id": f"item-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        lines.append(orjson.dumps(item))
    return b"\n".join(lines) + b"\n"


def make_upload(data):
    """Return a multipart body with the boundary ``edge``."""
    return (
        b'--edge\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        b'--edge\r\nContent-Disposition: form-data; name="file"; filename="i.jsonl"'
        b"\r\nContent-Type: application/jsonl\r\n\r\n" + data + b"\r\n--edge--\r\n"
    )
