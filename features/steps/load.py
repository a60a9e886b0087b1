"""Steps of the load generator."""

import subprocess
import sys
import time

import orjson
from attrs import evolve
from behave import given, then, when

from features.builders import make_section
from mangogauge.load import (
    ArrivalKind,
    LoadAccount,
    LoadPlan,
    LoadSettings,
    make_arrivals,
)

HOSTS = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
SEED = 7
STALL_SECONDS = 2.0


def make_plan(seconds, **rates):
    accounts = [LoadAccount(name=name, rate=rate) for name, rate in rates.items()]
    return LoadPlan(LoadSettings(hosts=HOSTS, seconds=seconds), accounts)


def write_plan(context, seconds, accounts, **options):
    world = context.world
    hosts = ", ".join(f"{world.address}:{ports[0]}" for ports in world.hosts.values())
    parts = [make_section("load", hosts=hosts, seconds=seconds, **options)]
    for name, account in accounts.items():
        parts.append(make_section(f"account {name}", **account))
    path = world.folder / "plan.ini"
    path.write_text("\n".join(parts))
    return path


def run_load(path, *options):
    command = [sys.executable, "-m", "mangogauge", "load", str(path), *options]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)


def read_load(process):
    output, errors = process.communicate(timeout=300)
    assert output, errors
    return orjson.loads(output.splitlines()[-1])


@given(
    "a load plan of two accounts at {large:d} and {small:d} requests a second"
    " for {seconds:d} seconds"
)
def plan_two_accounts(context, large, small, seconds):
    context.plan = make_plan(seconds, large=large, small=small)


@given(
    'a load plan with "{kind}" arrivals of {rate:d} a second for {seconds:d} seconds'
)
def plan_arrivals(context, kind, rate, seconds):
    plan = make_plan(seconds, large=rate)
    account = evolve(plan.accounts[0], arrivals=ArrivalKind(kind))
    context.plan = evolve(plan, accounts=[account])


@given(
    "a load plan with all traffic of an account on one host,"
    " moving every {period:d} seconds"
)
def plan_moving(context, period):
    plan = make_plan(30, large=20)
    settings = evolve(plan.settings, host_skew=1.0, moving=period)
    context.plan = evolve(plan, settings=settings)


@then("its arrivals are the same each time, and others for another seed")
def check_seed(context):
    context.arrivals = make_arrivals(context.plan, SEED)
    assert context.arrivals == make_arrivals(context.plan, SEED)
    assert context.arrivals != make_arrivals(context.plan, SEED + 1)


@then("the accounts' counts are within a fifth of {large:d} and {small:d}")
def check_mix(context, large, small):
    for name, expected in (("large", large), ("small", small)):
        count = sum(1 for arrival in context.arrivals if arrival.account == name)
        assert abs(count - expected) <= expected / 5, (name, count)


@then("changing one account leaves the other's arrivals as they were")
def check_independence(context):
    large, small = context.plan.accounts
    changed = evolve(context.plan, accounts=[evolve(large, rate=80), small])
    kept = [a for a in make_arrivals(changed, SEED) if a.account == "small"]
    assert kept == [a for a in context.arrivals if a.account == "small"]


@then("its count is within a tenth of {expected:d}")
def check_count(context, expected):
    count = len(make_arrivals(context.plan, SEED))
    assert abs(count - expected) <= expected / 10, count


@then("each arrival's host follows from its time")
def check_hosts(context):
    settings = context.plan.settings
    for arrival in make_arrivals(context.plan, SEED):
        assert arrival.host == HOSTS[int(arrival.at / settings.moving) % len(HOSTS)]


@when(
    "load runs at {rate:d} requests a second for {seconds:d} seconds"
    " while the engines hang for 2 seconds"
)
def run_through_stall(context, rate, seconds):
    account = {"key": context.key, "rate": rate}
    path = write_plan(context, seconds, {"desk": account})
    samples = context.world.folder / "samples.jsonl"
    process = run_load(path, "--seed", str(SEED), "--samples", str(samples))
    engines = [context.world.get_standin(f"engine-{name}") for name in "ab"]
    while not samples.exists() or not samples.stat().st_size:
        assert process.poll() is None
        if any(engine.control()["running"] for engine in engines):
            break
    for engine in engines:
        engine.control(hanging=True)
    time.sleep(STALL_SECONDS)
    for engine in engines:
        engine.control(hanging=False)
    context.load = read_load(process)
    context.samples = [orjson.loads(row) for row in samples.read_bytes().splitlines()]


@then("all its requests are answered")
def check_answered(context):
    outcomes = context.load["all"]["outcomes"]
    assert outcomes == {"answered": context.load["planned"]}, context.load["all"]


@then(
    "at least a third of them took longer than half a second,"
    " counted from their intended start"
)
def check_charged(context):
    long = [sample for sample in context.samples if sample["seconds"] > 0.5]
    assert len(long) >= len(context.samples) / 3, (len(long), len(context.samples))


@then("the engines started each request once")
def check_started_once(context):
    started = 0
    for name in "ab":
        records = context.world.get_standin(f"engine-{name}").control()["records"]
        started += sum(1 for record in records if record["what"] == "started")
    assert started == context.load["planned"], (started, context.load["planned"])


@when("load submits {jobs:d} jobs of {items:d} items")
def submit_jobs(context, jobs, items):
    account = {"key": context.key, "batch_jobs": jobs, "batch_items": items}
    path = write_plan(context, 0.5, {"desk": account}, output_tokens=4)
    context.load = read_load(run_load(path, "--job-grace", "100"))


@then("both jobs end with all items done")
def check_jobs(context):
    jobs = context.load["jobs"]
    assert len(jobs) == 2, jobs
    for job in jobs:
        assert job["state"] == "completed" and job["done"] == job["items"], jobs
