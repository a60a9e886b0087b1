"""Play of hundreds of hosts that read the store, without a network."""

import heapq
import itertools
import random
from collections import Counter

from attrs import define, field

from mangogauge.clock import ManualClock
from mangogauge.sharing import ReadBackoff, ReadOrder, SharedFreshness
from mangogauge.sharing.copies import read_copies, write_copies

__all__ = ["ENDPOINTS", "MEMBERS", "ORDERS", "StorePlay"]

ORDERS, ENDPOINTS, MEMBERS = "op/", "servers/", "members/"
LEAST_GAPS = {ORDERS: 0.4, ENDPOINTS: 0.4, MEMBERS: 1.5}
INTERVAL_SECONDS = 0.7
TICK_SECONDS = 0.02
CALL_SECONDS = 0.02
NETWORK_SECONDS = 0.004
# A host of a large fleet reads its datagrams at such intervals.
READ_DELAY_SECONDS = 0.04
REPORT_SECONDS = 0.25
SUMMARY_SECONDS = 0.15
REBROADCAST_SECONDS = 0.05
AGGREGATORS = 2
# From this many other hosts on reports go to the own data centre only.
SUMMED_HOSTS = 25
# How far the store's copy is behind its newest state.
COPY_LAG_SECONDS = 0.3


@define(eq=False)
class _Host:
    """One host, and the version of each topic that it has."""

    name = field()
    data_centre = field()
    starts_at = field()
    freshness = field(default=None)
    backoff = field(default=None)
    versions = field(factory=dict)
    reading = field(factory=set)
    polls = field(factory=dict)
    # The store refuses its calls.
    refused = field(default=False)
    # It neither reads nor tells anything, and others hear that only later.
    frozen = field(default=False)
    # No news reaches it, though it takes all others for hosts that it hears.
    deaf = field(default=False)


