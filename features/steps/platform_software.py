"""Steps of streams at endpoints of several software versions."""

import threading
import time
from collections import defaultdict

from behave import given, then, when

from features.builders.platform.takeups import StreamCallers
from features.builders.processes import wait_until
from features.steps.platform import take_store_away
from features.steps.platform_detour import LINK, cut_link
from mangogauge.jobs.keys import make_progress_key

# Longer than hosts take to tell each other, and to record, which streams they began.
TOLD_SECONDS = 1.0
EVENT_SECONDS = 0.03
STALLED_SECONDS = 3600.0
# Long enough for all callers to have sent their requests to a host that stands still.
SENT_SECONDS = 0.5


def add_endpoints(context, software, count, hosts=None):
    """Start endpoints; wait until these hosts, or all that run, have heard of them."""
    deployment = context.deployment
    first = len(context.software) + 1
    names = [f"e{number}" for number in range(first, first + count)]
    for name in names:
        context.software[name] = software
        deployment.start_endpoint(name, version=software)
        deployment.control(name, event_seconds=EVENT_SECONDS)
    wait_until_heard(context, '"message": "endpoint"', names, hosts)


def remove_endpoints(context, software):
    """Let endpoints leave; they go on answering for a while."""
    deployment = context.deployment
    names = [name for name, its in context.software.items() if its == software]
    for name in names:
        deployment.control("store", delete=[f"servers/{name}"])
    if any(is_running(context, host) for host in deployment.hosts):
        wait_until_heard(context, "endpoint's entry gone", names)


def is_running(context, host):
    return context.world.processes[host].is_running


def wait_until_heard(context, message, names, hosts=None):
    """Wait until the logs of all hosts that run have such a line for each name."""
    for host in hosts or context.deployment.hosts:
        process = context.world.processes[host]
        if process.is_running:
            wait_until(
                lambda process=process: has_heard(process, message, names),
                f"{host} hears of {names}",
            )


def has_heard(process, message, names):
    lines = [line for line in process.read_log().splitlines() if message in line]
    return all(any(f'"{name}"' in line for line in lines) for name in names)


@given('{old:d} endpoints of the version "{first}" and {new:d} of "{second}"')
def start_versions(context, old, first, new, second):
    context.software = {}
    context.callers = StreamCallers(context.deployment)
    add_endpoints(context, first, old)
    add_endpoints(context, second, new)


@when('{count:d} endpoints of "{software}" come, and those of "{other}" leave')
def replace_version(context, count, software, other):
    add_endpoints(context, software, count)
    remove_endpoints(context, other)


@given('the host "{name}" in the data centre "{zone}"')
def start_host(context, name, zone):
    context.deployment.start_host(name, zone=zone)


@when('{count:d} endpoints of "{software}" come')
def add_version(context, count, software):
    # The other hosts may be cut off.
    add_endpoints(context, software, count, hosts=["h1"])


@when('{count:d} endpoints of "{software}" come, and "{host}" hears of them')
def add_version_at(context, count, software, host):
    add_endpoints(context, software, count, hosts=[host])


@when('the endpoints of "{software}" leave')
def leave(context, software):
    remove_endpoints(context, software)


@when('"desk" asks "{host}" {count:d} times for "/note/1", each as a stream of its own')
def ask_streams(context, host, count):
    context.callers.ask(host, count)


@when('{count:d} streams begin at "{host}" and break off')
@when('{count:d} more streams begin at "{host}" and break off')
def begin(context, count, host):
    context.callers.begin(host, count)
    time.sleep(TOLD_SECONDS)


@when("nothing else happens")
def do_nothing(context):
    """Do nothing: the callers take their streams up at once."""


@when('"{names}" end')
def end_hosts(context, names):
    for name in names.split(", "):
        context.world.processes[name].kill()


@when('"{names}" start anew')
def start_hosts(context, names):
    for name in names.split(", "):
        context.world.processes[name].start()
    for name in names.split(", "):
        context.deployment.wait_until_ready(name)


