"""Steps of batch jobs on the platform's stand-ins."""

import os
import signal
import time

from behave import given, then, when

from features.builders import wait_until
from mangogauge.clock import SystemClock

READ_SECONDS = 40
SUBMIT_SECONDS = 30
SETTLE_SECONDS = 1.5
# An item has nearly its route's whole time left when it first runs.
MIN_PATIENCE_MS = 10_000


@given('the runners "{names}"')
def start_runners(context, names):
    context.runners = names.split(", ")
    for name in context.runners:
        context.deployment.start_host(name, "runner")


@given('the endpoints answer "{fault}" to requests for "{word}"')
def set_faults_of(context, fault, word):
    for name in context.deployment.endpoints:
        context.deployment.control(name, faults={word: fault})


@given("each event has {size} bytes")
def set_padding(context, size):
    context.padding = int(size.replace(",", ""))
    for name in context.deployment.endpoints:
        context.deployment.control(name, padding=context.padding)


@then("the platform's store refused no write")
def check_none_refused(context):
    counts = context.deployment.control("store")["counts"]
    assert not counts.get("refused"), counts


@given("the answers to the store's next {count:d} writes are lost")
def lose_writes(context, count):
    context.deployment.control("store", lose_writes=count)


def submit(context, account, job_id, count, events, host, item_headers=()):
    items = [(f"{job_id}-{n}", f"/night/{n}", events) for n in range(count)]
    context.items = {job_id: (count, events)}
    context.answer = context.deployment.submit(
        host, job_id, items, item_headers, key=f"{account}-key"
    )
    # Whoever is not told that the job was accepted sends it again.
    deadline = time.monotonic() + SUBMIT_SECONDS
    while context.answer.status != 202:
        assert time.monotonic() < deadline, context.answer
        context.answer = context.deployment.submit(
            host, job_id, items, item_headers, key=f"{account}-key"
        )


@when('"{account}" submits the job "{job_id}" of {count:d} items to "{host}"')
def submit_job(context, account, job_id, count, host):
    submit(context, account, job_id, count, 10, host)


@when(
    '"{account}" submits the job "{job_id}" of {count:d} items '
    'of {events:d} events to "{host}"'
)
def submit_long_job(context, account, job_id, count, events, host):
    submit(context, account, job_id, count, events, host)


@when(
    '"{account}" submits the job "{job_id}" of {count:d} items to "{host}", '
    "with these header fields in each"
)
def submit_with_headers(context, account, job_id, count, host):
    fields = [(row["name"], row["value"]) for row in context.table]
    submit(context, account, job_id, count, 10, host, fields)


@then("it is accepted")
def check_accepted(context):
    assert context.answer.status == 202, context.answer


def read_all(context, host, job_id):
    """Read a job to its end, as a caller does; return its results."""
    results, total = [], 1
    deadline = time.monotonic() + READ_SECONDS
    while len(results) < total:
        assert time.monotonic() < deadline, f"{len(results)} of {total} results"
        answer = context.deployment.read_job(host, job_id, len(results), 1000)
        if answer.status == 503 or not answer.whole:
            continue
        assert answer.status == 200, answer
        page = answer.json
        total = page["total"]
        results += page["results"]
        assert page["next"] == len(results)
    return results


def make_text(item_id, events, padding=0):
    tail = "x" * padding
    return "\n".join(f"{item_id}-{n}{tail}" for n in range(1, events + 1))


@then(
    'all {count:d} results of "{job_id}" can be read whole at "{first}" and "{second}"'
)
def check_results(context, count, job_id, first, second):
    events = context.items[job_id][1]
    found = read_all(context, first, job_id)
    assert found == read_all(context, second, job_id)
    expected = sorted(f"{job_id}-{n}" for n in range(count))
    assert sorted(r["id"] for r in found) == expected
    for result in found:
        assert result["state"] == "done", result
        text = make_text(result["id"], events, getattr(context, "padding", 0))
        assert result["text"] == text, (result["id"], result["text"][:200])


@then('"{job_id}" ends with "{item_id}" given up and {count:d} items done')
def check_given_up(context, job_id, item_id, count):
    states = {r["id"]: r["state"] for r in read_all(context, "h1", job_id)}
    assert states.pop(item_id) == "dead", states
    assert list(states.values()) == ["done"] * count, states


@then('"{item_id}" arrived at the endpoints {count:d} time')
@then('"{item_id}" arrived at the endpoints {count:d} times')
def check_arrivals(context, item_id, count):
    rows = context.deployment.list_arrivals()
    found = [row for row in rows if row["request_id"] == item_id]
    assert len(found) == count, found


def find_runner(context, job_id):
    """Return the name of the host that has a job's claim."""
    key = f"work/{job_id}/claim"
    claim = wait_until(
        lambda: context.deployment.read_store().get(key), f"{job_id} is claimed"
    )
    return claim.decode().partition("#")[0]


@then(
    'the endpoints saw the account "{account}", no key and a whole body '
    "with {count:d} items"
)
def check_item_fields(context, account, count):
    rows = context.deployment.list_arrivals()
    bodies = {row["request_id"]: row["body"] for row in rows}
    (job_id,) = context.items
    ids = [f"{job_id}-{n}" for n in range(count)]
    assert bodies == {item_id: f"body of {item_id}" for item_id in ids}, rows
    for row in rows:
        assert row["account"] == account, row
        assert row["key"] is None, row
        assert row["last_event"] is None, row
        assert int(row["patience"]) > MIN_PATIENCE_MS, row


