"""Steps of keyed calls beside hosts that are paused and wake."""

import http.client

from attrs import field, frozen
from behave import then, when

from features.builders import wait_until
from features.builders.jobs import read_booking_runs
from features.steps.idempotency import check_runs, send_booking
from mangogauge.idempotency.writing import choose_writer


@frozen
class NamedMember:
    """A host as `choose_writer` sees it."""

    name = field()


def pause(context, name):
    context.paused = name
    context.world.processes[name].pause()


@when('"{host}" is paused once "{name}" runs')
def pause_runner(context, host, name):
    wait_until(lambda: read_booking_runs(context.world).get(name), f"{name} runs")
    pause(context, host)


@when(
    'the host that writes keys for "{data_centre}" is paused, and the booking "{name}" '
    'is sent to the other with the key "{key}"'
)
def send_beside_paused_writer(context, data_centre, name, key):
    members = [
        NamedMember(host) for host in context.world.hosts if host[0] == data_centre
    ]
    writer = choose_writer(members).name
    (other,) = (member.name for member in members if member.name != writer)
    for host in (writer, other):
        caller = context.jobs.get_caller(host)
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            f"the key works at {host}",
        )
    wait_until(lambda: knows(context, other, writer), f"{other} knows {writer}")
    pause(context, writer)
    send_booking(context, name, other, key)


def knows(context, host, other):
    """Return whether a host counts another among the live members."""
    state = context.world.get_operator(host).request("GET", "/state").json
    return other in state["members"]


@when("the paused host wakes")
def wake(context):
    wake_host(context, context.paused)


def wake_host(context, name):
    context.world.processes[name].resume()

    def answers():
        caller = context.jobs.get_caller(name)
        try:
            return caller.request("GET", "/v1/batches").status == 200
        except (OSError, http.client.HTTPException):
            return False

    wait_until(answers, f"{name} answers again")


@when(
    '"{names}" are paused, and the booking "{name}" is sent to "{host}" '
    'with the key "{key}"'
)
def send_beside_paused_hosts(context, names, name, host, key):
    context.paused_hosts = names.split(", ")
    for paused in context.paused_hosts:
        context.world.processes[paused].pause()
    send_booking(context, name, host, key)


@when("all paused hosts wake")
def wake_all(context):
    for name in context.paused_hosts:
        wake_host(context, name)


@then('"{name}" ran once at most')
def check_most(context, name):
    runs = read_booking_runs(context.world).get(name, 0)
    assert runs <= 1, (runs, context.keyed)


@when(
    'the platform is paused, and the booking "{name}" is sent to "{host}" '
    'with the key "{key}"'
)
def send_beside_paused_platform(context, name, host, key):
    context.world.processes["platform"].pause()
    send_booking(context, name, host, key)


@when("the paused platform wakes")
def wake_platform(context):
    context.world.processes["platform"].resume()


@then('the last keyed answer is refused and "{name}" ran {count:d} times')
def check_refused(context, name, count):
    answer = context.keyed[-1]
    assert answer.status >= 500, answer
    check_runs(context, name, count)
