"""Steps of choosing relays to the store."""

from behave import given, then, when

from features.builders.fleet import make_report
from mangogauge.clock import ManualClock
from mangogauge.fleet import FleetMember, MemberDirectory, Neighbours
from mangogauge.sharing import ReportTable
from mangogauge.store import KeyValue


@given('a host that knows the hosts "{names}"')
def make_relays(context, names):
    clock = ManualClock()
    context.report_table = ReportTable("own", "1", clock)
    members = MemberDirectory(FleetMember("own", "1"), clock)
    known = [FleetMember(name, "1", address=name) for name in names.split(", ")]
    members.apply_snapshot([KeyValue(m.key, m.to_bytes()) for m in known])
    context.neighbours = Neighbours(members, context.report_table)


@when('"{reporting:Words}" report, of which "{reaching:Words}" reach the store')
def report(context, reporting, reaching):
    for name in reporting:
        context.report_table.merge_report(
            make_report(name, reaches_store=name in reaching)
        )


@then('its relays are "{names:Words}"')
def check_relays(context, names):
    assert sorted(context.neighbours.list_relays()) == names


@then('its relays in the region of "{near:Words}" are "{names:Words}"')
def check_near_relays(context, near, names):
    relays = context.neighbours.list_relays(lambda member: member.name in near)
    assert sorted(relays) == names, relays