class StorePlay:
    """Hosts in three data centres that read three topics and tell each other.

    Parameters
    ----------
    count : int
        Number of hosts.
    start_seconds : float, optional
        Time within which they start.
    seed : int, optional

    Attributes
    ----------
    calls : Counter
        Calls that reached the store, by purpose.
    cut_off : str
        A data centre that reaches neither the others nor the store.
    store_refuses : bool
        Whether the store refuses all calls.
    """

    def __init__(self, count, start_seconds=0.0, seed=1):
        self._random = random.Random(seed)
        self.clock = ManualClock()
        self._events = []
        self._numbers = itertools.count()
        self.calls = Counter()
        self.cut_off = ""
        self.store_refuses = False
        self._changes = {t: [(0.0, 1)] for t in LEAST_GAPS}
        self.reached = {}
        self.hosts = [
            _Host(f"h{n:03d}", "abc"[n % 3], self._random.uniform(0, start_seconds))
            for n in range(count)
        ]
        for host in self.hosts:
            self._schedule(host.starts_at, self._start, host)

    @property
    def now(self):
        return self.clock.read_elapsed()

    def run(self, seconds):
        """Run for some seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.now))
            action(*arguments)
        self.clock.advance(until - self.now)

    def change(self, topic):
        """Write to a topic; `measure_spread` tells when all hosts have it."""
        self._changes[topic].append((self.now, self._get_version(topic) + 1))
        self.reached = {}

    def measure_spread(self, topic):
        """Return the seconds from the last change until each living host had it."""
        changed_at, version = self._changes[topic][-1]
        times = [
            self.reached.get((host.name, topic, version), float("inf"))
            for host in self.hosts
            if not host.frozen and not host.refused
        ]
        return max(times) - changed_at

    def find_next_readers(self, topic, count):
        """Return the hosts that are the next readers of a topic."""
        return sorted(self.hosts, key=lambda h: h.freshness.find_rank(topic))[:count]

    def _get_version(self, topic, lag=0.0):
        until = self.now - lag
        return max(v for at, v in self._changes[topic] if at <= until or v == 1)

    def _schedule(self, seconds, action, *arguments):
        entry = (self.now + seconds, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def _start(self, host):
        order = ReadOrder(host.name, lambda: self._list_heard(host))
        host.freshness = SharedFreshness(self.clock, INTERVAL_SECONDS, order, host.name)
        host.backoff = ReadBackoff(self.clock, random.Random(host.name))
        self._read(host, ORDERS)
        self._read(host, ENDPOINTS)
        self._schedule(2 * CALL_SECONDS, self._register, host)
        self._schedule(self._random.uniform(0, REPORT_SECONDS), self._report, host)
        self._schedule(self._random.uniform(0, SUMMARY_SECONDS), self._sum_up, host)

    def _register(self, host):
        """Register, and only then read the hosts' entries, as `FleetView`."""
        if host.starts_at:
            self.change(MEMBERS)
        self._read(host, MEMBERS)

    def _list_heard(self, host):
        return [h.name for h in self.hosts if h is not host and self._hears(host, h)]

    def _hears(self, host, other):
        if other.freshness is None:
            return False
        centres = {host.data_centre, other.data_centre}
        return len(centres) == 1 or self.cut_off not in centres

    def _poll(self, host, topic, number=None):
        """Read a topic if that is due, as `SharedSchedule` decides."""
        if number != host.polls.get(topic) and number is not None:
            return
        if host.frozen or topic in host.reading:
            return
        wait = host.freshness.measure_wait(topic, LEAST_GAPS[topic])
        has_newer = host.freshness.find_newer(topic) is not None
        wait = max(wait, host.backoff.measure_wait(has_newer))
        if wait <= 0 and host.backoff.begin_read(has_newer):
            self._read(host, topic)
        else:
            number = host.polls[topic] = next(self._numbers)
            self._schedule(max(wait, TICK_SECONDS), self._poll, host, topic, number)

    def _read(self, host, topic):
        """Read the copy that another host has, or the newest state, as `Follower`."""
        host.reading.add(topic)
        newer = host.freshness.find_newer(topic)
        kind = "newest" if newer is None else "copy"
        seconds = CALL_SECONDS * (0.5 + self._random.random())
        self._schedule(seconds, self._end_read, host, topic, newer, kind, self.now)
        if host.data_centre != self.cut_off:
            self.calls[kind] += 1

    def _end_read(self, host, topic, newer, kind, asked_at):
        if host.frozen:
            return
        host.reading.discard(topic)
        if self.store_refuses or host.refused or host.data_centre == self.cut_off:
            freshness = host.freshness
            host.backoff.note_failure(
                freshness.find_rank(topic), freshness.count_hosts()
            )
        elif kind == "copy":
            version = self._get_version(topic, COPY_LAG_SECONDS)
            if version < newer.report.revision:
                if not host.freshness.note_copy_missed(topic):
                    self.calls["newest"] += 1
                    self._note_read(host, topic, asked_at)
            else:
                host.backoff.note_success()
                host.freshness.note_newer_read(topic, newer, str(version), version)
                self._note_version(host, topic, version)
        else:
            self._note_read(host, topic, asked_at)
        self._poll(host, topic)

    def _note_read(self, host, topic, asked_at):
        version = self._get_version(topic, CALL_SECONDS / 2)
        host.backoff.note_success()
        host.freshness.note_read(topic, str(version), asked_at, version)
        self._note_version(host, topic, version)
        self._tell(host, host.freshness.report_own_reads())
        for each in host.versions:
            self._poll(host, each)

    def _note_version(self, host, topic, version):
        host.versions[topic] = version
        self.reached.setdefault((host.name, topic, version), self.now)

    def _tell(self, host, copies):
        """Send the news of a read to all hosts, at once."""
        for other in self.hosts:
            if other is not host:
                self._send(host, other, copies, self._draw_transit())

    def _report(self, host):
        """Report to the own data centre, or to all hosts where these are few."""
        if host.frozen:
            return
        copies = read_copies(write_copies(host.freshness.make_report()))
        is_summed = len(self.hosts) > SUMMED_HOSTS
        for other in self.hosts:
            near = other.data_centre == host.data_centre or not is_summed
            if other is not host and near:
                self._send(host, other, copies, self._draw_transit())
        self._schedule(REPORT_SECONDS, self._report, host)

    def _sum_up(self, host):
        """Send the freshest copies of a data centre to the others."""
        if host.frozen or len(self.hosts) <= SUMMED_HOSTS:
            return
        near = [h for h in self.hosts if h.data_centre == host.data_centre]
        if host in [h for h in near if h.freshness and not h.frozen][:AGGREGATORS]:
            copies = host.freshness.make_report()
            seconds = self._draw_transit() + REBROADCAST_SECONDS
            for other in self.hosts:
                if other not in near:
                    self._send(host, other, copies, seconds + self._draw_transit())
        self._schedule(SUMMARY_SECONDS, self._sum_up, host)

    def _draw_transit(self):
        return NETWORK_SECONDS + self._random.uniform(0, READ_DELAY_SECONDS)

    def _send(self, host, other, copies, seconds):
        if other.freshness is not None and self._hears(other, host):
            self._schedule(seconds, self._receive, other, copies)

    def _receive(self, host, copies):
        if host.frozen or host.deaf:
            return
        for topic in host.freshness.merge_report(copies):
            self._poll(host, topic)
