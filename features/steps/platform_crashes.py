"""Steps of requests that crash the endpoints that run them."""

import http.client
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders.processes import wait_until

# Between two requests: longer than a caller's own pause before the next try.
STEADY_GAP_SECONDS = 0.5
PAUSE_SECONDS = 0.5
POLL_SECONDS = 0.02
RECORDED = '"quarantine record written"'
# The item whose runs crash endpoints.
CRASHING = "j1-2"


def count_crashed(context):
    return len(list_crashed(context))


def list_crashed(context):
    processes = context.world.processes
    return [n for n in context.deployment.endpoints if not processes[n].is_running]


@when(
    '"{account}" sends "{word}" for "{path}" {count:d} times, '
    'to "{first}" and "{second}" in turn'
)
def send_in_turn(context, account, word, path, count, first, second):
    for number in range(count):
        host = second if number % 2 else first
        context.answer = context.deployment.ask(
            host, path, f"{word}-{number}", key=f"{account}-key"
        )
        time.sleep(PAUSE_SECONDS)


def ask_with_parts(context, host, parts, name, route="ask"):
    """Ask for a stream whose prompt has these parts and one of its own."""
    names = [*parts.split("+"), f"own-{name}"]
    prefix = ",".join(f"{part}:100" for part in names)
    return context.deployment.ask(
        host, f"/{route}/{name}", f"r-{name}", X_Prompt_Prefix=prefix
    )


@when(
    '"desk" asks "{first}" and "{second}" in turn for {count:d} different prompts '
    'with "{crashing}", and each time for one with "{sound}"'
)
def ask_for_crashing_and_sound(context, first, second, count, crashing, sound):
    for number in range(count):
        host = second if number % 2 else first
        context.answer = ask_with_parts(context, host, crashing, f"bad-{number}")
        time.sleep(PAUSE_SECONDS)
        ask_with_parts(context, host, sound, f"good-{number}")


@when('"desk" asks "{host}" for {count:d} different prompts with "{parts}"')
def ask_for_prompts(context, host, count, parts):
    context.answers = [
        ask_with_parts(context, host, parts, f"{host}-{parts}-{number}")
        for number in range(count)
    ]


@when(
    '"desk" asks "{first}" and "{second}" for {count:d} streams of {events:d} events '
    'with "{part}", and {killed:d} endpoints are killed meanwhile, one every '
    "{gap:g} s"
)
def kill_within_answers(context, first, second, count, events, part, killed, gap):
    deployment = context.deployment
    with ThreadPoolExecutor(count) as pool:
        asked = ask_for_streams(pool, deployment, (first, second), count, events, part)
        for name in list(deployment.endpoints)[:killed]:
            time.sleep(gap)
            context.world.processes[name].kill()
        context.answers = [future.result() for future in asked]


def ask_for_streams(pool, deployment, hosts, count, events, part):
    """Ask hosts in turn for streams whose prompts share a part; return futures."""
    return [
        pool.submit(
            deployment.ask,
            hosts[number % 2],
            f"/ask/{number}",
            f"s-{number}",
            events,
            X_Prompt_Prefix=f"{part}:100,own-{number}:100",
        )
        for number in range(count)
    ]


@when(
    '"desk" asks "{first}" and "{second}" for {count:d} streams of {events:d} events '
    'with "{part}", and all endpoints are killed {after:g} s later and back after '
    "{down:g} s"
)
def kill_all_at_once(context, first, second, count, events, part, after, down):
    deployment = context.deployment
    with ThreadPoolExecutor(count) as pool:
        asked = ask_for_streams(pool, deployment, (first, second), count, events, part)
        time.sleep(after)
        for name in deployment.endpoints:
            context.world.processes[name].kill()
        time.sleep(down)
        for name in deployment.endpoints:
            deployment.restart_endpoint(name)
        for future in asked:
            future.result()


@when(
    '"desk" asks "{first}" and "{second}" for {count:d} prompts with "{parts}", '
    "two a second"
)
def ask_steadily(context, first, second, count, parts):
    with ThreadPoolExecutor(count) as pool:
        asked = []
        for number in range(count):
            host = (first, second)[number % 2]
            asked.append(
                pool.submit(ask_with_parts, context, host, parts, f"later-{number}")
            )
            time.sleep(STEADY_GAP_SECONDS)
        context.answers = [future.result() for future in asked]


