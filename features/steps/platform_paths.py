"""Steps of hosts that lose their way to endpoints."""

import random
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders.platform.callers import Callers
from features.builders.platform.linked import LinkedDeployment
from features.builders.processes import wait_until
from features.steps.platform_jobs import find_runner

PATHS = ("/ask/1", "/note/1", "/safe/1")
UNSAFE_PATH = "/ask/1"
NOT_RUN_STATUSES = frozenset({429, 503})
EVENTS = 10
TRIES = 12
# First tries at cut-off hosts are served at least this often, beside the others'.
LEAST_SHARE = 2 / 3
SOON_SECONDS = 10


@given('the platform with {count:d} endpoints behind links, and the hosts "{names}"')
def start_deployment(context, count, names):
    deployment = context.deployment = LinkedDeployment(context.world)
    deployment.write_configuration()
    for number in range(1, count + 1):
        deployment.start_endpoint(f"e{number}")
    start_hosts(context, names.split(", "))


def start_hosts(context, names, **options):
    """Start hosts and wait until all know each other."""
    for name in names:
        context.deployment.start_host(name, ready=False, **options)
    for name in names:
        context.deployment.wait_until_ready(name)
    context.deployment.wait_until_acquainted()


@given("each host has a connection or two to endpoints")
def warm_up(context):
    answers = ask_all(context, "w", list(context.deployment.hosts), 2)
    assert all(map(is_served, answers.values())), answers


@when('"{names}" is cut off from all endpoints, {how}')
@when('"{names}" are cut off from all endpoints, {how}')
def cut(context, names, how):
    context.cut_at = time.monotonic()
    for name in names.split(", "):
        context.deployment.cut(name, how)


def ask_all(context, word, hosts, tries=TRIES):
    """Ask several hosts at the same time; return the answers by request id."""
    rows = [
        (host, PATHS[n % len(PATHS)], f"{word}-{host}-{n}")
        for n in range(tries)
        for host in hosts
    ]
    answers = context.deployment.run_together(
        [lambda row=row: context.deployment.ask(*row, EVENTS) for row in rows]
    )
    return {row[2]: answer for row, answer in zip(rows, answers, strict=True)}


def is_served(answer):
    return answer.status == 200 and answer.whole and len(answer.texts) == EVENTS


@then(
    'from {seconds:g} s after it began, first tries at "{cut}" '
    'are served as those at "{others}"'
)
def check_first_tries(context, seconds, cut, others):
    time.sleep(max(0.0, context.cut_at + seconds - time.monotonic()))
    cut, others = cut.split(", "), others.split(", ")
    context.tries = ask_all(context, "t", [*cut, *others])
    served = Counter(
        request_id.split("-")[1]
        for request_id, answer in context.tries.items()
        if is_served(answer)
    )
    statuses = Counter(answer.status for answer in context.tries.values())
    for host in others:
        assert served[host] == TRIES, (served, statuses)
    for host in cut:
        assert served[host] >= LEAST_SHARE * TRIES, (served, statuses)


@given(
    "the platform with {count:d} endpoints behind links, "
    'of which one data centre has the hosts "{first}", another "{second}"'
)
def start_data_centres(context, count, first, second):
    start_deployment(context, count, first)
    start_hosts(context, second.split(", "), zone="b")


@when('"{names}" is cut off from "{endpoints}", {how}')
@when('"{names}" are cut off from "{endpoints}", {how}')
def cut_some(context, names, endpoints, how):
    context.cut_at = time.monotonic()
    for name in names.split(", "):
        context.deployment.cut(name, how, endpoints.split(", "))


@when("the cut has lasted {seconds:g} s")
def wait_within_cut(context, seconds):
    time.sleep(max(0.0, context.cut_at + seconds - time.monotonic()))


@when('the cut of "{name}" ends')
def restore(context, name):
    context.deployment.restore(name)


@given("callers ask all hosts again and again")
def start_callers(context):
    context.callers = Callers(context.deployment, PATHS, EVENTS)
    context.world.callers = context.callers
    context.callers.wait_for_answers()


@then('"{host}" has served all that came since')
def check_served_since(context, host):
    rows = context.callers.stop()
    came = [row for row in rows if row.host == host and row.at > context.cut_at]
    bad = [row for row in came if not is_served(row.answer)]
    assert came and not bad, bad


@then("no request was refused by 422")
def check_none_condemned(context):
    bad = [row for row in context.callers.stop() if row.answer.status == 422]
    assert not bad, bad


@then('"{host}" goes on to send requests to each endpoint, and has ejected none')
def check_spread(context, host):
    deployment = context.deployment
    before = deployment.count_direct_bytes(host)
    wait_until(
        lambda: is_each_used(deployment, host, before),
        f"{host} uses each endpoint",
        SOON_SECONDS,
    )
    assert "endpoint ejected" not in context.world.processes[host].read_log()


@then('"{host}" uses each endpoint by itself again')
def check_direct(context, host):
    deployment = context.deployment
    before = deployment.count_direct_bytes(host)

    def ask_and_count():
        ask_all(context, "d", [host])
        return is_each_used(deployment, host, before)

    wait_until(ask_and_count, f"{host} uses each endpoint", SOON_SECONDS)


def is_each_used(deployment, host, before):
    """Return whether a host has sent something to each endpoint since `before`."""
    counts = deployment.count_direct_bytes(host)
    return all(counts[name] > before[name] for name in deployment.links)


