"""Hosts that share client accounts' rates, with a clock moved by events."""

import bisect
import heapq
import itertools
import random
from collections import Counter

from attrs import define, field

from features.builders.fleet import make_account, make_configuration
from mangogauge.clock import ManualClock
from mangogauge.fleet import (
    FleetMember,
    FleetState,
    MemberDirectory,
    PrefixRoutes,
    SilentHosts,
)
from mangogauge.sharing import HostReport, QuotaLine, SharedQuota
from mangogauge.sharing.report_table import REPORTING_SECONDS
from mangogauge.store import KeyValue

REPORT_SECONDS = 0.1
DELAYS = (0.1, 0.4)
MAX_WAIT_SECONDS = 0.077
DEADLINE_SECONDS = 5.0
MAX_ATTEMPTS = 4
CALM_SECONDS = 12.0
# From a cut until the hosts beyond it are registered no longer, and until that is read.
LAPSE_SECONDS = 1.7
READ_SECONDS = 2.8
# Hosts that one tells of silent ones at a time.
FANOUT = 3
# From a cut, or its end, until all hosts have noticed who is heard.
NOTICE_SECONDS = 1.2
HEAL_SHARE = 0.4
START_SHARE = 0.3


@define(eq=False)
class _Host:
    name = field()
    quota = field()
    line = field(default=None)
    incarnation = field(default=1)
    number = field(default=0)
    received_at = field(factory=dict)
    numbers = field(factory=dict)
    measured_at = field(default=float("-inf"))
    members = field(default=None)
    silent_hosts = field(default=None)
    state = field(default=None)

    @property
    def member(self):
        """The host's entry."""
        return FleetMember(self.name, str(self.incarnation))


@define(eq=False)
class _Request:
    account = field()
    sent_at = field()
    attempts = field(default=0)


class _HeardHosts:
    """Which hosts one host hears, in place of a `ReportTable`."""

    def __init__(self, host, clock):
        self._host = host
        self._clock = clock

    def is_reporting(self, name):
        oldest = self._clock.read_elapsed() - REPORTING_SECONDS
        return self._host.received_at.get(name, float("-inf")) >= oldest


