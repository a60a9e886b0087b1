"""Steps of data centres that are cut off."""

from behave import given, register_type, then, when

from features.builders.fleet import make_report
from mangogauge.clock import ManualClock
from mangogauge.fleet import FleetMember, IsolationDetector, MemberDirectory
from mangogauge.sharing import ReportTable
from mangogauge.store import KeyValue


def parse_list(text):
    return [word for word in text.split(", ") if word]


parse_list.pattern = ".*"
register_type(Words=parse_list)


@given('a host in "{own}", and other hosts in "{others:Words}"')
def make_watch(context, own, others):
    clock = ManualClock()
    context.board = ReportTable("own", "1", clock)
    members = MemberDirectory(FleetMember("own", "1", own), clock)
    context.others = [
        FleetMember(f"h{number}", "1", data_centre)
        for number, data_centre in enumerate(others)
    ]
    members.apply_snapshot([KeyValue(m.key, m.to_bytes()) for m in context.others])
    context.age = 0.0
    context.watch = IsolationDetector(members, context.board, own, lambda: context.age)


@when(
    'it hears hosts in "{heard:Words}", and its copies of the store are {age:g} s old'
)
def hear(context, heard, age):
    context.age = age
    for member in context.others:
        if member.data_centre in heard:
            context.board.merge_report(make_report(member.name))


@then("its data centre {verdict} cut off")
def check_verdict(context, verdict):
    assert context.watch.is_isolated() is (verdict == "is")
