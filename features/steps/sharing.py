"""Steps of rate limits over all hosts, and of shared freshness."""

import random

from attrs import define, field
from behave import given, then, when

from features.builders.copies import make_order
from features.builders.fleet import make_account, make_configuration
from mangogauge.clock import ManualClock
from mangogauge.fleet import PrefixRoutes
from mangogauge.sharing import HostReport, SharedFreshness, SharedQuota
from mangogauge.sharing.exchange import IDLE_REPORT_SECONDS
from mangogauge.sharing.report_table import REPORTING_SECONDS

WINDOW_SECONDS = 5.0
ALLOWED_OVER = 1.1
ALLOWED_MORE = 20
STEP_SECONDS = 0.01


@define(eq=False)
class QuotaHost:
    """One host of the simulation."""

    name = field()
    quota = field()
    incarnation = field(default=1)
    number = field(default=0)
    received_at = field(factory=dict)
    changed = field(default=True)
    reported_at = field(default=0.0)


class QuotaFleet:
    """Hosts that exchange reports over a network with delay and loss."""

    def __init__(self, count, delay, lost):
        self.clock = ManualClock()
        self.random = random.Random(7)
        self.delay = delay
        self.lost = lost
        self.cut_at = self.restart_at = float("inf")
        self.in_transit = []
        self.hosts = [QuotaHost(f"h{n}", SharedQuota(self.clock)) for n in range(count)]
        self.admitted = []
        self.refused = 0

    def set_account(self, rate, burst):
        self.account = make_account(rate=rate, burst=burst)
        self.routes = PrefixRoutes(make_configuration(accounts=[self.account]))

    def send(self, rate, seconds):
        """Send requests evenly, through all hosts in turn."""
        sent, now = 0, 0.0
        while now < seconds:
            if self.restart_at <= now:
                self._restart_hosts()
            self._exchange(now)
            if sent <= now * rate:
                self._admit(self.hosts[sent % len(self.hosts)], now)
                sent += 1
            self.clock.advance(STEP_SECONDS)
            now = self.clock.read_elapsed()

    def _admit(self, host, now):
        others = [h for h in self.hosts if h is not host]
        reporting = [
            h
            for h in others
            if now - host.received_at.get(h.name, -9) < REPORTING_SECONDS
        ]
        share = (len(reporting) + 1) / len(self.hosts)
        if host.quota.admit(self.account, share).admitted:
            self.admitted.append(now)
            host.changed = True
        else:
            self.refused += 1

    def _exchange(self, now):
        for host in self.hosts:
            if host.changed or now - host.reported_at > IDLE_REPORT_SECONDS:
                self._report(host, now)
        arrived = [row for row in self.in_transit if row[0] <= now]
        self.in_transit = [row for row in self.in_transit if row[0] > now]
        for _, host, report in arrived:
            host.received_at[report.host] = now
            host.quota.merge_report(report, self.routes)

    def _report(self, host, now):
        host.changed, host.reported_at = False, now
        host.number += 1
        admitted, is_complete = host.quota.count_recent()
        incarnation = str(host.incarnation)
        report = HostReport(
            host.name,
            incarnation,
            host.number,
            {},
            admitted,
            admitted_complete=is_complete,
        )
        for other in self.hosts:
            if other is host or now >= self.cut_at:
                continue
            if self.random.random() >= self.lost:
                self.in_transit.append((now + self.delay, other, report))

    def _restart_hosts(self):
        self.restart_at = float("inf")
        for host in self.hosts:
            host.quota = SharedQuota(self.clock)
            host.incarnation += 1
            host.received_at = {}

    def find_most_in_window(self):
        """Return the largest number of requests admitted within any window."""
        counts = [
            sum(start <= at < start + WINDOW_SECONDS for at in self.admitted)
            for start in self.admitted
        ]
        return max(counts, default=0)


@given(
    "{count:d} hosts whose reports arrive after {delay:d} ms, with {lost:d} of 100 lost"
)
def make_fleet(context, count, delay, lost):
    context.fleet = QuotaFleet(count, delay / 1000, lost / 100)