@when('the runner that has "{job_id}" is killed')
def kill_runner(context, job_id):
    wait_until(context.deployment.list_arrivals, "items run")
    context.world.processes[find_runner(context, job_id)].kill()


@when('the runner that has "{job_id}" is told to end')
def end_runner(context, job_id):
    wait_until(context.deployment.list_arrivals, "items run")
    context.world.processes[find_runner(context, job_id)].terminate()


@when("all hosts are killed and start again")
def kill_all(context):
    processes = [context.world.processes[name] for name in context.deployment.hosts]
    for process in processes:
        os.kill(process.pid, signal.SIGKILL)
    for process in processes:
        process.wait()
        process.start()
    for name in context.deployment.hosts:
        context.deployment.wait_until_ready(name)


@when('"{account}" ends "{job_id}" at "{host}" once items run')
def end_job(context, account, job_id, host):
    wait_until(context.deployment.list_arrivals, "items run")
    answer = context.deployment.request(
        host, "DELETE", f"/api/lots/{job_id}", key=f"{account}-key"
    )
    assert answer.status == 200, answer
    context.ended_at = SystemClock().read_elapsed()


@when("watches at the store get stuck for {seconds:g} s")
def stick_watches(context, seconds):
    wait_until(context.deployment.list_arrivals, "items run")
    context.deployment.control("store", stuck=True)
    time.sleep(seconds)
    context.deployment.control("store", stuck=False)


@when("the store goes away for {seconds:g} s")
def take_store_away(context, seconds):
    context.deployment.control("store", silent=True)
    context.away_at = SystemClock().read_elapsed()
    time.sleep(seconds)
    context.back_at = SystemClock().read_elapsed()
    context.deployment.control("store", silent=False)


@then(
    'no item of "{job_id}" reached an endpoint later than {seconds:g} s after it went'
)
def check_starts_away(context, job_id, seconds):
    rows = context.deployment.list_arrivals()
    times = [row["at"] - context.away_at for row in rows]
    away = context.back_at - context.away_at
    late = [at for at in times if seconds < at < away]
    assert not late, late


@then('no item of "{job_id}" reaches an endpoint later than {seconds:g} s after that')
def check_last_start(context, job_id, seconds):
    time.sleep(seconds + SETTLE_SECONDS)
    rows = context.deployment.list_arrivals()
    late = [row for row in rows if row["at"] > context.ended_at + seconds]
    assert not late, f"{len(late)}, the last {late[-1]['at'] - context.ended_at} s"
    begun = {row["request_id"] for row in rows}
    assert len(begun) < context.items[job_id][0], "all had begun before"


@then('nothing of "{job_id}" runs any more')
def check_stopped(context, job_id):
    def is_quiet():
        rows = context.deployment.list_arrivals()
        return not [row for row in rows if row["state"] in ("running", "waiting")]

    wait_until(is_quiet, "nothing runs")
    states = {row["state"] for row in context.deployment.list_arrivals()}
    assert states == {"cut"}, states


@then('"{job_id}" can be read at "{first}" and "{second}"')
def check_readable(context, job_id, first, second):
    for host in (first, second):
        assert context.deployment.read_job(host, job_id).status == 200


def read_body(context, host, item_id, account="desk"):
    job_id = item_id.partition("-")[0]
    path = f"/api/items/{job_id}?id={item_id}"
    return context.deployment.request(host, "GET", path, key=f"{account}-key")


@then('the body of "{item_id}" is not shown any more')
def check_no_body(context, item_id):
    assert read_body(context, "h1", item_id).status == 404


@then('the body of "{item_id}" can be read at "{first}" and "{second}"')
def check_body(context, item_id, first, second):
    for host in (first, second):
        answer = read_body(context, host, item_id)
        assert answer.body == f"body of {item_id}".encode(), answer


@then('"{account}" is told at "{host}" that there is no "{job_id}"')
def check_foreign(context, account, host, job_id):
    key = f"{account}-key"
    assert context.deployment.read_job(host, job_id, key=key).status == 404


@when("{count:d} items run")
def wait_for_items(context, count):
    def count_running():
        rows = context.deployment.list_arrivals()
        return sum(row["state"] == "running" for row in rows) >= count

    wait_until(count_running, f"{count} items run")


@when('"{account}" asks "{host}" for {count:d} streams at the same time')
def ask_together(context, account, host, count):
    context.answers = context.deployment.run_together(
        [
            lambda n=n: context.deployment.ask(
                host, "/ask/1", f"q{n}", 10, key=f"{account}-key"
            )
            for n in range(count)
        ]
    )


@then("items gave way")
def check_gave_way(context):
    rows = context.deployment.list_arrivals()
    assert [row for row in rows if row["state"] == "cut"], rows


@when('operators ask for "{name}" to be emptied')
def ask_retirement(context, name):
    context.deployment.put(f"op/retire/{name}", {"duration_s": 10})
    context.retired = name


@then("the platform is told that this is done")
def check_retired(context):
    key = f"status/retire/{context.retired}"

    def is_done():
        return context.deployment.read_store().get(key) == b'{"state":"done"}'

    wait_until(is_done, "the host is emptied")


@when('these jobs are submitted to "{host}"')
def submit_malformed(context, host):
    context.statuses = [
        context.deployment.request(
            host, "POST", "/night/x", f"j{n}", body=row["body"].encode()
        ).status
        for n, row in enumerate(context.table)
    ]


@then("each was refused by {status:d}")
def check_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses
