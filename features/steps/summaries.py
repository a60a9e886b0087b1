"""Steps of hosts that know other data centres by sums."""

import random

from attrs import define, field
from behave import given, then, when

from features.builders.fleet import FixedMembers, make_account, make_configuration
from mangogauge.clock import ManualClock
from mangogauge.fleet import FleetMember, PrefixRoutes
from mangogauge.sharing import (
    HostReport,
    ReportError,
    ReportTable,
    ReportTopology,
    SharedQuota,
    age_copies,
    sum_up,
)
from mangogauge.sharing.messages import decode

SEED = 3
TICK_SECONDS = 0.1
RUNNERS_PER_DATA_CENTRE = 2
ACCOUNT = make_account(rate=1.0, burst=1_000_000.0)
ROUTES = PrefixRoutes(make_configuration(accounts=[ACCOUNT]))


@define(eq=False)
class SummingHost:
    """One host's parts that report and sum up."""

    member = field()
    members = field()
    board = field()
    topology = field()
    quota = field()
    taken = field(default=0)
    lost = field(default=False)

    def report(self):
        admitted, whole = self.quota.count_recent()
        return self.board.make_report(admitted, (), {}, admitted_complete=whole)

    def summarize(self):
        near = [
            age_copies(report, age)
            for report, age in self.board.list_recent_reports()
            if self.topology.is_in_own_data_centre(report.host)
        ]
        return sum_up(
            self.member.data_centre,
            self.report(),
            near,
            self.quota.count_known(),
            self.topology.is_runner,
        )

    def take(self, data):
        """Take a datagram, as the exchange does."""
        self.taken += 1
        for message in decode(data):
            self._take_message(message)

    def _take_message(self, message):
        if isinstance(message, HostReport):
            if self.topology.accepts_reports(message.host) and self.board.merge_report(
                message
            ):
                self.quota.merge_report(message, ROUTES)
        elif message.totals.data_centre != self.member.data_centre:
            if self.board.merge_summary(message):
                self.quota.merge_totals(message.totals, ROUTES)


class Fleet:
    """Hosts that send each other datagrams at the ticks of one clock."""

    def __init__(self, hosts, places, endpoints):
        self.clock = ManualClock()
        self.random = random.Random(SEED)
        self.endpoints = [f"e{n}" for n in range(endpoints)]
        self.cut = ""
        members = [self._make_member(n, places) for n in range(hosts)]
        self.hosts = [self._make_host(member, members) for member in members]
        self.by_address = {host.member.address: host for host in self.hosts}
        self.running = []

    def _make_member(self, number, places):
        place = "abcdefgh"[number % places]
        runs_batch = number // places < RUNNERS_PER_DATA_CENTRE
        return FleetMember(
            f"h{number:03d}", "1", place, f"at-{number}", True, runs_batch
        )

    def _make_host(self, member, members):
        members = FixedMembers(member, members)
        board = ReportTable(member.name, member.incarnation, self.clock)
        topology = ReportTopology(members, board, self.random)
        quota = SharedQuota(self.clock)
        return SummingHost(member, members, board, topology, quota)

    @property
    def living(self):
        return [host for host in self.hosts if not host.lost]

    def play(self, seconds, busy=True):
        for _ in range(round(seconds / TICK_SECONDS)):
            self.clock.advance(TICK_SECONDS)
            if busy:
                self._run_requests()
            for host in self.living:
                self._send(host, host.topology.list_report_targets(), host.report())
            for host in self.living:
                if host.topology.is_aggregator:
                    self._speak(host)

    def _run_requests(self):
        for host in self.living:
            endpoint = self.random.choice(self.endpoints)
            host.board.begin(endpoint, batch=host.member.runs_batch)
            self.running.append((host, endpoint))
        ending = self.running[: -2 * len(self.hosts)]
        self.running = self.running[len(ending) :]
        for host, endpoint in ending:
            host.board.end(endpoint, batch=host.member.runs_batch)

    def _send(self, sender, addresses, message):
        data = message.to_bytes()
        for address in addresses:
            hearer = self.by_address[address]
            if self._reaches(sender, hearer):
                hearer.take(data)

    def _speak(self, speaker):
        summary = speaker.summarize()
        for address in speaker.topology.list_summary_targets():
            hearer = self.by_address[address]
            if self._reaches(speaker, hearer):
                hearer.take(summary.to_bytes())
                self._send(hearer, hearer.topology.list_relay_targets(), summary)

    def _reaches(self, sender, hearer):
        places = {sender.member.data_centre, hearer.member.data_centre}
        return not hearer.lost and (len(places) == 1 or self.cut not in places)

    def measure(self, endpoint):
        """Return what really runs at an endpoint."""
        own = [host.board.get_own(endpoint) for host in self.living]
        return sum(x.online for x in own), sum(x.batch for x in own)


