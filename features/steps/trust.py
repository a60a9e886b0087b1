"""Steps of which endpoints to trust."""

from attrs import evolve
from behave import given, then, when

from features.builders.fleet import make_endpoint
from mangogauge.clock import ManualClock
from mangogauge.trust import EjectionState, EndpointTrust, Evidence

USUAL_SECONDS = 0.1
EVENTS = 10


@given(
    "a host that hears {hosts:d} others,"
    " and {count:d} endpoints in {places:d} data centres"
)
def make_trust(context, hosts, count, places):
    context.clock = ManualClock()
    context.heard = []
    context.hosts = hosts
    context.load = 1
    context.trust = EndpointTrust(
        context.clock,
        lambda: context.heard,
        lambda: context.hosts,
        lambda name: context.load,
    )
    context.endpoints = {
        f"e{n}": make_endpoint(f"e{n}", data_centre="abcd"[n % places], start_time_ms=1)
        for n in range(count)
    }


def judge(context):
    context.trust.evaluate(context.endpoints.values())


def send(context, name):
    return context.trust.begin(context.endpoints[name])


def answer(context, name, count, seconds=0.0, pause=0.0):
    sendings = [send(context, name) for _ in range(count)]
    context.clock.advance(seconds)
    for sending in sendings:
        sending.note_progress()
    for _ in range(EVENTS if pause else 0):
        context.clock.advance(pause)
        for sending in sendings:
            sending.note_progress()
    for sending in sendings:
        sending.end_answered()


def split(names):
    return names.split(", ")


@when("each endpoint answers {count:d} request")
@when("each endpoint answers {count:d} requests")
def answer_everywhere(context, count):
    sendings = [send(context, name) for name in context.endpoints for _ in range(count)]
    context.clock.advance(USUAL_SECONDS)
    for sending in sendings:
        sending.note_progress()
        sending.end_answered()


@when("each endpoint answers {count:d} requests in {seconds:g} s")
def answer_everywhere_in(context, count, seconds):
    for _ in range(count):
        sendings = [send(context, name) for name in context.endpoints]
        context.clock.advance(seconds)
        for sending in sendings:
            sending.note_progress()
            sending.end_answered()


@when("each endpoint answers {count:d} streams with {pause:g} s between events")
def stream_everywhere(context, count, pause):
    for name in context.endpoints:
        answer(context, name, count, pause=pause)


@when('"{name}" answers {count:d} streams with {pause:g} s between events')
def stream_at(context, name, count, pause):
    for _ in range(count):
        answer(context, name, 1, pause=pause)


@when('"{name}" answers {count:d} requests in {seconds:g} s')
def answer_in(context, name, count, seconds):
    for _ in range(count):
        answer(context, name, 1, seconds)


@when('"{name}" answers {count:d} requests and fails {failed:d}')
def answer_and_fail(context, name, count, failed):
    answer(context, name, count, USUAL_SECONDS)
    fail(context, name, failed)


@when('"{name}" answers {count:d} trials')
def answer_trials(context, name, count):
    judge(context)
    answer(context, name, count, USUAL_SECONDS)


@when('"{name}" fails {count:d}')
@when('"{name}" fail {count:d} each')
def fail(context, name, count):
    judge(context)
    for one in split(name):
        for _ in range(count):
            send(context, one).end_failed()


@when("each endpoint fails {count:d}")
def fail_everywhere(context, count):
    fail(context, ", ".join(context.endpoints), count)


@when('"{names}" is cut off from {count:d} request')
@when('"{names}" is cut off from {count:d} requests')
@when('"{names}" are cut off from {count:d} requests each')
def cut(context, names, count):
    for name in split(names):
        for _ in range(count):
            send(context, name).end_interrupted()


@when('"{name}" refuses {count:d} requests while it runs {load:d}')
def refuse(context, name, count, load):
    context.load = load
    for _ in range(count):
        send(context, name).end_refused()


@when('"{name}" is silent to {count:d} requests for {seconds:g} s')
def stay_silent(context, name, count, seconds):
    for _ in range(count):
        send(context, name)
    context.clock.advance(seconds)


