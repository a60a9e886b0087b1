"""Steps with the official openai client, unchanged."""

import orjson
from behave import given, then, when

from features.builders import wait_until

MESSAGES = [{"role": "user", "content": "a replica brooch"}]
FAILING_ITEM = "item-3"


def make_client(context, host, key=None):
    import openai

    world = context.world
    return openai.OpenAI(
        api_key=key or context.key,
        base_url=f"http://{world.address}:{world.hosts[host][0]}/v1",
        max_retries=0,
        timeout=120,
    )


@given("an openai client of each host")
def make_clients(context):
    context.client = make_client(context, "a1")
    context.other_client = make_client(context, "b1")


@then('the client lists the model "{name}" and finds it')
def check_models(context, name):
    assert [m.id for m in context.client.models.list()] == [name]
    assert context.client.models.retrieve(name).id == name


@then("the client's chat in one piece and its stream have the same {count:d} tokens")
def check_chat(context, count):
    create = context.client.chat.completions.create
    whole = create(model="small", messages=MESSAGES, max_tokens=count)
    text = whole.choices[0].message.content
    assert len(text.split()) == count == whole.usage.completion_tokens, whole
    pieces = create(model="small", messages=MESSAGES, max_tokens=count, stream=True)
    deltas = [p.choices[0].delta.content for p in pieces]
    assert "".join(d for d in deltas if d) == text, (deltas, text)


@then("the client's stream tells its usage")
def check_usage(context):
    pieces = context.client.chat.completions.create(
        model="small",
        messages=MESSAGES,
        max_tokens=4,
        stream=True,
        stream_options={"include_usage": True},
    )
    usages = [p.usage for p in pieces if p.usage]
    assert [u.completion_tokens for u in usages] == [4], usages


@then("the client's completion has {count:d} tokens")
def check_completion(context, count):
    answer = context.client.completions.create(
        model="small", prompt="gift wrap", max_tokens=count
    )
    assert len(answer.choices[0].text.split()) == count, answer


@when(
    "the client uploads {count:d} items, of which 1 can't succeed, and creates a batch"
)
def create_batch(context, count):
    data = b"\n".join(make_line(f"item-{n}") for n in range(count))
    file = context.client.files.create(file=("items.jsonl", data), purpose="batch")
    assert file.bytes == len(data), file
    context.batch = context.client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
    )


def make_line(name):
    content = "NEVER-SUCCEEDS" if name == FAILING_ITEM else name
    body = {
        "model": "small",
        "max_tokens": 3,
        "messages": [{"role": "user", "content": content}],
    }
    return orjson.dumps(
        {
            "custom_id": name,
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
    )


@then(
    "the client sees the batch completed with {done:d} of {count:d} items done, "
    "at the other host"
)
def check_batch(context, done, count):
    def read_completed():
        batch = context.other_client.batches.retrieve(context.batch.id)
        return batch if batch.status == "completed" else None

    context.batch = wait_until(read_completed, "the batch is completed")
    counts = context.batch.request_counts
    assert (counts.completed, counts.total) == (done, count), counts


@then("the client reads one result for each custom id")
def check_results(context):
    batch = context.batch
    files = [f for f in (batch.output_file_id, batch.error_file_id) if f]
    texts = [context.other_client.files.content(f).text for f in files]
    results = [orjson.loads(line) for text in texts for line in text.splitlines()]
    names = sorted(result["custom_id"] for result in results)
    assert names == sorted(f"item-{n}" for n in range(batch.request_counts.total))
    for result in results:
        response = result["response"] or {}
        good = response.get("status_code") == 200
        assert good == (result["custom_id"] != FAILING_ITEM), result


@then("a made-up key raises the client's AuthenticationError")
def check_authentication(context):
    client = make_client(context, "a1", "mg-made-up")
    check_raises("AuthenticationError", client)


@then("an unknown model raises the client's NotFoundError")
def check_not_found(context):
    check_raises("NotFoundError", context.client, model="unknown")


@then("an odd request raises the client's BadRequestError")
def check_bad_request(context):
    headers = {"X-Deadline-Ms": "never"}
    check_raises("BadRequestError", context.client, extra_headers=headers)


def check_raises(name, client, **options):
    import openai

    try:
        client.chat.completions.create(
            **{"model": "small", "messages": MESSAGES, **options}
        )
    except openai.APIStatusError as error:
        assert type(error).__name__ == name, error
        assert error.body["executed"] == "no", error.body
        assert error.body["request_id"] == error.request_id, error.body
        return
    raise AssertionError(f"no {name}")
