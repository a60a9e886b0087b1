"""Steps of hosts that find others that reach the store."""

from behave import given, then, when

from features.builders.fleet import make_report
from mangogauge.clock import ManualClock
from mangogauge.fleet import FleetMember, MemberDirectory, RelayDirectory
from mangogauge.sharing import ReportTable
from mangogauge.store import KeyValue


@given('a host that knows the hosts "{names}"')
def make_relays(context, names):
    clock = ManualClock()
    context.board = ReportTable("own", "1", clock)
    members = MemberDirectory(FleetMember("own", "1"), clock)
    known = [FleetMember(name, "1", address=name) for name in names.split(", ")]
    members.apply_snapshot([KeyValue(m.key, m.to_bytes()) for m in known])
    context.relays = RelayDirectory(members, context.board)


@when('it hears "{heard:Words}", of which "{reaching:Words}" reach the store')
def hear_hosts(context, heard, reaching):
    for name in heard:
        context.board.merge_report(make_report(name, reaches_store=name in reaching))


@then('it may ask "{names:Words}"')
def check_relays(context, names):
    assert sorted(context.relays.list_addresses()) == names
