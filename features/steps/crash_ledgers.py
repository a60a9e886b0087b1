"""Steps of counts of crashes that hosts tell each other."""

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.sharing import CrashLedger

HOSTS = ("a", "b", "c")
FINGERPRINT = "f"


def get_ledgers(context):
    if not hasattr(context, "ledgers"):
        context.ledger_clock = ManualClock()
        context.ledgers = {name: CrashLedger(context.ledger_clock) for name in HOSTS}
        context.silent = set()
    return context.ledgers


def tell_all(context):
    """Let each host tell each other what it counts."""
    heard = {n: x for n, x in context.ledgers.items() if n not in context.silent}
    for name, ledger in heard.items():
        for other in heard.keys() - {name}:
            heard[other].merge_counts(name, ledger.count_own())


def count_crash(context, host):
    get_ledgers(context)[host].note_crash(FINGERPRINT)
    tell_all(context)


@given('"{host}" hears and tells nothing')
def silence(context, host):
    get_ledgers(context)
    context.silent.add(host)


@when('"{host}" hears and tells again')
def hear_again(context, host):
    context.silent.discard(host)


@when('the request crashes an endpoint at "{first}", at "{second}" and at "{third}"')
def crash_three(context, first, second, third):
    for host in (first, second, third):
        count_crash(context, host)


@when('the request crashes an endpoint at "{first}" and at "{second}"')
def crash_two(context, first, second):
    for host in (first, second):
        count_crash(context, host)


@when('the request crashes an endpoint at "{host:w}"')
def crash_one(context, host):
    count_crash(context, host)


@when('"{host}" has started anew')
def restart(context, host):
    context.ledgers[host] = CrashLedger(context.ledger_clock)


@when('the request is answered at "{host}"')
def answer(context, host):
    context.ledgers[host].note_answer(FINGERPRINT)


@when("{seconds:d} s pass for the ledgers")
def pass_time(context, seconds):
    for _ in range(seconds):
        context.ledger_clock.advance(1.0)
        tell_all(context)


@then('it is refused at "{hosts}" for {seconds:d} s')
def check_refused(context, hosts, seconds):
    for second in range(seconds):
        for host in hosts.split(", "):
            assert context.ledgers[host].is_quarantined(FINGERPRINT), (host, second)
        pass_time(context, 1)


@then('it is let through at "{hosts}"')
def check_let_through(context, hosts):
    for host in hosts.split(", "):
        assert not context.ledgers[host].is_quarantined(FINGERPRINT), host