@when('"{names}" end and start anew')
def restart_hosts(context, names):
    end_hosts(context, names)
    start_hosts(context, names)


@when('they are taken up at "{host}"')
def take_up(context, host):
    context.callers.take_up(host)


@given("the store has been away for {seconds:g} s")
def have_store_away(context, seconds):
    context.deployment.wait_until_acquainted()
    take_store_away(context)
    time.sleep(seconds)


@when('"{host}" stands still')
def pause_host(context, host):
    context.world.processes[host].pause()


@when("the store takes {seconds:g} s for an answer")
def slow_store(context, seconds):
    context.deployment.control("store", delay=seconds)


@when('they are taken up at "{host}", which goes on meanwhile')
def take_up_at_woken(context, host):
    wake = threading.Timer(SENT_SECONDS, context.world.processes[host].resume)
    wake.start()
    context.callers.take_up(host)
    wake.join()


@when('"{host}" is cut off from the store and all other hosts')
def cut_off(context, host):
    cut_link(context, host)
    for name in set(context.deployment.hosts) - {host}:
        context.world.processes[name].kill()
    # Hosts that start later don't know of it then.
    key = f"members/{host}"
    wait_until(
        lambda: not any(k.startswith(key) for k in context.deployment.read_store()),
        f"{host} is no longer registered",
    )


@when('"{host}" reaches the store again')
def heal_link(context, host):
    context.world.set_faults(LINK, cut_forward=False, cut_backward=False)


@when('they are taken up at "{host}", without saying which')
def take_up_unsaid(context, host):
    context.callers.take_up(host, says_which=False)


def list_versions(context):
    """Return the versions that have sent events of each stream."""
    versions = defaultdict(set)
    for arrival in context.deployment.list_arrivals():
        stream = arrival["request_id"].partition("-")[0]
        versions[stream].add(context.software[arrival["endpoint"]])
    return versions


@then("no stream holds events of two versions")
def check_versions(context):
    mixed = {s: v for s, v in list_versions(context).items() if len(v) > 1}
    assert not mixed, (len(mixed), mixed)


@then("at least {count:d} of them were answered whole")
def check_whole(context, count):
    whole = context.callers.list_whole()
    assert len(whole) >= count, (len(whole), context.callers.answers)


@then("each of them was answered whole or refused")
def check_whole_or_refused(context):
    whole = context.callers.list_whole()
    for stream, answer in context.callers.answers.items():
        assert stream in whole or answer.status == 503, (stream, answer)


@then('those that "{software}" began were answered whole, the others refused')
def check_by_version(context, software):
    whole = context.callers.list_whole()
    versions = list_versions(context)
    for stream, answer in context.callers.answers.items():
        if software in versions[stream]:
            assert stream in whole, (stream, answer)
        else:
            assert answer.status == 503, (stream, answer)


@when('the endpoints of "{software}" send no more events')
def stall(context, software):
    for name, its in context.software.items():
        if its == software:
            context.deployment.control(name, event_seconds=STALLED_SECONDS)


@given('the endpoints of "{software}" lose their answers to "{word}"')
def lose_answers(context, software, word):
    for name, its in context.software.items():
        if its == software:
            context.deployment.control(name, faults={word: "lost"})


@when("{count:d} items have arrived")
def wait_for_items(context, count):
    def list_items():
        return {row["request_id"] for row in context.deployment.list_arrivals()}

    wait_until(lambda: len(list_items()) == count, f"{count} items have arrived")


@when('progress of "{job_id}" is recorded')
def wait_for_progress(context, job_id):
    key = make_progress_key(job_id)
    wait_until(lambda: key in context.deployment.read_store(), key)


@then("no item went on at another version")
def check_items(context):
    arrivals = sorted(context.deployment.list_arrivals(), key=lambda row: row["at"])
    began_at = {}
    for arrival in arrivals:
        item, software = arrival["request_id"], context.software[arrival["endpoint"]]
        if arrival["last_event"] is None:
            began_at[item] = software
        assert began_at[item] == software, [
            r for r in arrivals if r["request_id"] == item
        ]
