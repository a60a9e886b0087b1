"""Steps of the platform's stand-ins, and of online requests through them."""

import threading
import time

from behave import given, then, when

from features.builders import wait_until
from features.builders.platform import PlatformDeployment


@given('the platform with {count:d} endpoints, and the hosts "{names}"')
def start_deployment(context, count, names):
    context.deployment = PlatformDeployment(context.world)
    context.deployment.write_configuration()
    for number in range(1, count + 1):
        context.deployment.start_endpoint(f"e{number}")
    for name in names.split(", "):
        context.deployment.start_host(name, ready=False)
    for name in names.split(", "):
        context.deployment.wait_until_ready(name)


@given(
    'the platform with {count:d} endpoints of {slots:d} slot, and the hosts "{names}"'
)
def start_small(context, count, slots, names):
    start_deployment(context, 0, names)
    for number in range(1, count + 1):
        context.deployment.start_endpoint(f"e{number}", slots=slots)
        wait_until_known(context, f"e{number}")


def wait_until_known(context, endpoint):
    for name in context.deployment.hosts:
        process = context.world.processes[name]
        wait_until(
            lambda process=process: f'"{endpoint}"' in process.read_log(),
            f"{name} knows {endpoint}",
        )


@given('an endpoint "{name}" of another data centre that refuses connections')
def add_closed_endpoint(context, name):
    deployment = context.deployment
    deployment.endpoints[name] = f"{deployment.address}:{context.world.take_port()}"
    deployment.write_entry(name, zone="b")
    # It can't be asked what arrived there.
    del deployment.endpoints[name]
    wait_until_known(context, name)


@given('the endpoints answer "{fault}" to the next {count:d} requests')
def add_faults(context, fault, count):
    context.deployment.add_faults(fault, count)


@given("the endpoints take {seconds:g} s for an event")
def set_pace(context, seconds):
    for name in context.deployment.endpoints:
        context.deployment.control(name, event_seconds=seconds)


@given("the store is away")
def take_store_away(context):
    context.deployment.control("store", status=503)


@when("the store is back")
def bring_store_back(context):
    context.deployment.control("store", status=0)


@when("the store is away for {seconds:g} s and back")
def interrupt_store(context, seconds):
    take_store_away(context)
    time.sleep(seconds)
    bring_store_back(context)


@given("the store's watches hear nothing")
def deafen(context):
    context.deployment.control("store", deaf=True)


@when('"{account}" asks "{host}" for "{path}" with {count:d} events')
def ask(context, account, host, path, count):
    started = time.monotonic()
    key = f"{account}-key"
    context.answer = context.deployment.ask(host, path, "q1", count, key=key)
    context.seconds = time.monotonic() - started
    context.answers = [context.answer]


@when('"{account}" asks "{host}" for "{path}" claiming to be "{other}"')
def ask_forged(context, account, host, path, other):
    context.answer = context.deployment.ask(
        host, path, "q1", key=f"{account}-key", X_Tenant=other
    )


@when('"{account}" asks "{host}" {count:d} times for "{path}"')
def ask_often(context, account, host, count, path):
    context.before = len(context.deployment.list_arrivals())
    context.answers = [
        context.deployment.ask(host, path, f"q{n}", key=f"{account}-key")
        for n in range(count)
    ]


@then("the answer is the endpoint's own, with {count:d} events")
def check_answer(context, count):
    answer = context.answer
    assert answer.status == 200 and answer.whole, answer
    assert answer.headers["x-server-stamp"].startswith("stamp-e"), answer.headers
    assert answer.texts == [f"q1-{n}" for n in range(1, count + 1)], answer.texts


@then("all were answered whole")
def check_all(context):
    bad = [a for a in context.answers if a.status != 200 or not a.whole]
    assert not bad, bad


@then(
    'the endpoint saw the account "{account}", no key, '
    "and less than {patience:d} ms left"
)
def check_arrival(context, account, patience):
    arrival = context.deployment.list_arrivals()[0]
    assert arrival["account"] == account, arrival
    assert arrival["key"] is None
    assert 0 < int(arrival["patience"]) <= patience
    assert arrival["body"] == "question"


@when('these requests are sent to "{host}"')
def send_requests(context, host):
    context.rows = [
        (
            row["path"],
            int(row["answer"]),
            context.deployment.ask(host, row["path"], "q", key=row["key"]).status,
        )
        for row in context.table
    ]


@then("each was answered as the table says")
def check_rows(context):
    bad = [row for row in context.rows if row[1] != row[2]]
    assert not bad, bad


@then("nothing arrived at the endpoints")
def check_nothing(context):
    assert not context.deployment.list_arrivals()


@then("the endpoints have got it {count:d} times")
def check_attempts(context, count):
    assert len(context.deployment.list_arrivals()) == count


@then("{count:d} request arrived at the endpoints")
def check_count(context, count):
    assert len(context.deployment.list_arrivals()) == count


@then("the answer is {status:d}, and says that it may have run")
def check_unknown(context, status):
    assert context.answer.status == status, context.answer