class BusyFleet:
    """Hosts, callers that retry as told elsewhere, and reports that arrive late."""

    def __init__(self, count, seed, rates):
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.accounts = {n: make_account(n, rate=r, burst=r) for n, r in rates.items()}
        self._routes = PrefixRoutes(make_configuration(accounts=self.accounts.values()))
        self._events, self._order = [], itertools.count()
        self.hosts = [_Host(f"h{n}", None) for n in range(count)]
        self.sides = 1
        self._lapses_at = float("-inf")
        for host in self.hosts:
            self._start(host)
        self.admitted = {name: [] for name in rates}
        self.counts = Counter()
        for host in self.hosts:
            self._plan(self.random.random() * REPORT_SECONDS, self._report, host)
        self.run(CALM_SECONDS)

    @property
    def now(self):
        return self.clock.read_elapsed()

    def send(self, name, times):
        """Send requests of an account at times from now on, each to any host."""
        for after in times:
            request = _Request(self.accounts[name], self.now + after)
            self._plan(request.sent_at, self._ask, request)

    def send_steadily(self, name, rate, seconds):
        gaps = (self.random.expovariate(rate) for _ in itertools.count())
        times = itertools.accumulate(gaps)
        self.send(name, itertools.takewhile(lambda after: after < seconds, times))

    def send_bursts(self, name, seconds):
        """Send bursts of any size, of which what is beyond the rate is left out."""
        account, level, last, kept = self.accounts[name], 0.0, 0.0, []
        starts = [self.random.uniform(0, seconds) for _ in range(int(seconds * 3))]
        sizes = [self.random.randint(1, int(account.burst)) for _ in starts]
        pairs = zip(starts, sizes, strict=True)
        raw = [start + n / 2000 for start, size in pairs for n in range(size)]
        for after in sorted(raw):
            level = max(0.0, level - (after - last) * account.rate)
            last = after
            if level + 1 <= account.burst:
                level += 1
                kept.append(after)
        self.send(name, kept)

    def restart(self, count, pause):
        for number, host in enumerate(self.hosts[:count]):
            self._plan(self.now + number * pause, self._start, host)

    def run(self, seconds):
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, call, args = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.now))
            call(*args)
        self.clock.advance(max(0.0, until - self.now))

    def find_most_in_window(self, name, seconds):
        times = sorted(self.admitted[name])
        ends = (bisect.bisect_left(times, at + seconds) for at in times)
        return max((end - start for start, end in enumerate(ends)), default=0)

    def _plan(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._order), call, args))

    def cut(self, sides):
        """Cut the hosts into sides; the first one keeps the store, and no other."""
        self.sides = sides
        self._lapses_at = self.now + LAPSE_SECONDS
        for host in self._list_side(0):
            after = self.random.uniform(0.0, READ_SECONDS)
            self._plan(self._lapses_at + after, self._lapse, host, sides)

    def heal(self):
        """Let all hosts hear each other and reach the store again."""
        self.sides = 1
        for host in self.hosts:
            self._read_members(host, self.hosts)

    def disturb(self, seed, seconds, rates):
        """Cut hosts off, start some and send floods, in an order by a seed.

        Notes
        -----
        A flood begins once it has been noticed who isn't heard; what is admitted
        unheard right after a cut is another matter.
        """
        order, until = random.Random(seed), self.now + seconds
        while self.now < until:
            if self.sides == 1:
                self.cut(order.choice([2, 3, 4, len(self.hosts)]))
            elif order.random() < HEAL_SHARE:
                self.heal()
            self.run(NOTICE_SECONDS)
            if order.random() < START_SHARE:
                self._start(order.choice(self._list_side(0)))
            name = order.choice(sorted(rates))
            flood = order.uniform(2.0, 8.0)
            self.send_steadily(name, 8 * rates[name], flood)
            self.run(flood + order.uniform(0.0, 3.0))

    def _list_side(self, side):
        return self.hosts[side :: self.sides]

    def _lapse(self, host, sides):
        if self.sides == sides:
            self._read_members(host, self._list_side(0))

    def _read_members(self, host, registered):
        host.members.apply_snapshot(
            [KeyValue(h.member.key, h.member.to_bytes(), 1, 1) for h in registered]
        )
        # As a host does now and then, whether or not requests come.
        host.silent_hosts.list_names()

    def _start(self, host):
        """Start a host anew; beyond a cut it reads whom the store still has."""
        host.quota = SharedQuota(self.clock, random.Random(self.random.random()))
        host.line = QuotaLine(host.quota, lambda: self._measure(host), self.clock)
        host.incarnation += 1
        host.received_at = {}
        host.members = MemberDirectory(host.member, self.clock)
        host.silent_hosts = SilentHosts(host.members, self.clock)
        host.state = FleetState(
            None,
            host.members,
            _HeardHosts(host, self.clock),
            silent_hosts=host.silent_hosts,
        )
        has_lapsed = self.sides > 1 and self.now >= self._lapses_at
        self._read_members(host, self._list_side(0) if has_lapsed else self.hosts)
        return host

    def _tell_silent(self, host, side):
        """Tell a few hosts of one's side which hosts have fallen silent."""
        news = host.silent_hosts.make_news()
        if news:
            for other in self.random.sample(side, min(FANOUT, len(side))):
                at = self.now + self.random.uniform(*DELAYS)
                self._plan(at, other.silent_hosts.merge, news)

    def _measure(self, host):
        return host.state.compute_quota_share()

    def _report(self, host):
        host.number += 1
        admitted, complete = host.quota.count_recent()
        report = HostReport(
            host.name,
            str(host.incarnation),
            host.number,
            {},
            admitted,
            admitted_complete=complete,
        )
        own = self.hosts.index(host)
        self._tell_silent(host, self.hosts[own % self.sides :: self.sides])
        for index, other in enumerate(self.hosts):
            if other is not host and (index - own) % self.sides == 0:
                at = self.now + self.random.uniform(*DELAYS)
                self._plan(at, self._merge, other, report)
        self._plan(self.now + REPORT_SECONDS, self._report, host)

    def _merge(self, host, report):
        if report.number <= host.numbers.get(report.host, 0):
            return
        host.numbers[report.host] = report.number
        host.received_at[report.host] = self.now
        if self.now >= host.measured_at + REPORT_SECONDS:
            host.measured_at = self.now
            host.quota.set_reporting(*self._measure(host))
        host.quota.merge_report(report, self._routes)

    def _ask(self, request):
        line = self.random.choice(self.hosts).line
        is_retry = request.attempts > 0
        request.attempts += 1
        ticket = line.join(request.account, MAX_WAIT_SECONDS, is_retry)
        self._settle(request, line, ticket)

    def _look(self, request, line, ticket):
        line.look(ticket)
        self._settle(request, line, ticket)

    def _settle(self, request, line, ticket):
        name, admission = request.account.name, ticket.admission
        if admission is None:
            at = self.now + line.measure_pause(ticket)
            self._plan(at, self._look, request, line, ticket)
            return
        kind = "retry" if request.attempts > 1 else "new"
        self.counts[name, kind, admission.admitted] += 1
        if admission.admitted:
            self.admitted[name].append(self.now)
        elif request.attempts < MAX_ATTEMPTS:
            left = request.sent_at + DEADLINE_SECONDS - self.now
            pause = min(admission.retry_after, left / 3)
            self._plan(self.now + pause, self._ask, request)
