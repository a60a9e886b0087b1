"""Steps of hosts of two builds, side by side and one after the other."""

from concurrent.futures import ThreadPoolExecutor

import orjson
from behave import given, then, when

from features.builders import wait_until
from features.builders.builds import check_build, find_build
from features.builders.mistakes import BASE, OVERLAYS
from features.builders.platform import PlatformDeployment
from features.steps.batch import SETTINGS
from features.steps.platform_cold import BOUNDS, start_deployment
from features.steps.platform_jobs import check_results, find_runner, submit

STREAM_EVENTS = 12
NEWS_FORMATS = {"limits": "limits 1", "cold endpoints": "cold 1"}


@given(
    'the platform with {count:d} endpoints, "{names}" of the {first} build, '
    '"{others}" of the {second}'
)
def start_both(context, count, names, first, others, second):
    start_platform(context, count)
    start_platform_hosts(context, names.split(", "), first)
    start_platform_hosts(context, others.split(", "), second)


@given(
    "the platform with {count:d} endpoints that are cold for {seconds:g} s at {rate:g} "
    'a second, "{names}" of the {first} build, "{others}" of the {second}'
)
def start_both_with_cold(context, count, seconds, rate, names, first, others, second):
    start_deployment(context, count, seconds, rate, BOUNDS)
    start_platform_hosts(context, names.split(", "), first)
    start_platform_hosts(context, others.split(", "), second)


@given('the platform with {count:d} endpoints, "{names}" of the {build:w} build')
def start_one(context, count, names, build):
    start_platform(context, count)
    start_platform_hosts(context, names.split(", "), build)


def start_platform(context, count):
    context.deployment = PlatformDeployment(context.world)
    context.deployment.write_configuration()
    for number in range(1, count + 1):
        context.deployment.start_endpoint(f"e{number}")


def start_platform_hosts(context, names, build):
    context.world.build = find_build(build)
    for name in names:
        role = "runner" if name.startswith("r") else "entry"
        process = context.deployment.start_host(name, role)
        check_build(process, build)


@when(
    '"{account}" submits {jobs:d} jobs of {items:d} items to "{first}" and "{second}" '
    "in turn, and asks both for {streams:d} streams"
)
def submit_and_ask(context, account, jobs, items, first, second, streams):
    deployment, hosts = context.deployment, (first, second)

    def ask(number):
        return deployment.ask(
            hosts[number % 2],
            "/note/1",
            f"s{number}",
            STREAM_EVENTS,
            key=f"{account}-key",
        )

    kept, context.claimants = {}, set()
    with ThreadPoolExecutor(4) as pool:
        asked = [pool.submit(ask, number) for number in range(streams)]
        for number in range(jobs):
            submit(context, account, f"j{number}", items, 10, hosts[number % 2])
            kept |= context.items
            context.claimants.add(find_runner(context, f"j{number}"))
        context.answers = [future.result() for future in asked]
    context.items = kept


@then("each stream was answered whole, as its own")
def check_streams(context):
    for number, answer in enumerate(context.answers):
        assert answer.status == 200 and answer.whole, (number, answer)
        expected = [f"s{number}-{n}" for n in range(1, STREAM_EVENTS + 1)]
        assert answer.texts == expected, (number, answer.texts)


@then('"{first}" and "{second}" both ran jobs')
def check_claimants(context, first, second):
    assert context.claimants == {first, second}, context.claimants


@then('all results of each job can be read whole at "{first}" and "{second}"')
def check_jobs(context, first, second):
    for job_id, (count, _) in context.items.items():
        check_results(context, count, job_id, first, second)


@then('"{host}" has heard from "{other}" that "{name}" leaves')
def check_leaving_heard(context, host, other, name):
    def is_heard():
        lines = context.world.processes[host].read_log().splitlines()
        rows = [orjson.loads(line) for line in lines if '"endpoint leaves"' in line]
        return [r for r in rows if r["endpoint"] == name and other in r["heard_from"]]

    wait_until(is_heard, f"{host} has heard of it")
    context.seen_ids = {row["request_id"] for row in context.deployment.list_arrivals()}