@then("the answer is a part that doesn't look whole")
def check_part(context):
    assert context.answer.status == 200 and not context.answer.whole, context.answer


@when('"{account}" asks "{host}" for "{path}" with {count:d} events and leaves')
def ask_and_leave(context, account, host, path, count):
    deployment = context.deployment
    connection = deployment.open(host, path, "q1", count, key=f"{account}-key")
    response = connection.getresponse()
    response.read1(64)
    response.close()
    connection.close()


@then("the endpoint's work is cut")
def check_cut(context):
    def is_cut():
        return [row["state"] for row in context.deployment.list_arrivals()] == ["cut"]

    wait_until(is_cut, "the work is cut")


@given('the route "{name}" allows {milliseconds:d} ms')
def set_timeout(context, name, milliseconds):
    route = next(r for r in context.deployment.routes if r["name"] == name)
    route["timeout_ms"] = milliseconds
    context.deployment.write_configuration()
    wait_until_in_force(context)


def wait_until_in_force(context):
    """Wait until every entry host has the newest configuration."""
    version = context.deployment.version
    text = f"mangogauge_configuration_version {float(version)}"
    for name in context.deployment.hosts:
        wait_until(
            lambda name=name: text in context.deployment.read_metrics(name),
            f"{name} has configuration {version}",
        )


@when('"{name}" says that it leaves, and {seconds:g} s pass')
def leave(context, name, seconds):
    context.deployment.write_entry(name, state="draining")
    time.sleep(seconds)


@then('all requests arrived at "{name}"')
def check_place(context, name):
    arrivals = context.deployment.list_arrivals()
    assert {row["endpoint"] for row in arrivals} == {name}, arrivals
    assert len(arrivals) == len(context.answers)


@when('"{name}" is replaced at its address without a word')
def replace(context, name):
    context.deployment.replace_endpoint(name)


@when('"{name}" is killed')
def kill(context, name):
    context.world.processes[name].kill()


@given('"{name}" may send {rate:d} requests a second and {burst:d} at once')
def set_rate(context, name, rate, burst):
    account = next(a for a in context.deployment.accounts if a["name"] == name)
    account.update(rate_per_s=rate, burst=burst)
    context.deployment.write_configuration()
    wait_until_in_force(context)


@when(
    '"{account}" sends {count:d} requests to "{first}" and "{second}" '
    "in turn within a second"
)
def send_burst(context, account, count, first, second):
    hosts = (first, second)
    context.rate = next(a for a in context.deployment.accounts if a["name"] == account)
    started = time.monotonic()
    context.answers = context.deployment.run_together(
        [
            lambda n=n: context.deployment.ask(
                hosts[n % 2], "/ask/1", f"q{n}", 2, key=f"{account}-key"
            )
            for n in range(count)
        ]
    )
    context.seconds = time.monotonic() - started


@then("no more were admitted than its rate, its burst and what is spare allow")
def check_rate(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) <= {200, 429}, statuses
    # Reports take a moment: each of two hosts may admit the bucket's spare.
    allowed = context.rate["burst"] + context.rate["rate_per_s"] * context.seconds
    assert statuses.count(200) <= allowed + 20, statuses.count(200)
    assert statuses.count(429) > 0
    refused = [a for a in context.answers if a.status == 429]
    assert all(float(a.headers["retry-after"]) > 0 for a in refused)


@when('the route "{name}" is removed')
def remove_route(context, name):
    routes = context.deployment.routes
    context.deployment.routes = [r for r in routes if r["name"] != name]
    context.deployment.write_configuration()


@then('"{first}" and "{second}" refuse "{path}" by {status:d}')
def check_refused(context, first, second, path, status):
    for host in (first, second):
        wait_until(
            lambda host=host: (
                context.deployment.ask(host, path, "q", 1).status == status
            ),
            f"{host} refuses {path}",
        )


@when('a host "{name}" starts')
def start_host(context, name):
    context.deployment.start_host(name, ready=False)


@then('"{name}" is not ready, and refuses "{path}" by {status:d}')
def check_not_ready(context, name, path, status):
    def ask():
        return context.deployment.ask(name, path, "q", 1).status

    wait_until(lambda: ask() == status, f"{name} answers {status}")
    assert not context.deployment.is_ready(name)


@then('"{name}" becomes ready')
def check_ready(context, name):
    context.deployment.wait_until_ready(name)


@when(
    '"{account}" asks "{host}" for "{path}" with {count:d} events, '
    'and "{ending}" is told to end'
)
def ask_and_end(context, account, host, path, count, ending):
    process = context.world.processes[ending]
    asking = threading.Thread(target=ask, args=(context, account, host, path, count))
    asking.start()
    wait_until(context.deployment.list_arrivals, "the request runs")
    process.terminate()
    wait_until(
        lambda: not process.is_running or not context.deployment.is_ready(ending),
        "it isn't ready",
    )
    asking.join()


@then('"{name}" said that it is not ready, and ended by itself')
def check_ended(context, name):
    assert context.world.processes[name].wait() == 0
