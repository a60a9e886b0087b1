"""Steps of accounts within and beyond their rates, at hosts that share these."""

from behave import given, then, when

from features.builders.fleet import make_account
from features.builders.quota import BusyFleet
from mangogauge.clock import ManualClock
from mangogauge.sharing import QuotaLine, SharedQuota

RATES = {"busy": 39.0, "calm": 20.0, "small": 2.0}
WINDOW_SECONDS = 5.0


@given("{count:d} hosts that share the rates of accounts, by the seed {seed:d}")
def make_fleet(context, count, seed):
    context.fleet = BusyFleet(count, seed, RATES)


@given("{sides:d} sides of them have been cut off from each other for {seconds:g} s")
def cut(context, sides, seconds):
    context.fleet.cut(sides)
    context.fleet.run(seconds)


@given("{count:d} of them start anew, one each {pause:g} s")
def restart(context, count, pause):
    context.fleet.restart(count, pause)


@when("one account sends {times:g} times its rate for {seconds:g} s, beside others")
def flood(context, times, seconds):
    context.seconds = seconds
    context.fleet.send_steadily("busy", times * RATES["busy"], seconds)
    for name in ("calm", "small"):
        context.fleet.send_bursts(name, seconds)
    context.fleet.run(seconds)


@when("an account sends random bursts within its rate for {seconds:g} s")
def send_bursts(context, seconds):
    context.fleet.send_bursts("busy", seconds)
    context.fleet.run(seconds)


@when("they hear each other for {seconds:g} s, with {times:g} times the rate")
def heal(context, seconds, times):
    fleet = context.fleet
    fleet.heal()
    context.seconds, context.since = seconds, fleet.now
    fleet.send_steadily("busy", times * RATES["busy"], seconds)
    fleet.run(seconds)


@then("{least:g} to {most:g} of the account's tokens were used")
def check_used(context, least, most):
    tokens = RATES["busy"] * (context.seconds + 1)
    used = len(context.fleet.admitted["busy"])
    assert least * tokens <= used <= most * tokens, f"{used} of {tokens:g}"


@then("at least {share:g} of the account's rate was used")
def check_rate_used(context, share):
    tokens = RATES["busy"] * context.seconds
    used = sum(at >= context.since for at in context.fleet.admitted["busy"])
    assert used >= share * tokens, f"{used} of {tokens:g}"


@then("no 5 s have more admissions than the limit")
def check_window(context):
    for name, rate in RATES.items():
        most = context.fleet.find_most_in_window(name, WINDOW_SECONDS)
        limit = 1.1 * (rate * WINDOW_SECONDS + rate) + 20
        assert most <= limit, f"{name}: {most} in 5 s, {limit:g} allowed"


@then("no request of another account was refused")
def check_others(context):
    counts = context.fleet.counts
    refused = sum(n for (name, _, ok), n in counts.items() if not ok and name != "busy")
    assert not refused, counts


@then("at most {count:d} in {total:d} of its requests were refused")
def check_refused(context, count, total):
    counts = context.fleet.counts
    sent = sum(n for (name, kind, _), n in counts.items() if kind == "new")
    refused = counts["busy", "new", False]
    assert refused * total <= count * sent, f"{refused} of {sent}"


@then("those that retried got most of its budget")
def check_retries(context):
    counts = context.fleet.counts
    new, retries = (counts["busy", kind, True] for kind in ("new", "retry"))
    assert retries > new - RATES["busy"], counts


@given("a host that may admit {rate:g} requests a second, and has no budget left")
def make_line(context, rate):
    context.clock = ManualClock()
    quota = SharedQuota(context.clock)
    context.account = make_account(rate=rate, burst=1.0)
    context.line = QuotaLine(quota, lambda: (1.0, 1), context.clock)
    while quota.admit(context.account, 1.0).admitted:
        pass


@when("{count:d} requests come that may wait for {seconds:g} s")
def join(context, count, seconds):
    join_line = context.line.join
    context.tickets = [join_line(context.account, seconds) for _ in range(count)]


@when("the first one's caller leaves")
def leave(context):
    context.line.leave(context.tickets.pop(0))


@then("{count:d} of them wait, and the others have been refused")
def check_waiting(context, count):
    settled = [ticket.admission for ticket in context.tickets if ticket.admission]
    assert len(context.line) == count == len(context.tickets) - len(settled)
    assert not any(admission.admitted for admission in settled), settled


@then("they were told times that are at least {seconds:g} s apart on average")
def check_told(context, seconds):
    told = [t.admission.retry_after for t in context.tickets if t.admission]
    assert told == sorted(told), told
    assert told[-1] - told[0] >= seconds * (len(told) - 1), told


@then("the {count:d} that wait are admitted in order, one each {seconds:g} s")
def check_order(context, count, seconds):
    for ticket in context.tickets[:count]:
        assert ticket.admission is None
        context.clock.advance(seconds)
        context.line.look(context.tickets[count - 1])
        assert ticket.admission and ticket.admission.admitted


@when(
    "cuts, starts and floods come in an order by the seed {seed:d}, for {seconds:g} s"
)
def disturb(context, seed, seconds):
    context.fleet.disturb(seed, seconds, RATES)
