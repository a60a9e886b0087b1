"""Steps of hosts that get summaries of other data centres."""

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
    """The parts of one host that report and sum up."""

    member = field()
    members = field()
    report_table = field()
    topology = field()
    quota = field()
    received = field(default=0)
    lost = field(default=False)

    def report(self):
        admitted, is_complete = self.quota.count_recent()
        return self.report_table.make_report(
            admitted, (), {}, admitted_complete=is_complete
        )

    def summarize(self):
        reports = [
            age_copies(report, age)
            for report, age in self.report_table.list_recent_reports()
            if self.topology.is_in_own_data_centre(report.host)
        ]
        return sum_up(
            self.member.data_centre,
            self.report(),
            reports,
            self.quota.count_known(),
            self.topology.is_runner,
        )

    def receive(self, data):
        """Handle a datagram as the exchange does."""
        self.received += 1
        for message in decode(data):
            self._handle_message(message)

    def _handle_message(self, message):
        if isinstance(message, HostReport):
            if self.topology.accepts_reports(
                message.host
            ) and self.report_table.merge_report(message):
                self.quota.merge_report(message, ROUTES)
        elif message.totals.data_centre != self.member.data_centre:
            if self.report_table.merge_summary(message):
                self.quota.merge_totals(message.totals, ROUTES)


class Fleet:
    """Hosts that send each other datagrams at each tick of a manual clock."""

    def __init__(self, hosts, data_centres, endpoints):
        self.clock = ManualClock()
        self.random = random.Random(SEED)
        self.endpoints = [f"e{n}" for n in range(endpoints)]
        self.cut_off = ""
        members = [self._make_member(n, data_centres) for n in range(hosts)]
        self.hosts = [self._make_host(member, members) for member in members]
        self.by_address = {host.member.address: host for host in self.hosts}
        self.requests = []

    def _make_member(self, number, data_centres):
        data_centre = "abcdefgh"[number % data_centres]
        runs_batch = number // data_centres < RUNNERS_PER_DATA_CENTRE
        return FleetMember(
            f"h{number:03d}", "1", data_centre, f"at-{number}", True, runs_batch
        )

    def _make_host(self, member, members):
        members = FixedMembers(member, members)
        report_table = ReportTable(member.name, member.incarnation, self.clock)
        topology = ReportTopology(members, report_table, self.random)
        quota = SharedQuota(self.clock)
        return SummingHost(member, members, report_table, topology, quota)

    @property
    def running_hosts(self):
        return [host for host in self.hosts if not host.lost]

    def run(self, seconds, busy=True):
        for _ in range(round(seconds / TICK_SECONDS)):
            self.clock.advance(TICK_SECONDS)
            if busy:
                self._run_requests()
            for host in self.running_hosts:
                self._send(host, host.topology.list_report_targets(), host.report())
            for host in self.running_hosts:
                if host.topology.is_aggregator:
                    self._send_summary(host)

    def _run_requests(self):
        for host in self.running_hosts:
            endpoint = self.random.choice(self.endpoints)
            host.report_table.begin(endpoint, batch=host.member.runs_batch)
            self.requests.append((host, endpoint))
        ending = self.requests[: -2 * len(self.hosts)]
        self.requests = self.requests[len(ending) :]
        for host, endpoint in ending:
            host.report_table.end(endpoint, batch=host.member.runs_batch)

    def _send(self, sender, addresses, message):
        data = message.to_bytes()
        for address in addresses:
            receiver = self.by_address[address]
            if self._reaches(sender, receiver):
                receiver.receive(data)

    def _send_summary(self, aggregator):
        summary = aggregator.summarize()
        for address in aggregator.topology.list_summary_targets():
            receiver = self.by_address[address]
            if self._reaches(aggregator, receiver):
                receiver.receive(summary.to_bytes())
                self._send(
                    receiver, receiver.topology.list_rebroadcast_targets(), summary
                )

    def _reaches(self, sender, receiver):
        data_centres = {sender.member.data_centre, receiver.member.data_centre}
        return not receiver.lost and (
            len(data_centres) == 1 or self.cut_off not in data_centres
        )

    def measure(self, endpoint):
        """Return the online requests and batch items that run at an endpoint."""
        own = [host.report_table.get_own(endpoint) for host in self.running_hosts]
        return sum(x.online for x in own), sum(x.batch for x in own)


@given("{hosts:d} hosts in {data_centres:d} data centres, with {endpoints:d} endpoints")
def make_fleet(context, hosts, data_centres, endpoints):
    context.fleet = Fleet(hosts, data_centres, endpoints)


@when("they run requests and report for {seconds:g} s")
def run(context, seconds):
    for host in context.fleet.hosts:
        host.received = 0
    context.seconds = seconds
    context.fleet.run(seconds)


@then("no host received more than {limit:d} datagrams a second")
def check_datagrams(context, limit):
    most = max(host.received for host in context.fleet.hosts)
    # Ten reports from each host of the data centre and, for each other data centre,
    # ten summaries of each of two aggregators; the second of settling counts, too.
    assert most <= limit * (context.seconds + 1), most


@then("within a second each host has the load of every endpoint")
def check_loads(context):
    fleet = context.fleet
    fleet.run(1.0, busy=False)
    for host in fleet.running_hosts:
        for endpoint in fleet.endpoints:
            load = host.report_table.measure(endpoint)
            counts = load.online, load.batch
            assert counts == fleet.measure(endpoint), (host.member, endpoint, counts)


@when('all aggregators of "{data_centre}" are lost')
def lose_aggregators(context, data_centre):
    for host in context.fleet.running_hosts:
        if host.member.data_centre == data_centre and host.topology.is_aggregator:
            host.lost = True
    fleet = context.fleet
    fleet.requests = [row for row in fleet.requests if not row[0].lost]


@when('"{data_centre}" is cut off for {seconds:g} s')
def cut_off(context, data_centre, seconds):
    context.fleet.cut_off = data_centre
    context.fleet.run(seconds)


@when('"{data_centre}" is connected again')
def connect(context, data_centre):
    context.fleet.cut_off = ""


@then('no host in "{data_centre}" has reports from elsewhere, nor the others from it')
def check_cut_off(context, data_centre):
    for host in context.fleet.running_hosts:
        for other in context.fleet.running_hosts:
            is_other_side = (host.member.data_centre == data_centre) != (
                other.member.data_centre == data_centre
            )
            assert not (
                is_other_side and host.report_table.is_reporting(other.member.name)
            )


@when('each host admits {count:d} requests of "{account}"')
def admit(context, count, account):
    for host in context.fleet.running_hosts:
        for _ in range(count):
            assert host.quota.admit(ACCOUNT, 1.0).admitted


@then('each has counted {count:d} requests of "{account}"')
def check_counts(context, count, account):
    for host in context.fleet.running_hosts:
        level = host.quota.measure_level(account)
        start = ACCOUNT.burst / 2
        paid = context.fleet.clock.read_elapsed() * ACCOUNT.rate
        assert start + count - paid <= level <= start + count, (host.member, level)


@then('each has counted the requests of "{account}" at all remaining hosts')
def check_remaining(context, account):
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
