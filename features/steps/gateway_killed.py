"""Steps of services that are killed within answers that have no length."""

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.builders import wait_until
from features.builders.callers import TIMEOUT_SECONDS
from features.builders.platform.runs import RunRecord

SERVICE = "desk-service"
EVENTS = 40
EVENT_SECONDS = 0.03
WITHIN_SECONDS = 0.4
DOWN_SECONDS = 2.0


@given("a host, and a service whose answers have no length")
def start_service(context):
    world = context.world
    world.start_platform()
    world.start_engine("engine-a", "a")
    world.start_engine("engine-b", "b")
    port = world.take_port()
    world.add_endpoint(SERVICE, port, "a", "service")
    context.journal = world.folder / "service.runs"
    world.programs[SERVICE] = ("features.builders.platform.unframed", ())
    address = f"{world.address}:{port}"
    world.start_process(
        SERVICE, address, SERVICE, "16", context.journal, "keeps", EVENT_SECONDS
    )
    world.routes.append(
        {
            "name": "bookings",
            "path": "/bookings/*",
            "kind": "service",
            "endpoints": SERVICE,
        }
    )
    world.apply_configuration()
    world.start_host("a1", "a")
    context.execute_steps('Given a key of the client account "desk"')


def ask(context, number):
    """Return the status, the events that came, and whether the answer looks whole."""
    world = context.world
    connection = http.client.HTTPConnection(
        world.address, world.hosts["a1"][0], timeout=TIMEOUT_SECONDS
    )
    fields = {
        "Authorization": f"Bearer {context.key}",
        "X-Request-Id": f"b{number}",
        "X-Token-Count": f"1,{EVENTS}",
    }
    try:
        connection.request("POST", f"/bookings/{number}", body=b"{}", headers=fields)
        answer = connection.getresponse()
        return answer.status, answer.read().count(b"\n\n"), True
    except http.client.IncompleteRead as error:
        return answer.status, error.partial.count(b"\n\n"), False
    except OSError:
        return 0, 0, False
    finally:
        connection.close()


@when("{count:d} callers ask the service")
def ask_all(context, count):
    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(lambda n: ask(context, n), range(count)))


@when(
    "{count:d} callers ask the service, and it is killed within their answers and is "
    "back {back}"
)
def kill_within(context, count, back):
    thread = threading.Thread(target=kill, args=(context, count, back))
    thread.start()
    ask_all(context, count)
    thread.join()


def kill(context, count, back):
    wait_until(
        lambda: len(RunRecord([context.journal]).runs) == count, "the service works"
    )
    time.sleep(WITHIN_SECONDS)
    process = context.world.processes[SERVICE]
    process.kill()
    if back == "later":
        time.sleep(DOWN_SECONDS)
    process.start()


@then("no caller has an answer that looks whole")
def check_none(context):
    assert not any(s == 200 and whole for s, _, whole in context.answers), (
        context.answers
    )


@then("each has a whole answer")
def check_whole(context):
    expected = [(200, EVENTS, True)] * len(context.answers)
    assert context.answers == expected, context.answers