@given(
    "a client account with a rate of {rate:d} requests a second "
    "and a burst of {burst:d}"
)
def set_account(context, rate, burst):
    context.fleet.set_account(rate, burst)


@given("the hosts are cut off from each other after {seconds:d} s")
def cut_hosts(context, seconds):
    context.fleet.cut_at = seconds


@given("all hosts restart after {seconds:d} s")
def restart_hosts(context, seconds):
    context.fleet.restart_at = seconds


@when(
    "it sends {rate:d} requests a second for {seconds:d} s, through all hosts in turn"
)
def send(context, rate, seconds):
    context.fleet.send(rate, seconds)


@then("no window of 5 s has more admissions than the limit")
def check_window(context):
    account = context.fleet.account
    limit = (account.rate * WINDOW_SECONDS + account.burst) * ALLOWED_OVER
    most = context.fleet.find_most_in_window()
    assert most <= limit + ALLOWED_MORE, (
        f"{most} in 5 s, {limit + ALLOWED_MORE} allowed"
    )


@then("at least {count:d} of its requests were admitted")
def check_admitted(context, count):
    assert len(context.fleet.admitted) >= count, len(context.fleet.admitted)


@then("none of its requests was refused")
def check_none_refused(context):
    assert not context.fleet.refused, f"{context.fleet.refused} were refused"


@define(eq=False)
class ReadingHost:
    """One host that keeps a copy of one topic."""

    freshness = field()
    version = field(default=0)
    reads = field(default=0)


@given("{count:d} hosts that keep a copy of the orders, each at most {interval} s old")
def make_reading_hosts(context, count, interval):
    context.clock = ManualClock()
    context.interval = float(interval)
    context.version = 1
    context.hosts = [
        ReadingHost(
            SharedFreshness(
                context.clock,
                float(interval),
                make_order(index, count),
                f"h{index}",
            )
        )
        for index in range(count)
    ]
    context.cut_off = set()
    for host in context.hosts:
        _read(context, host)


def _read(context, host):
    host.version, host.reads = context.version, host.reads + 1
    now = context.clock.read_elapsed()
    host.freshness.note_read("orders", str(host.version), now, host.version)
    return host.freshness.make_report()


def _run(context, seconds):
    """Advance the time; return when each host had the newest version, in seconds."""
    reached_at = {}
    start = context.clock.read_elapsed()
    while context.clock.read_elapsed() < start + seconds:
        context.clock.advance(STEP_SECONDS)
        due = [h for h in context.hosts if h.freshness.is_due("orders")]
        for host in due:
            _send_report(context, host, _read(context, host))
        for index, host in enumerate(context.hosts):
            if host.version == context.version:
                reached_at.setdefault(index, context.clock.read_elapsed() - start)
    return reached_at


def _send_report(context, sender, report):
    if context.hosts.index(sender) in context.cut_off:
        return
    for index, other in enumerate(context.hosts):
        if other is not sender and index not in context.cut_off:
            other.freshness.merge_report(report)


@when("{seconds:d} s pass without a change")
def run_unchanged(context, seconds):
    for host in context.hosts:
        host.reads = 0
    _run(context, seconds)


@then("all hosts together have read the orders at most {count:d} times")
def check_reads(context, count):
    reads = sum(host.reads for host in context.hosts)
    assert 0 < reads <= count, f"{reads} reads"


@when("the orders change")
def change_orders(context):
    context.version += 1
    context.reached_at = _run(context, 10)


@when("one host is cut off from the others, and the orders change")
def change_orders_with_cut(context):
    context.cut_off = {0}
    _run(context, 3)
    change_orders(context)


@then("every host has the change within {seconds} s")
def check_reached(context, seconds):
    assert len(context.reached_at) == len(context.hosts), (
        f"only {sorted(context.reached_at)}"
    )
    slowest = max(context.reached_at.values())
    assert slowest <= float(seconds), f"the last one after {slowest:.2f} s"