@when('the others report that "{names}" cut off {count:d} requests each')
def report_cuts(context, names, count):
    report(context, names, Evidence(answered=1, cut=count))


@when('the others report that "{names}" failed {count:d} requests each')
def report_failures(context, names, count):
    report(context, names, Evidence(answered=1, failed=count))


@when("the others report nothing any more")
def report_nothing(context):
    context.heard = []


def report(context, names, evidence):
    row = dict.fromkeys(split(names), evidence)
    context.heard = [row] * context.hosts


@given('"{name}" was ejected')
@when('"{name}" is ejected again')
def eject(context, name):
    answer_everywhere(context, 4)
    fail(context, name, 6)
    judge(context)
    assert context.trust.is_barred(name)


@given('"{name}" was ejected for silence')
def eject_silent(context, name):
    answer_everywhere(context, 4)
    cut(context, name, 6)
    judge(context)
    assert context.trust.is_barred(name)


@when('"{name}" comes back and is ejected {count:d} times')
def flap(context, name, count):
    for _ in range(count):
        come_back(context, name)
        eject(context, name)


def come_back(context, name):
    measure_absence(context, name)
    answer(context, name, 3, USUAL_SECONDS)
    judge(context)
    assert not context.trust.is_barred(name)


@when('"{name}" comes back and then answers for {seconds:d} s')
def come_back_for_long(context, name, seconds):
    come_back(context, name)
    for _ in range(seconds):
        answer(context, name, 1, 1.0)
        judge(context)


def measure_absence(context, name):
    """Return the seconds until an endpoint may be tried."""
    started = context.clock.read_elapsed()
    while not context.trust.is_ready_for_trial(name):
        context.clock.advance(0.1)
        judge(context)
    return context.clock.read_elapsed() - started


@when('a trial begins at "{name}"')
def begin_trial(context, name):
    judge(context)
    context.trust.begin_trial(name)


@when("the trial is given up, and {seconds:g} s pass")
def give_trial_up(context, seconds):
    judge(context)
    context.clock.advance(seconds)


@when('"{name}" starts again and answers {count:d} request')
def start_again(context, name, count):
    context.endpoints[name] = evolve(context.endpoints[name], start_time_ms=2)
    answer(context, name, count)


@then('only "{name}" is barred')
def check_barred(context, name):
    judge(context)
    barred = [n for n in context.endpoints if context.trust.is_barred(n)]
    assert barred == [name], barred
    assert context.trust.list_states() == {name: EjectionState.EJECTED}


@then("no endpoint is barred")
def check_none_barred(context):
    judge(context)
    barred = [n for n in context.endpoints if context.trust.is_barred(n)]
    assert not barred, barred


@then("{count:d} endpoints are barred")
def check_count(context, count):
    judge(context)
    barred = [n for n in context.endpoints if context.trust.is_barred(n)]
    assert len(barred) == count, barred


@then('"{name}" may be tried')
def check_may_try(context, name):
    judge(context)
    assert context.trust.is_ready_for_trial(name)


@then('"{name}" may not be tried')
def check_may_not_try(context, name):
    judge(context)
    assert not context.trust.is_ready_for_trial(name)


@then('"{name}" may be tried by a request that may run once only')
def check_once(context, name):
    judge(context)
    assert context.trust.is_ready_for_trial(name, repeatable=False)


@then('"{name}" may not be tried by a request that may run once only')
def check_not_once(context, name):
    judge(context)
    assert not context.trust.is_ready_for_trial(name, repeatable=False)


@then('"{name}" is away for {seconds:g} s')
def check_absence(context, name, seconds):
    absence = measure_absence(context, name)
    assert abs(absence - seconds) < 0.35, absence


@then('a request costs {times:d} times as much at "{name}"')
@then('a request costs about {times:d} times as much at "{name}"')
def check_cost(context, times, name):
    judge(context)
    cost = context.trust.get_cost(name)
    assert abs(cost - times) <= 0.15 * times, cost