@given("{hosts:d} hosts in {places:d} data centres, with {endpoints:d} endpoints")
def make_fleet(context, hosts, places, endpoints):
    context.fleet = Fleet(hosts, places, endpoints)


@when("they run requests and report for {seconds:g} s")
def play(context, seconds):
    for host in context.fleet.hosts:
        host.taken = 0
    context.seconds = seconds
    context.fleet.play(seconds)


@then("no host took more than {most:d} datagrams a second")
def check_datagrams(context, most):
    taken = max(host.taken for host in context.fleet.hosts)
    # Ten reports from each host near by and, for each other data centre, ten
    # summaries of each of two speakers; the second of settling counts, too.
    assert taken <= most * (context.seconds + 1), taken


@then("each knows the load of every endpoint within a second")
def check_loads(context):
    fleet = context.fleet
    fleet.play(1.0, busy=False)
    for host in fleet.living:
        for endpoint in fleet.endpoints:
            load = host.board.measure(endpoint)
            known = load.online, load.batch
            assert known == fleet.measure(endpoint), (host.member, endpoint, known)


@when('all hosts are lost that speak for "{place}"')
def lose_speakers(context, place):
    for host in context.fleet.living:
        if host.member.data_centre == place and host.topology.is_aggregator:
            host.lost = True
    fleet = context.fleet
    fleet.running = [row for row in fleet.running if not row[0].lost]


@when('"{place}" is cut off for {seconds:g} s')
def cut(context, place, seconds):
    context.fleet.cut = place
    context.fleet.play(seconds)


@when('"{place}" is connected again')
def connect(context, place):
    context.fleet.cut = ""


@then('no host elsewhere hears one in "{place}", and the other way round')
def check_cut(context, place):
    for host in context.fleet.living:
        for other in context.fleet.living:
            is_across = (host.member.data_centre == place) != (
                other.member.data_centre == place
            )
            assert not (is_across and host.board.is_reporting(other.member.name))


@when('each host admits {count:d} requests of "{account}"')
def admit(context, count, account):
    for host in context.fleet.living:
        for _ in range(count):
            assert host.quota.admit(ACCOUNT, 1.0).admitted


@then('each has counted {count:d} requests of "{account}"')
def check_counts(context, count, account):
    for host in context.fleet.living:
        level = host.quota.measure_level(account)
        start = ACCOUNT.burst / 2
        paid = context.fleet.clock.read_elapsed() * ACCOUNT.rate
        assert start + count - paid <= level <= start + count, (host.member, level)


@then('each has counted the requests of "{account}" at all that are left')
def check_left(context, account):
    lost = sum(host.lost for host in context.fleet.hosts)
    check_counts(context, 3 * 60 + 2 * (60 - lost), account)


@then("these datagrams are refused")
def check_refused(context):
    for row in context.table:
        try:
            decode(row["datagram"].encode())
        except ReportError:
            continue
        raise AssertionError(row["datagram"])
