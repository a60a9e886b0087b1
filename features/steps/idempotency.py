"""Steps of keyed online calls."""

import threading
from collections import defaultdict

from behave import given, then, when

from features.builders import wait_until
from features.builders.jobs import read_booking_runs


@given("the keyed service delays its answers")
def hold_answers(context):
    context.world.get_standin("desk-service").control(hanging=True)


@given("the keyed service is not running")
def stop_service(context):
    context.world.processes["desk-service"].kill()


@given("the keyed service is running again")
def restart_service(context):
    context.world.processes["desk-service"].start()


@given("the platform is down for keyed calls")
def stop_platform(context):
    context.world.get_standin("platform").control(down=True)


@given("the platform is up for keyed calls")
def restore_platform(context):
    context.world.get_standin("platform").control(down=False)


@given("the platform loses the answers of the next {count:d} keyed writes")
def lose_keyed_answers(context, count):
    context.world.get_standin("platform").control(lose_answers=count)


@when('a booking "{name}" is sent to "{host}" with the key "{key}"')
def send_booking(context, name, host, key):
    if not hasattr(context, "keyed"):
        context.keyed = []
    context.keyed.append(_send(context, name, host, key))


@when(
    'a booking "{name}" with the key "{key}" is sent to "{first}", then to "{second}"'
)
def send_one_by_one(context, name, key, first, second):
    context.keyed = []
    context.threads = []
    for host in (first, second):
        thread = threading.Thread(
            target=lambda host=host: context.keyed.append(
                _send(context, name, host, key)
            )
        )
        thread.start()
        context.threads.append(thread)
        wait_until(lambda: read_booking_runs(context.world), "the booking runs")


@when(
    'a caller of "{host}" sends the booking "{name}" with the key "{key}"'
    " and disconnects"
)
def send_and_disconnect(context, host, name, key):
    headers = {"Idempotency-Key": key, "X-Reference": name}
    caller = context.jobs.get_caller(host)
    connection = caller.open("POST", "/bookings/new", name.encode(), headers)
    wait_until(lambda: read_booking_runs(context.world), "the booking runs")
    connection.close()


@when('the keyed service answers again once "{name}" runs')
def release_answers(context, name):
    wait_until(lambda: read_booking_runs(context.world).get(name), f"{name} runs")
    context.world.get_standin("desk-service").control(hanging=False)
    for thread in getattr(context, "threads", ()):
        thread.join()


@when('the batch host "{host}" is killed once "{name}" runs')
def kill_runner(context, host, name):
    wait_until(lambda: read_booking_runs(context.world).get(name), f"{name} runs")
    context.world.processes[host].kill()


@when(
    "{count:d} bookings with keys are sent {times:d} times each to both hosts at once"
)
def send_many(context, count, times):
    platform = context.world.get_standin("platform")
    context.counts_before = platform.control()["counts"]
    context.by_name = defaultdict(list)
    threads = []
    for number in range(count):
        for turn in range(times):
            name, host = f"many-{number}", ("a1", "b1")[turn % 2]
            thread = threading.Thread(
                target=lambda n=name, h=host: context.by_name[n].append(
                    _send(context, n, h, n)
                )
            )
            thread.start()
            threads.append(thread)
    for thread in threads:
        thread.join()
    context.counts_after = platform.control()["counts"]


@then("each keyed booking has one answer and ran once")
def check_many(context):
    runs = read_booking_runs(context.world)
    for name, answers in context.by_name.items():
        assert {a.status for a in answers} == {200}, answers
        assert {a.body for a in answers} == {name.encode()}, answers
        assert runs[name] == 1, (name, runs[name])


@then("the keyed bookings took fewer than {limit:d} writes")
def check_writes(context, limit):
    name = "write:keyed"
    counts = [c for c in context.counts_after if c.startswith("write:keyed/")]
    total = sum(context.counts_after[c] for c in counts)
    total -= sum(context.counts_before.get(c, 0) for c in counts)
    print(f"{total} writes ({name})")
    assert 0 < total < limit, total


@then('all keyed answers are the same, and "{name}" ran once')
def check_same_answers(context, name):
    assert {a.status for a in context.keyed} == {200}, context.keyed
    assert {a.body for a in context.keyed} == {name.encode()}, context.keyed
    check_runs(context, name, 1)


@then('the last keyed answer is the service\'s, and "{name}" ran once')
def check_last_answer(context, name):
    answer = context.keyed[-1]
    assert (answer.status, answer.body) == (200, name.encode()), answer
    check_runs(context, name, 1)


@then('"{name}" ran {count:d} times')
def check_runs(context, name, count):
    runs = read_booking_runs(context.world)
    assert runs.get(name, 0) == count, runs


@then('the last keyed answer is refused as "{code}", executed "{executed}"')
def check_refusal(context, code, executed):
    answer = context.keyed[-1]
    error = answer.json["error"]
    assert (error["code"], error["executed"]) == (code, executed), answer


@then('the last keyed answer is refused with executed "{executed}"')
def check_refused(context, executed):
    answer = context.keyed[-1]
    assert answer.status >= 500, answer
    assert answer.json["error"]["executed"] == executed, answer


@then('a keyed chat through "{host}" is answered')
def check_keyed_chat(context, host):
    answer = context.jobs.get_caller(host).chat(
        "hello", headers={"Idempotency-Key": "chat-1"}
    )
    assert answer.status == 200, answer


def _send(context, name, host, key):
    headers = {"Idempotency-Key": key, "X-Reference": name}
    return context.jobs.get_caller(host).request(
        "POST", "/bookings/new", name.encode(), headers
    )