@then('"{first}" and "{second}" hear each other')
def check_hearing(context, first, second):
    for name in (first, second):
        process = context.world.processes[name]

        def is_heard(process=process):
            rows = read_lines(process, "summary")
            return bool(rows) and rows[-1]["hosts_heard"] == 1

        wait_until(is_heard, f"{name} hears the other host")


@then("no host dropped anything but news of {kind}, and none of the new build did")
def check_dropped(context, kind):
    for name in context.deployment.hosts:
        process = context.world.processes[name]
        rows = read_lines(process, "datagram dropped")
        if process.build == find_build("new"):
            assert not rows, (name, rows[:3])
        news_format = NEWS_FORMATS[kind]
        assert all(news_format in row["reason"] for row in rows), (name, rows[:3])


def read_lines(process, message):
    """Return the log lines of a host that have a message."""
    lines = process.read_log().splitlines()
    return [orjson.loads(line) for line in lines if f'"message": "{message}"' in line]


@then("both hosts admitted and refused some")
def check_both(context):
    for turn in (0, 1):
        statuses = {answer.status for answer in context.answers[turn::2]}
        assert statuses == {200, 429}, (turn, statuses)


@when('"{names}" are replaced one after the other by the {build:w} build')
def replace_hosts(context, names, build):
    for name in names.split(", "):
        process = context.world.processes[name]
        process.terminate()
        assert process.wait() == 0, process.read_log()
        # The settings file stays the one that was written for the other build.
        process.build = find_build(build)
        process.start()
        context.deployment.wait_until_ready(name)
        check_build(process, build)


@when('{count:d} results of "{job_id}" are listed at "{host}"')
def wait_for_results(context, count, job_id, host):
    # A page has 1 MB at most, and one result at least: it need not have all.
    listed = []

    def are_listed():
        answer = context.deployment.read_job(host, job_id, len(listed))
        if answer.status == 200:
            listed.extend(answer.json["results"])
        return len(listed) >= count

    wait_until(are_listed, f"{count} results are listed")


@when('"{name}" is killed, and "{other}" of the {build:w} build starts')
def replace_killed(context, name, other, build):
    context.world.processes[name].kill()
    start_platform_hosts(context, [other], build)


def run_both(context, *arguments):
    """Run a command in both builds; return how it ended in each."""
    outcomes = []
    for build in ("old", "new"):
        context.world.build = find_build(build)
        outcomes.append(context.world.run_for_code(*arguments))
    return outcomes


@when("the old build records a configuration of its own deployment")
def record_configuration(context):
    world = context.world
    world.start_platform()
    world.add_endpoint("engine-1", 7999, "a", "engine", models="small")
    world.extra = SETTINGS
    world.overlays = {"b": "[account desk]\nrate = 30\n"}
    world.build = find_build("old")
    assert world.apply_configuration("--note", "by the old build") == 1


@then("config check prints the same of each of these in both builds")
def check_files(context):
    folder = context.world.folder / "mistakes"
    folder.mkdir()
    for name, text in {"base": BASE, **OVERLAYS}.items():
        (folder / f"{name}.ini").write_text(text)
    docs = find_build("old") / "docs" / "deployment"
    files = {
        "the builders' base": context.world.write_configuration(),
        "the mistakes' base": [folder / f"{n}.ini" for n in ("base", *OVERLAYS)],
        "the old build's files": [
            docs / f"{n}.ini" for n in ("base", "north", "south", "west")
        ],
    }
    for row in context.table:
        old, new = run_both(context, "config", "check", *files[row["files"]])
        assert old.code == 0 and old.lines, (row["files"], old)
        assert new == old, (row["files"], old, new)


@then("both builds show the same recorded configuration and history")
def check_shown(context):
    address = context.world.platform_address
    for command in (["show"], ["show", "--json"], ["history"]):
        old, new = run_both(context, "config", *command, "--platform", address)
        assert old.code == 0 and old.lines, (command, old)
        assert new == old, (command, old, new)


@then("the new build sees no difference from what the old one recorded")
def check_difference(context):
    world = context.world
    paths = world.write_configuration()
    old, new = run_both(
        context, "config", "diff", *paths, "--platform", world.platform_address
    )
    assert new == old and new.code == 0, (old, new)
    assert not any(line[:1] in "+-" for line in new.lines if line), new
