"""Steps of hosts whose entries have lapsed."""

from behave import given, then, when

from mangogauge.clock import ManualClock
from mangogauge.fleet import FleetMember, FleetState, MemberDirectory, SilentHosts
from mangogauge.sharing import ReportError
from mangogauge.sharing.messages import decode
from mangogauge.store import KeyValue


class HeardHosts:
    """A `ReportTable` of a host that hears all but some."""

    def __init__(self):
        self.silent = {"d"}

    def is_reporting(self, name):
        return name not in self.silent


class View:
    """What one host knows of the others; it hears all but "d" at first."""

    def __init__(self, name, clock):
        own = FleetMember(name, f"{name}-1")
        self.members = MemberDirectory(own, clock)
        self.silent_hosts = SilentHosts(self.members, clock)
        self.heard = HeardHosts()
        self.state = FleetState(
            None, self.members, self.heard, silent_hosts=self.silent_hosts
        )

    def read(self, names):
        """Read the entries of some hosts."""
        members = [FleetMember(name, f"{name}-1") for name in names]
        items = [KeyValue(m.key, m.to_bytes(), 1, 1) for m in members]
        self.members.apply_snapshot(items)
        self.silent_hosts.list_names()


def read_all(context, names):
    context.registered = names
    for view in context.views.values():
        view.read(names)


@given('the registered hosts "{names}" as "{first}" and "{second}" know them')
def make_views(context, names, first, second):
    context.silent_clock = ManualClock()
    context.views = {n: View(n, context.silent_clock) for n in (first, second)}
    read_all(context, names.split(", "))


@when('the entry of "{name}" lapses')
def lapse(context, name):
    read_all(context, [n for n in context.registered if n != name])


@when('the entry of "{name}" is there again')
def register_again(context, name):
    for view in context.views.values():
        view.heard.silent.discard(name)
    read_all(context, [*context.registered, name])


@when('"{name}" says that it leaves')
def say_leaving(context, name):
    news = View(name, context.silent_clock).silent_hosts.note_leaving()
    for message in decode(news.to_bytes()):
        for view in context.views.values():
            view.silent_hosts.merge(message)


@when('"{name}" starts anew, and hears from "{other}"')
def start_anew(context, name, other):
    view = context.views[name] = View(name, context.silent_clock)
    view.read(context.registered)
    for message in decode(context.views[other].silent_hosts.make_news().to_bytes()):
        view.silent_hosts.merge(message)


@when("{seconds:d} s pass for the silent hosts")
def pass_time(context, seconds):
    context.silent_clock.advance(seconds)


@then('"{name}" may use {heard:d} of {parts:d} parts of each rate')
def check_share(context, name, heard, parts):
    share = context.views[name].state.compute_quota_share()
    assert share == (heard / parts, heard), share


@then("these are refused as news of hosts:")
def check_refused(context):
    for row in context.table:
        try:
            decode(row["datagram"].encode())
        except ReportError:
            continue
        raise AssertionError(row["datagram"])
