"""Steps of batch work of hosts that lose their way to endpoints."""

import time
from collections import Counter

from behave import given, then, when

from features.builders import wait_until
from features.builders.hostlinks import HostLinks
from features.builders.jobs import JobCaller, read_booking_runs, read_owners

SETTINGS = """
[batch]
chunk_items = 10
concurrency = 8
lease_seconds = 2
poll_seconds = 0.1
commit_seconds = 0.3
backoff_seconds = 0.1
"""
ENGINES = ("e1", "e2")
SERVICE = "desk-service"


@given('a batch fleet whose hosts "{names}" have links to two engines')
def start_fleet(context, names):
    world = context.world
    world.start_platform()
    for name in ENGINES:
        world.start_engine(name)
    world.start_service(SERVICE)
    route = {"name": "bookings", "path": "/bookings/*", "kind": "service"}
    # What a silent cut has caught waits for its deadline.
    world.routes.append({**route, "endpoints": SERVICE, "deadline": 8})
    world.accounts = [("desk", 1000, 1000)]
    world.extra = SETTINGS
    context.links = HostLinks(world)
    world.apply_configuration()
    hosts = names.split(", ")
    context.links.start_hosts(hosts)
    context.jobs = JobCaller(world, world.grant_key())
    context.links.wait_until_known({h: context.jobs.get_caller(h) for h in hosts})


@given('"{names}", which fill the engines, are cut off from all endpoints')
def cut(context, names):
    for name in names.split(", "):
        context.links.cut(name, "reset")


@given('the batch hosts "{names}" are cut off from all endpoints, {how}')
def cut_in_a_way(context, names, how):
    for name in names.split(", "):
        context.links.cut(name, how)


@given("the batch service holds its answers back")
def hold_answers(context):
    context.world.get_standin(SERVICE).control(hanging=True)


@when("the batch service answers again")
def release_answers(context):
    context.world.get_standin(SERVICE).control(hanging=False)


@when('the batch hosts "{names}" are cut off, {how}, while they run chats and bookings')
def cut_while_running(context, names, how):
    wait_until(lambda: count_running(context), "chats run")
    wait_until(lambda: read_booking_runs(context.world), "bookings run")
    cut_in_a_way(context, names, how)
    # Whatever the hosts sent has begun to run.
    time.sleep(0.5)
    context.held = set(read_booking_runs(context.world))


@when(
    'the batch hosts "{names}" are cut off, {how}, until "{host}" has settled '
    "{count:d} items"
)
def cut_until_settled(context, names, how, host, count):
    wait_until(lambda: count_running(context), "chats run")
    cut_in_a_way(context, names, how)
    settled = read_settled(context, host)
    wait_until(lambda: "chunk claimed" in read_log(context, host), f"{host} claims")
    context.jobs.wait_until_settled(host, context.job_id, settled + count)


@when(
    'the batch hosts "{names}" are cut off, {how}, for {seconds:g} s '
    "while they run chats"
)
def cut_in_passing(context, names, how, seconds):
    wait_until(lambda: count_running(context), "chats run")
    cut_in_a_way(context, names, how)
    time.sleep(seconds)
    restore(context, names)


@when('the cut of the batch hosts "{names}" ends')
def restore(context, names):
    context.claims = {n: count_claims(context, n) for n in names.split(", ")}
    for name in names.split(", "):
        context.links.restore(name)


@when("{seconds:d} s of the batch job pass")
def wait_for(context, seconds):
    time.sleep(seconds)


@then('the batch hosts "{names}" claim chunks again')
def check_claims_again(context, names):
    for name in names.split(", "):
        wait_until(
            lambda name=name: count_claims(context, name) > context.claims[name],
            f"{name} claims a chunk",
        )


@then("chunks of the batch job were claimed at most {count:d} times")
def check_claims(context, count):
    claims = {name: count_claims(context, name) for name in context.world.hosts}
    owners = read_owners(context.world, context.job_id)
    assert 0 < sum(claims.values()) <= count, (claims, owners)


@then("no batch chunk was released")
def check_unreleased(context):
    for name in context.world.hosts:
        assert "chunk released" not in read_log(context, name), name


@then("chats ran to their end twice only where the cut took their answers")
def check_chat_runs(context):
    runs = count_finished(context)
    assert len(runs) == context.plan.chats, runs
    assert max(runs.values()) <= 2, runs
    # Eight at once at each of the two hosts that were cut off.
    assert runs.total() <= context.plan.chats + 2 * 8, runs


@then('bookings that ran without an answer, and only these, end as "{code}"')
def check_bookings(context, code):
    ended = {
        result["custom_id"]: result["error"]["code"]
        for result in context.results
        if result["error"]
    }
    assert ended == dict.fromkeys(context.held, code), (ended, context.held)
    assert set(read_booking_runs(context.world)) == {
        item["custom_id"]
        for item in context.plan.make_items()
        if item["custom_id"].startswith("booking-")
    }


def count_running(context):
    return sum(context.world.get_standin(n).control()["running"] for n in ENGINES)


def count_finished(context):
    """Return how often each chat ran to its end, by request."""
    return Counter(
        record["request"]
        for name in ENGINES
        for record in context.world.get_standin(name).control()["records"]
        if record["what"] == "finished"
    )


def read_settled(context, host):
    counts = context.jobs.read_job(host, context.job_id)["request_counts"]
    return counts["completed"] + counts["failed"]


def count_claims(context, host):
    return read_log(context, host).count("chunk claimed")


def read_log(context, host):
    return context.world.processes[host].read_log()