@given("the store stays {word}")
def set_store(context, word):
    context.deployment.control("store", status=503 if word == "away" else 0)


@then("none was refused by 422, and the last {count:d} were answered whole")
def check_let_go(context, count):
    statuses = [answer.status for answer in context.answers]
    assert 422 not in statuses, statuses
    late = context.answers[-count:]
    assert all(a.status == 200 and a.whole for a in late), statuses


@then("none of them was refused, and some were answered whole")
def check_none_refused(context):
    statuses = [answer.status for answer in context.answers]
    assert not {422, 503} & set(statuses), statuses
    assert any(a.status == 200 and a.whole for a in context.answers), statuses


@when("{seconds:g} s pass for the endpoints")
def pass_time(context, seconds):
    time.sleep(seconds)


@when('the host "{name}" starts, and {seconds:g} s pass')
def start_another_host(context, name, seconds):
    context.deployment.start_host(name)
    time.sleep(seconds)


@when('"{first}" and "{second}" are killed together and start anew')
def restart_together(context, first, second):
    processes = [context.world.processes[name] for name in (first, second)]
    wait_until(
        lambda: any(RECORDED in process.read_log() for process in processes),
        "the quarantine is recorded",
    )
    for process in processes:
        process.kill()
    for process in processes:
        process.wait()
        process.start()
    for name in (first, second):
        context.deployment.wait_until_ready(name)


@then("all were refused with {status:d}")
def check_all_refused(context, status):
    assert {answer.status for answer in context.answers} == {status}, context.answers


@then("{count:d} endpoints have crashed, and the last answer is {status:d}")
def check_refused(context, count, status):
    assert count_crashed(context) == count
    assert context.answer.status == status, context.answer


@when('"desk" asks "{host}" for a stream that may be resumed, with "{parts}"')
def ask_for_resumable(context, host, parts):
    ask_with_parts(context, host, parts, f"{host}-{parts}", "note")


@then('{count:d} endpoints at most have crashed, and "{host}" has noted each')
def check_noted_crashes(context, count, host):
    check_crashes_at_most(context, count)

    def has_noted_all():
        log = context.world.processes[host].read_log()
        return log.count('"endpoint crashed within') >= count_crashed(context)

    wait_until(has_noted_all, f"{host} notes the crashes")


@then("{count:d} endpoints at most have crashed")
def check_crashes_at_most(context, count):
    time.sleep(PAUSE_SECONDS)
    assert 0 < count_crashed(context) <= count, list_crashed(context)


@then("{count:d} endpoints at most have crashed, and the last answer is {status:d}")
def check_crashes_and_refusal(context, count, status):
    assert count_crashed(context) <= count, list_crashed(context)
    assert context.answer.status == status, context.answer


@when("{count:d} endpoints or more have crashed")
def wait_for_crashes(context, count):
    wait_until(lambda: count_crashed(context) >= count, f"{count} endpoints crashed")


def make_sound(context, name, word):
    """Let an endpoint crash no more; return whether it lives."""
    try:
        context.deployment.control(name, faults={word: ""})
    except (OSError, http.client.HTTPException):
        # It crashed in this moment.
        return False
    return True


@when("all endpoints are there again, and sound")
def mend(context, word=CRASHING):
    for name in context.deployment.endpoints:
        process = context.world.processes[name]
        if process.is_running and make_sound(context, name, word):
            continue
        context.deployment.restart_endpoint(name)


@when('all endpoints are there again, and run requests for "{word}"')
def mend_for_word(context, word):
    mend(context, word)


@when("endpoints that crash come back as they were, for {seconds:d} s")
def restart_crashed(context, seconds):
    context.crashes = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in list_crashed(context):
            context.crashes += 1
            context.deployment.restart_endpoint(name, CRASHING)
        time.sleep(POLL_SECONDS)


@then("endpoints have crashed {count:d} times at most")
def check_crashes(context, count):
    assert 0 < context.crashes <= count, context.crashes


@then('{count:d} results of "{job_id}" can be read at "{host}"')
def check_items(context, count, job_id, host):
    def count_results():
        return len(context.deployment.read_job(host, job_id).json["results"])

    wait_until(lambda: count_results() >= count, f"{count} results")
    assert count_results() == count
