"""Steps of requests that crash endpoints."""

from threading import Thread

from behave import given, then, when

from features.builders import make_text, run_together, wait_until
from mangogauge.clock import ManualClock
from mangogauge.routing import Quarantine, QuarantineStatus

CRASHING = "please CRASH-ENGINE now"
TOKENS = 8


def split_names(text):
    return text.split(", ")


@given(
    'quarantine: hosts "{hosts}" and "{other}" before {count:d} engines in "a" '
    'and {others:d} in "b"'
)
def start_engines_and_hosts(context, hosts, other, count, others):
    world = context.world
    world.start_platform()
    for data_centre, number in (("a", count), ("b", others)):
        for n in range(number):
            options = ("--step-seconds", 0.03)
            world.start_engine(f"engine-{data_centre}{n}", data_centre, options)
    world.apply_configuration()
    for host in [*split_names(hosts), other]:
        world.start_host(host, host[0])
    key = world.grant_key()
    context.callers = {h: world.get_caller(h, key) for h in world.hosts}
    for host, caller in context.callers.items():
        wait_until(
            lambda caller=caller: caller.request("GET", "/v1/batches").status == 200,
            f"the key works at {host}",
        )
        wait_until(
            lambda host=host: (
                len(read_operator(context, host, "/state")["members"])
                == len(world.hosts)
            ),
            f"{host} lists all hosts as members",
        )


def read_operator(context, host, path):
    return context.world.get_operator(host).request("GET", path).json


@when('quarantine: a request that crashes engines is sent at "{host}"')
def send_crashing(context, host):
    context.answer = context.callers[host].chat(CRASHING, max_tokens=TOKENS)


@then("quarantine: it is refused as quarantined")
def check_refused(context):
    assert context.answer.code == "request_quarantined", context.answer
    assert context.answer.json["error"]["executed"] == "unknown", context.answer


@then("quarantine: at most {count:d} engines have crashed")
def check_crashes(context, count):
    world = context.world
    crashed = [n for n in world.endpoints if not world.processes[n].is_running]
    assert len(crashed) <= count, crashed


@then("quarantine: every host lists it as condemned")
def check_listed_as_condemned(context):
    for host in context.world.hosts:
        wait_until(
            lambda host=host: read_operator(context, host, "/quarantine")["condemned"],
            f"{host} lists it as condemned",
        )


@when('quarantine: the caller sends it again at "{hosts}"')
def send_again(context, hosts):
    context.answers = [
        context.callers[h].chat(CRASHING, max_tokens=TOKENS) for h in split_names(hosts)
    ]


@then('quarantine: each is refused as quarantined with executed "{executed}"')
def check_all_refused(context, executed):
    for answer in context.answers:
        assert answer.code == "request_quarantined", answer
        assert answer.json["error"]["executed"] == executed, answer


@when("quarantine: the engines are started again and {count:d} chats are asked for")
def restart_and_request(context, count):
    world = context.world
    for name in world.endpoints:
        if not world.processes[name].is_running:
            world.processes[name].start()
    context.chats = request_chats(context, count)


def request_chats(context, count):
    hosts = list(context.callers)

    def ask(number):
        caller = context.callers[hosts[number % len(hosts)]]
        prompt = f"innocent question {number}"
        return prompt, caller.chat(prompt, max_tokens=TOKENS)

    return run_together(ask, range(count), 12)


@then("quarantine: each chat was answered")
def check_chats(context):
    for prompt, answer in context.chats:
        assert answer.status == 200, (prompt, answer)
        text = answer.json["choices"][0]["message"]["content"]
        assert text == make_text(prompt, TOKENS), (prompt, answer)


@when("quarantine: {count:d} chats run while a request that crashes engines is sent")
def run_beside(context, count):
    def crash():
        context.answer = context.callers["a1"].chat(CRASHING, max_tokens=TOKENS)

    thread = Thread(target=crash, daemon=True)
    thread.start()
    context.chats = request_chats(context, count)
    thread.join()


@then("quarantine: the crashing request is refused and each chat was answered")
def check_both(context):
    check_refused(context)
    check_chats(context)


@given("quarantine: a quarantine with a manual clock")
def make_quarantine(context):
    context.clock = ManualClock()
    context.quarantine = Quarantine("here", context.clock)


@given("quarantine: a quarantine of another host")
def make_other(context):
    context.other_host = Quarantine("elsewhere", context.clock)


@when('quarantine: "{names}" ran at a crash of "{endpoint}"')
def record_crash(context, names, endpoint):
    context.quarantine.note_crash(endpoint, split_names(names))
    context.quarantine.condemn_suspects(endpoint)


@when('quarantine: at the other host "{names}" ran at a crash of "{endpoint}"')
def record_crash_at_other_host(context, names, endpoint):
    context.other_host.note_crash(endpoint, split_names(names))
    context.other_host.condemn_suspects(endpoint)


@when("quarantine: the hosts exchange their quarantines")
def exchange(context):
    here, there = context.quarantine.export(), context.other_host.export()
    context.quarantine.merge(there)
    context.other_host.merge(here)


@when('quarantine: "{name}" is answered on its trial at "{endpoint}"')
def answer_trial(context, name, endpoint):
    assert context.quarantine.begin_trial(name, endpoint)
    context.quarantine.end_trial(name, endpoint, answered=True)


@when(
    'quarantine: trial of "{name}" at "{endpoint}", '
    'which crashes while it runs "{names}"'
)
def crash_trial(context, name, endpoint, names):
    assert context.quarantine.begin_trial(name, endpoint)
    record_crash(context, names, endpoint)


@when(
    'quarantine: trial of "{name}" begins at "{endpoint}", '
    'then its old crash is reported for "{late}"'
)
def report_late(context, name, endpoint, late):
    assert context.quarantine.begin_trial(name, endpoint)
    record_crash(context, late, endpoint)


@when("quarantine: {seconds:d} seconds pass")
def advance(context, seconds):
    context.clock.advance(seconds)


@then('quarantine: "{first}" and "{second}" are suspects')
def check_suspects(context, first, second):
    for name in (first, second):
        assert context.quarantine.get_status(name) is QuarantineStatus.SUSPECT, name


@then('quarantine: only one of them may run at "{endpoint}" at a time')
def check_one_trial_at_a_time(context, endpoint):
    assert context.quarantine.begin_trial("x", endpoint)
    assert not context.quarantine.begin_trial("y", endpoint)


@then('quarantine: "{name}" is {expected}')
def check_status(context, name, expected):
    assert context.quarantine.get_status(name) is QuarantineStatus(expected), name


@when("quarantine: the hosts exchange quarantines each second, for {seconds:d} seconds")
def exchange_for_long(context, seconds):
    for _ in range(seconds):
        context.clock.advance(1)
        exchange(context)


@then('quarantine: at both hosts "{name}" is {expected}')
def check_both_statuses(context, name, expected):
    found = [q.get_status(name) for q in (context.quarantine, context.other_host)]
    assert found == [QuarantineStatus(expected)] * 2, found
