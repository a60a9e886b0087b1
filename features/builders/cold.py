"""Hosts and endpoints that become cold, on a clock moved by events.

Each host reads entries at its own time, up to a second after they were written.
"""

from collections import defaultdict

from attrs import evolve

from mangogauge.backpressure import ColdBounds, Work
from mangogauge.fleet import Service
from mangogauge.sharing.messages import decode

from .backpressure import FAR_SECONDS, LimitedFleet

__all__ = ["BOUNDS", "ColdFleet"]

BOUNDS = ColdBounds(1.5, 5.0)
# Entries are read once in this time by each host.
READ_SECONDS = 1.0
JUDGE_SECONDS = 0.15
GOSSIP_REPEAT_SECONDS = 1.0
# For which a request holds a slot, and how many may be sent for each slot.
HOLD_SECONDS = 0.45
MOST_RUNNING = 9
WINDOW_SECONDS = 1.0
# How long hosts may take a cut for none: until a report is overdue.
CUT_SECONDS = 0.6


class ColdFleet(LimitedFleet):
    """Hosts that send requests to endpoints which become cold.

    Attributes
    ----------
    cold_spans : dict of str to list of (float, float)
        When each endpoint was cold.
    """

    def __init__(self, hosts, endpoints, seed, rate, seconds):
        super().__init__(hosts, endpoints, seed, cold_bounds=BOUNDS)
        self.rate, self.cold_seconds = rate, seconds
        self.cold_spans = defaultdict(list)
        self._running = defaultdict(int)
        self._known = {}
        self._cut_at = float("-inf")
        self._revision = 1
        self._is_isolated = False
        for name in self.hosts:
            self._load(name)

    def _load(self, name):
        """Let a host that starts read the entries and the configuration."""
        limiter = self.hosts[name].limiter
        self._known[name] = {}
        for endpoint in self.endpoints:
            self._read(name, endpoint, False)
        limiter.set_services([Service("s0", self.cold_seconds, self.rate)])
        self._judge(self.hosts[name])
        self._at(GOSSIP_REPEAT_SECONDS, lambda: self._tell_cold(self.hosts[name]))

    def _judge(self, host):
        """Do what a host does now and then."""
        host.limiter.update_cold()
        if host.limiter.cold.has_news:
            host.limiter.cold.has_news = False
            self._tell_cold(host, repeats=False)
        if not host.is_stopped:
            self._at(JUDGE_SECONDS, lambda: self._judge(host))

    def _tell_cold(self, host, repeats=True):
        if host.is_stopped:
            return
        if repeats:
            self._at(GOSSIP_REPEAT_SECONDS, lambda: self._tell_cold(host))
        data = host.limiter.cold.make_news().to_bytes()
        names = [name for name in self.hosts if name != host.member.name]
        for name in self.random.sample(names, 3):
            if self.is_heard(name, host.member.name):
                delay = self.random.uniform(*FAR_SECONDS)
                self._at(delay, lambda name=name: self._merge_cold(name, data))

    def _merge_cold(self, name, data):
        (news,) = decode(data)
        self.hosts[name].limiter.merge_cold(news)

    def _read(self, name, endpoint, has_entered=True):
        record = endpoint.record
        if self._known[name].get(record.name) == record:
            return
        self._known[name][record.name] = record
        self.hosts[name].limiter.note_entry(record, has_entered)

    def _spread(self, endpoint):
        """Let each host read an endpoint's entry within `READ_SECONDS`."""
        for name in self.hosts:
            delay = self.random.uniform(0, READ_SECONDS)
            self._at(delay, lambda name=name: self._read(name, endpoint))

    def start_endpoints(self, data_centre):
        """Let the endpoints of a data centre start again, within a second."""
        for endpoint in self.list_endpoints(data_centre):
            self._at(self.random.random(), lambda e=endpoint: self._start_endpoint(e))

    def _start_endpoint(self, endpoint):
        start = round(self.clock.read_calendar() * 1000)
        endpoint.record = evolve(endpoint.record, start_time_ms=start)
        self._note_cold(endpoint)
        self._running[endpoint.record.name] = 0
        self._spread(endpoint)

    def announce(self, data_centre):
        """Let the endpoints of a data centre write that they are cold again."""
        for endpoint in self.list_endpoints(data_centre):
            self._revision += 1
            endpoint.record = evolve(
                endpoint.record,
                cold_left=self.cold_seconds,
                cold_revision=self._revision,
            )
            self._note_cold(endpoint)
            self._spread(endpoint)

    def _note_cold(self, endpoint):
        span = (self.now, self.now + self.cold_seconds)
        self.cold_spans[endpoint.record.name].append(span)

    def list_endpoints(self, data_centre):
        """Return the endpoints of a data centre, or all of them."""
        return [
            endpoint
            for endpoint in self.endpoints
            if data_centre in ("all", endpoint.record.data_centre)
        ]

    def restart(self, name):
        self.hosts[name].queue.clear()
        super().restart(name)
        self._load(name)

    def set_cut(self, names):
        """Cut hosts off from the others, who notice after `CUT_SECONDS`."""
        self.cut, self._cut_at = set(names), self.now

    def isolate(self):
        """Let no host hear another one from now on."""
        self._is_isolated, self._cut_at = True, self.now

    def is_heard(self, name, by):
        return not self._is_isolated and super().is_heard(name, by)

    def is_reporting(self, name, by):
        return self.now < self._cut_at + CUT_SECONDS or self.is_heard(name, by)

    def list_usable(self, host, service):
        """Return the endpoints with a free slot whose process the host knows."""
        known = self._known[host.member.name]
        return [
            endpoint
            for endpoint in super().list_usable(host, service)
            if self._running[endpoint.record.name] < MOST_RUNNING
            and known[endpoint.record.name].start_time_ms
            == endpoint.record.start_time_ms
        ]

    def _send(self, host, endpoint):
        super()._send(host, endpoint)
        record = endpoint.record
        self._running[record.name] += 1

        def end():
            if endpoint.record.start_time_ms == record.start_time_ms:
                self._running[record.name] -= 1

        self._at(self.random.uniform(0.5, 1.5) * HOLD_SECONDS, end)

    def resume_streams(self, each, seconds):
        """Let each host have streams to resume, all within some seconds."""

        def resume(host, tries=10):
            usable = self.list_usable(host, "s0")
            for endpoint in usable:
                if host.limiter.accepts(endpoint.record, Work.RESUMED):
                    self._send(host, endpoint)
                    return
            if tries:
                self._at(0.02, lambda: resume(host, tries - 1))

        for host in self.hosts.values():
            for _ in range(each):
                self._at(self.random.random() * seconds, lambda h=host: resume(h))

    def find_most(self):
        """Return the most requests of any cold endpoint in any one second."""
        return max(
            count_most(time for time, _ in endpoint.arrivals if begin <= time < end)
            for endpoint in self.endpoints
            for begin, end in self.cold_spans[endpoint.record.name]
        )

    def count_cold(self):
        """Return the requests that cold endpoints got, and the seconds they were."""
        got = seconds = 0
        for endpoint in self.endpoints:
            for begin, end in self.cold_spans[endpoint.record.name]:
                end = min(end, self.now)
                got += sum(begin <= time < end for time, _ in endpoint.arrivals)
                seconds += end - begin
        return got, seconds


def count_most(times):
    """Return the most of some times, in order, within any `WINDOW_SECONDS`."""
    times = list(times)
    most = first = 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most
