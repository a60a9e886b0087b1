"""Steps of parts of prompts that crash endpoints."""

import orjson
from behave import given, then, when

from features.builders.crashes import GossipingHosts
from mangogauge.sharing import ReportError
from mangogauge.sharing.messages import decode

HOSTS = ("a", "b", "c")


def get_hosts(context):
    if not hasattr(context, "hosts"):
        context.hosts = GossipingHosts(HOSTS)
        context.crash_count = 0
        context.request_count = 0
        context.last_crashes = []
    return context.hosts


def split(text):
    return text.split(", ")


def see_crash(context, host, crash, parts, request=None, answer_seconds=0.0):
    context.request_count += 1
    request = request or f"request-{context.request_count}"
    get_hosts(context)[host].note_crash(
        crash, request, parts.split("+"), answer_seconds
    )


def see_crashes(context, host, count, parts, request=None, answer_seconds=0.0):
    get_hosts(context)
    context.last_crashes = [
        f"endpoint-{context.crash_count + n}/1" for n in range(count)
    ]
    context.crash_count += count
    for crash in context.last_crashes:
        see_crash(context, host, crash, parts, request, answer_seconds)


@given('"{host}" is cut off')
def cut_off(context, host):
    get_hosts(context).cut_off.add(host)


@when('"{host}" sees {count:d} crashes with different requests for "{parts}"')
def see_different(context, host, count, parts):
    see_crashes(context, host, count, parts)


@when(
    '"{host}" sees {count:d} crashes with different requests for "{parts}", '
    "{seconds:g} s into their answers"
)
def see_within_answers(context, host, count, parts, seconds):
    see_crashes(context, host, count, parts, answer_seconds=seconds)


@when(
    '"{host}" has an answer to a request for "{parts}" that goes on for {seconds:g} s'
)
def have_long_answer(context, host, parts, seconds):
    get_hosts(context)[host].note_answer(parts.split("+"), seconds)


@then('the former build reads the news of "{host}" as {count:d} sightings of "{parts}"')
def check_former_sightings(context, host, count, parts):
    version, sightings, _ = orjson.loads(context.hosts[host].make_news().to_bytes())
    assert version == "crashes 1"
    assert [row[2] for row in sightings] == [parts.split("+")] * count, sightings
    assert all(isinstance(row[3], int) and len(row) == 4 for row in sightings)


@when(
    '"{host}" hears of {count:d} sightings of "{parts}" from the former build, '
    "and {seconds:d} s passes"
)
def hear_from_former(context, host, count, parts, seconds):
    rows = [[f"old-{n}/1", f"0123abcd{n}", parts.split("+"), 1] for n in range(count)]
    for message in decode(orjson.dumps(["crashes 1", rows, []])):
        context.hosts[host].merge(message)
    context.hosts.clock.advance(seconds)


@then(
    'the former build takes the news of "{host}" for no answer to "{part}" or "{other}"'
)
def check_former_answers(context, host, part, other):
    _, _, answered = orjson.loads(context.hosts[host].make_news().to_bytes())
    assert answered, "there is no news"
    assert not {part, other} & {row[0] for row in answered}, answered


@when('"{host}" sees {count:d} crashes with the same request for "{parts}"')
def see_same(context, host, count, parts):
    see_crashes(context, host, count, parts, "the same")


@when('"{host}" sees the same crashes with different requests for "{parts}"')
def see_bystanders(context, host, parts):
    for crash in context.last_crashes:
        see_crash(context, host, crash, parts)


@when('"{host}" sees a crash of "{endpoint}" with a request for "{parts}"')
def see_one(context, host, endpoint, parts):
    get_hosts(context)
    see_crash(context, host, f"{endpoint}/1", parts)


@when('"{host}" is answered a request for "{parts}"')
def be_answered(context, host, parts):
    get_hosts(context)[host].note_answer(parts.split("+"))


@when("{seconds:d} s passes")
def pass_seconds(context, seconds):
    context.hosts.clock.advance(seconds)


@when('"{host}" tells the others, which it can\'t hear, and {seconds:d} s pass')
def tell_others(context, host, seconds):
    context.hosts.tell_others(host)
    context.hosts.clock.advance(seconds)


@when("all hosts tell each other, and {seconds:d} s passes")
@when("all hosts tell each other, and {seconds:d} s pass")
def tell_and_pass(context, seconds):
    context.hosts.tell_all()
    context.hosts.clock.advance(seconds)


@when("all hosts tell each other twice, and {seconds:d} s passes")
def tell_twice(context, seconds):
    context.hosts.tell_all()
    tell_and_pass(context, seconds)


@when("all hosts tell each other every {gap:d} s, for {seconds:d} s")
def tell_often(context, gap, seconds):
    for _ in range(0, seconds, gap):
        tell_and_pass(context, gap)


@when('"{host}" is in reach again, and all hosts tell each other')
def be_in_reach(context, host):
    context.hosts.cut_off.discard(host)
    context.hosts.tell_all()


@when('"{hosts}" start anew, and all hosts tell each other')
def start_anew(context, hosts):
    for host in split(hosts):
        context.hosts.restart(host)
    context.hosts.tell_all()


def list_quarantined(context, host):
    return context.hosts[host].list_quarantined()


@then('"{hosts}" quarantines "{parts}" alone')
@then('"{hosts}" quarantine "{parts}" alone')
@then('"{hosts}" quarantines "{parts}"')
def check_quarantined(context, hosts, parts):
    for host in split(hosts):
        found = list_quarantined(context, host)
        assert found == sorted(parts.split("+")), (host, found)


@then('"{hosts}" refuse "{part}", not "{other}"')
def check_refused(context, hosts, part, other):
    for host in split(hosts):
        assert context.hosts[host].is_quarantined([part]), host
        assert not context.hosts[host].is_quarantined([other]), host


@then('"{hosts}" quarantines nothing')
@then('"{hosts}" quarantine nothing')
def check_nothing(context, hosts):
    for host in split(hosts):
        assert list_quarantined(context, host) == [], host


@then('"{host}" suspects "{part}", and quarantines nothing')
def check_suspected(context, host, part):
    quarantine = context.hosts[host]
    assert quarantine.is_suspected([part])
    assert not quarantine.is_quarantined([part])


@then('"{host}" suspects nothing, and quarantines "{part}"')
def check_not_suspected(context, host, part):
    quarantine = context.hosts[host]
    assert not quarantine.is_suspected([part])
    assert quarantine.is_quarantined([part])


@then("each of these datagrams is refused as invalid:")
def check_invalid(context):
    for row in context.table:
        try:
            decode(row["datagram"].encode())
        except ReportError:
            continue
        raise AssertionError(row["datagram"])