@when('{count:d} callers of "{host}" read streams of "{path}" with {events:d} events')
def start_streams(context, count, host, path, events):
    deployment = context.deployment
    context.events = events
    pool = ThreadPoolExecutor(count)
    context.streams = [
        pool.submit(deployment.ask, host, path, f"s{n}", events) for n in range(count)
    ]

    def count_running():
        rows = deployment.list_arrivals()
        assert not [s for s in context.streams if s.done()], "a stream ended"
        return sum(row["state"] == "running" for row in rows) >= count

    wait_until(count_running, "all streams run")


@then("these streams end whole")
def check_streams(context):
    for number, stream in enumerate(context.streams):
        answer = stream.result()
        texts = [f"s{number}-{n}" for n in range(1, context.events + 1)]
        assert (answer.status, answer.whole) == (200, True), answer
        assert answer.texts == texts, answer.texts


@when("callers are answered at all hosts again")
def wait_for_answers(context):
    context.callers.wait_for_answers()


@then(
    '"{host}" has served from {first:g} s to {last:g} s of the cut as "{others}" have'
)
def check_served_within(context, host, first, last, others):
    rows = context.callers.stop()
    within = [r for r in rows if first <= r.at - context.cut_at <= last]
    asked = Counter(row.host for row in within)
    served = Counter(row.host for row in within if is_served(row.answer))
    for other in others.split(", "):
        assert served[other] == asked[other], (served, asked)
    assert served[host] >= LEAST_SHARE * asked[host] > 0, (served, asked)


@then("no unsafe request ran twice, and none that was refused ran")
def check_runs(context):
    rows = context.callers.stop()
    runs = Counter(row["request_id"] for row in context.deployment.list_arrivals())
    unsafe = [row for row in rows if row.path == UNSAFE_PATH]
    twice = [row for row in unsafe if runs[row.request_id] > 1]
    assert unsafe and not twice, twice
    refused = [row for row in rows if row.answer.status in NOT_RUN_STATUSES]
    ran = [row for row in refused if runs[row.request_id]]
    assert not ran, ran


@when('a caller of "{host}" for "{path}" leaves within the answer')
def leave(context, host, path):
    connection = context.deployment.open(host, path, "q1", 2000)
    response = connection.getresponse()
    assert response.status == 200, response.read()
    response.read1(64)
    response.close()
    connection.close()


@when('a caller of "{host}" sends {megabytes:d} MB of any bytes to "{path}"')
def send_bytes(context, host, megabytes, path):
    context.sent = random.Random(1).randbytes(megabytes * 2**20)
    context.answer = context.deployment.request(
        host,
        "POST",
        path,
        "q1",
        body=context.sent,
        X_Token_Count=f"50,{EVENTS}",
        X_Model="m",
    )


@then("they came to an endpoint as they were, once, and its answer came back whole")
def check_bytes(context):
    answer = context.answer
    assert is_served(answer), answer
    (arrival,) = context.deployment.list_arrivals()
    assert arrival["body"].encode("latin-1") == context.sent
    stamp = f"stamp-{arrival['endpoint']}"
    assert answer.headers["x-server-stamp"] == stamp, answer.headers


@when('callers of "{host}" ask for "{path}" with 300, 500, 700 and 900 ms to wait')
def ask_in_haste(context, host, path):
    deployment = context.deployment
    context.answers = deployment.run_together(
        [
            lambda ms=ms: deployment.ask(host, path, f"q{ms}", X_Deadline_Ms=ms)
            for ms in (300, 500, 700, 900)
        ]
    )


@then("all are refused as not run")
def check_not_run(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) <= NOT_RUN_STATUSES, statuses


@when("{seconds:g} s has passed")
def wait(context, seconds):
    time.sleep(seconds)


@then('first tries at "{names}" are served')
def check_served(context, names):
    hosts = names.split(", ")
    answers = ask_all(context, "t", hosts)
    served = Counter(i.split("-")[1] for i, a in answers.items() if is_served(a))
    statuses = Counter(answer.status for answer in answers.values())
    for host in hosts:
        assert served[host] >= LEAST_SHARE * TRIES, (served, statuses)


@when('the runner that has "{job_id}" is cut off from all endpoints, {how}')
def cut_runner(context, job_id, how):
    wait_until(context.deployment.list_arrivals, "items run")
    context.deployment.cut(find_runner(context, job_id), how)


@when('"{name}" is killed and starts again')
def restart(context, name):
    context.world.processes[name].kill()
    context.world.processes[name].start()
    context.deployment.wait_until_ready(name)


@when('"{name}" crashes')
def crash(context, name):
    context.deployment.crash_endpoint(name)


@when('"{name}" is told to stop')
def stop(context, name):
    process = context.world.processes[name]
    process.terminate()
    wait_until(lambda: '"draining"' in process.read_log(), f"{name} drains")


@when('"{name}" is silent for {seconds:g} s')
def pause(context, name, seconds):
    context.world.processes[name].pause()
    time.sleep(seconds)
    context.world.processes[name].resume()
    context.callers.wait_for_answers()


@then('"{first}" and "{second}" have served all, each unsafe request once')
def check_all_served(context, first, second):
    rows = context.callers.stop()
    bad = [row for row in rows if not is_served(row.answer)]
    assert not bad, bad
    check_runs(context)
