"""Steps of the ejection, slowdown and return of endpoints."""

from attrs import evolve
from behave import given, then, when

from features.builders.fleet import make_endpoint
from mangogauge.clock import ManualClock
from mangogauge.trust import EjectionState, EndpointTrust, Evidence
from mangogauge.trust.ejection import EndpointEjection

TYPICAL_SECONDS = 0.1
EVENTS = 10


@given(
    "a host with reports of {peers:d} peers,"
    " and {count:d} endpoints in {places:d} data centres"
)
def make_trust(context, peers, count, places):
    context.clock = ManualClock()
    context.peer_evidence = []
    context.peers = peers
    context.load = 1
    context.doubtful = set()
    context.trust = EndpointTrust(
        context.clock,
        lambda: context.peer_evidence,
        lambda: context.peers,
        lambda name: context.load,
        is_path_doubtful=lambda name: name in context.doubtful,
    )
    context.endpoints = {
        f"e{n}": make_endpoint(f"e{n}", data_centre="abcd"[n % places], start_time_ms=1)
        for n in range(count)
    }


def evaluate_trust(context):
    context.trust.evaluate(context.endpoints.values())


def begin_attempt(context, name):
    return context.trust.begin(context.endpoints[name])


def answer(context, name, count, seconds=0.0, pause=0.0):
    attempts = [begin_attempt(context, name) for _ in range(count)]
    context.clock.advance(seconds)
    for attempt in attempts:
        attempt.note_progress()
    for _ in range(EVENTS if pause else 0):
        context.clock.advance(pause)
        for attempt in attempts:
            attempt.note_progress()
    for attempt in attempts:
        attempt.end_answered()


def split_names(names):
    return names.split(", ")


@when("each endpoint answers {count:d} request")
@when("each endpoint answers {count:d} requests")
def answer_everywhere(context, count):
    attempts = [
        begin_attempt(context, name) for name in context.endpoints for _ in range(count)
    ]
    context.clock.advance(TYPICAL_SECONDS)
    for attempt in attempts:
        attempt.note_progress()
        attempt.end_answered()


@when("each endpoint answers {count:d} requests in {seconds:g} s")
def answer_everywhere_in(context, count, seconds):
    for _ in range(count):
        attempts = [begin_attempt(context, name) for name in context.endpoints]
        context.clock.advance(seconds)
        for attempt in attempts:
            attempt.note_progress()
            attempt.end_answered()


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
    answer(context, name, count, TYPICAL_SECONDS)
    fail(context, name, failed)


@when('"{name}" answers {count:d} trials')
def answer_trials(context, name, count):
    evaluate_trust(context)
    answer(context, name, count, TYPICAL_SECONDS)


@when('"{name}" fails {count:d} requests')
@when('"{name}" fail {count:d} requests each')
def fail(context, name, count):
    evaluate_trust(context)
    for each in split_names(name):
        for _ in range(count):
            begin_attempt(context, each).end_failed()


@when("each endpoint fails {count:d} requests")
def fail_everywhere(context, count):
    fail(context, ", ".join(context.endpoints), count)


@when('"{names}" is cut off from {count:d} request')
@when('"{names}" is cut off from {count:d} requests')
@when('"{names}" are cut off from {count:d} requests each')
def cut(context, names, count):
    for name in split_names(names):
        for _ in range(count):
            begin_attempt(context, name).end_interrupted()


@when('"{name}" refuses {count:d} requests while it runs {load:d}')
def refuse(context, name, count, load):
    context.load = load
    for _ in range(count):
        begin_attempt(context, name).end_refused()


@when('"{name}" is silent to {count:d} requests for {seconds:g} s')
def stay_silent(context, name, count, seconds):
    for _ in range(count):
        begin_attempt(context, name)
    context.clock.advance(seconds)


@when('"{name}" runs {load:d} requests and is silent to {count:d} for {seconds:g} s')
def stay_silent_under_load(context, name, load, count, seconds):
    context.load = load
    stay_silent(context, name, count, seconds)


@when('each endpoint but "{name}" answers {count:d} request')
def answer_elsewhere(context, name, count):
    for other in context.endpoints:
        if other != name:
            answer(context, other, count)


@when('{peers:d} of the peers report that "{names}" cut off {count:d} request each')
def report_some_cuts(context, peers, names, count):
    report(context, names, Evidence(cut=count))
    del context.peer_evidence[peers:]


@when('the peers report that "{names}" cut off {count:d} requests each')
def report_cuts(context, names, count):
    report(context, names, Evidence(answered=1, cut=count))


@when('the peers report that "{names}" failed {count:d} requests each')
def report_failures(context, names, count):
    report(context, names, Evidence(answered=1, failed=count))


@when("the peers stop reporting failures")
def report_nothing(context):
    context.peer_evidence = []


def report(context, names, evidence):
    row = dict.fromkeys(split_names(names), evidence)
    context.peer_evidence = [row] * context.peers


