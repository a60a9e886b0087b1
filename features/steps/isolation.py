"""Steps of data centres that are partitioned."""

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
def make_detector(context, own, others):
    clock = ManualClock()
    context.report_table = ReportTable("own", "1", clock)
    members = MemberDirectory(FleetMember("own", "1", own), clock)
    context.others = [
        FleetMember(f"h{number}", "1", data_centre)
        for number, data_centre in enumerate(others)
    ]
    members.apply_snapshot([KeyValue(m.key, m.to_bytes()) for m in context.others])
    context.age = 0.0
    context.detector = IsolationDetector(
        members, context.report_table, own, lambda: context.age
    )


@when(
    'hosts in "{reporting:Words}" report, and its copies of the store are {age:g} s old'
)
def report(context, reporting, age):
    context.age = age
    for member in context.others:
        if member.data_centre in reporting:
            context.report_table.merge_report(make_report(member.name))


@then("its data centre {verdict} partitioned")
def check_verdict(context, verdict):
    assert context.detector.is_isolated() is (verdict == "is")