@given('"{name}" was ejected')
@when('"{name}" is ejected again')
def eject(context, name):
    answer_everywhere(context, 4)
    fail(context, name, 6)
    evaluate_trust(context)
    assert context.trust.is_barred(name)


@given('"{name}" was ejected for silence')
def eject_silent(context, name):
    answer_everywhere(context, 4)
    cut(context, name, 6)
    evaluate_trust(context)
    assert context.trust.is_barred(name)


@when('it turns out that only this host\'s path to "{name}" was lost')
def forgive(context, name):
    context.trust.forgive_cuts(name)
    evaluate_trust(context)


@given('this host\'s path to "{name}" is in doubt')
def doubt(context, name):
    context.doubtful.add(name)


@then('cuts of "{names}" are told to the peers')
def check_cuts_told(context, names):
    evaluate_trust(context)
    evidence = context.trust.list_evidence()
    told = [name for name, found in evidence.items() if found.cut]
    assert told == split_names(names), evidence


@then('failures of "{names}" are told to the peers')
def check_failures_told(context, names):
    evidence = context.trust.list_evidence()
    told = [name for name, found in evidence.items() if found.failed]
    assert told == split_names(names), evidence


@then("no cut is told to the peers")
def check_no_cut_told(context):
    evidence = context.trust.list_evidence()
    assert not any(found.cut for found in evidence.values()), evidence


@when('"{name}" returns and is ejected again {count:d} times')
def flap(context, name, count):
    for _ in range(count):
        return_to_service(context, name)
        eject(context, name)


def return_to_service(context, name):
    measure_ejection(context, name)
    answer(context, name, 3, TYPICAL_SECONDS)
    evaluate_trust(context)
    assert not context.trust.is_barred(name)


@when('"{name}" returns and then answers for {seconds:d} s')
def return_for_long(context, name, seconds):
    return_to_service(context, name)
    for _ in range(seconds):
        answer(context, name, 1, 1.0)
        evaluate_trust(context)


def measure_ejection(context, name):
    """Return the seconds until a trial of an endpoint may begin."""
    started = context.clock.read_elapsed()
    while not context.trust.is_ready_for_trial(name):
        context.clock.advance(0.1)
        evaluate_trust(context)
    return context.clock.read_elapsed() - started


@when('a trial begins at "{name}"')
def begin_trial(context, name):
    evaluate_trust(context)
    context.trust.begin_trial(name)


@when("the trial is abandoned, and {seconds:g} s pass")
def abandon_trial(context, seconds):
    evaluate_trust(context)
    context.clock.advance(seconds)


@when('"{name}" restarts and answers {count:d} request')
def restart(context, name, count):
    context.endpoints[name] = evolve(context.endpoints[name], start_time_ms=2)
    answer(context, name, count)


@then('only "{name}" is barred')
def check_barred(context, name):
    evaluate_trust(context)
    barred = [n for n in context.endpoints if context.trust.is_barred(n)]
    assert barred == [name], barred
    assert context.trust.list_states() == {name: EjectionState.EJECTED}


@then("no endpoint is barred")
def check_none_barred(context):
    evaluate_trust(context)
    barred = [n for n in context.endpoints if context.trust.is_barred(n)]
    assert not barred, barred


@then("{count:d} endpoints are barred")
def check_count(context, count):
    evaluate_trust(context)
    barred = [n for n in context.endpoints if context.trust.is_barred(n)]
    assert len(barred) == count, barred


@then('"{name}" may be tried')
def check_may_try(context, name):
    evaluate_trust(context)
    assert context.trust.is_ready_for_trial(name)


@then('"{name}" may not be tried')
def check_may_not_try(context, name):
    evaluate_trust(context)
    assert not context.trust.is_ready_for_trial(name)


@then('"{name}" may be tried by an unrepeatable request')
def check_may_try_unrepeatable(context, name):
    evaluate_trust(context)
    assert context.trust.is_ready_for_trial(name, repeatable=False)


@then('"{name}" may not be tried by an unrepeatable request')
def check_may_not_try_unrepeatable(context, name):
    evaluate_trust(context)
    assert not context.trust.is_ready_for_trial(name, repeatable=False)


@then('"{name}" stays ejected for {seconds:g} s')
def check_ejection(context, name, seconds):
    ejected_seconds = measure_ejection(context, name)
    assert abs(ejected_seconds - seconds) < 0.35, ejected_seconds


@then('a request costs {times:d} times as much at "{name}"')
@then('a request costs about {times:d} times as much at "{name}"')
def check_cost(context, times, name):
    evaluate_trust(context)
    cost = context.trust.get_cost(name)
    assert abs(cost - times) <= 0.15 * times, cost


@given("an ejection")
def make_ejection(context):
    context.ejection = EndpointEjection(0.0)


@when("it is ejected {count:d} times")
def eject_often(context, count):
    for _ in range(count):
        context.ejection.eject(0.0)


@then("it is still barred")
def check_ejection(context):
    assert context.ejection.is_barred
