"""Hosts and limited endpoints on a clock moved by events.

The hosts' limiters are the product's own; endpoints, callers and messages are played.
"""

import heapq
import random
from itertools import count

from attrs import define, evolve, field

from mangogauge.backpressure import NO_LIMIT, EndpointLimiter, LimitNews, Takers, Work
from mangogauge.clock import ManualClock
from mangogauge.fleet.members import FleetMember
from mangogauge.sharing import EndpointLoad
from mangogauge.sharing.messages import decode
from mangogauge.sharing.topology import MAX_DIRECT_HOSTS

from .fleet import FixedMembers, make_endpoint

__all__ = ["LimitedFleet"]

# Time of a message, within a data centre and between two.
NEAR_SECONDS = (0.001, 0.004)
FAR_SECONDS = (0.01, 0.03)
COALESCE_SECONDS = 0.01
REPEAT_SECONDS = 1.0
GOSSIP_SECONDS = 0.25
GOSSIP_TARGETS = 3
# Least and longest time until the head of an answer.
ANSWER_SECONDS = (0.01, 0.1)
# How long a request waits for room, and how often it is looked for.
WAIT_SECONDS = 0.15
PUMP_SECONDS = 0.02
# How old the counts of waiting hosts are.
REPORT_SECONDS = 0.02
# A host counts from so long after it has passed on an answer that names a limit.
HEARD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
TOLERANCE = 1.5
SPARE_REQUESTS = 5


class _Reports:
    """Stands in for a `ReportTable`."""

    def __init__(self, fleet, host):
        self.host = host
        self._fleet = fleet
        self.waiting = 0

    def count_waiting_hosts(self):
        return 1 + len(self._fleet.waiting_hosts - {self.host})

    def measure(self, name):
        return EndpointLoad()

    def list_hosts_with_items(self):
        return []

    def is_reporting(self, name):
        return self._fleet.is_reporting(name, self.host)


@define(eq=False)
class _Host:
    """A host with its limiter and the requests that wait there."""

    member = field()
    limiter = field()
    reports = field()
    queue = field(factory=list)
    is_told = field(default=False)
    gossiped_at = field(default=0.0)
    gossip_due_at = field(default=0.0)
    is_stopped = field(default=False)


@define
class PlayedEndpoint:
    """An endpoint, its limit, and what it got.

    Attributes
    ----------
    arrivals : list of (float, str)
        Elapsed time and host of each request.
    passed_at : dict of str to float
        When each host first passed on an answer that names a limit.
    """

    record = field()
    rate = field(default=NO_LIMIT)
    arrivals = field(factory=list)
    named_at = field(default=None)
    passed_at = field(factory=dict)

    def find_most(self, named_at, since):
        """Return the most requests in a window, as the rule counts them.

        Parameters
        ----------
        named_at : float
            When the limit was named that is in force.
        since : float
            When the first window ends.
        """
        times = [
            time
            for time, host in self.arrivals
            if time >= named_at
            and self.passed_at.get(host, float("inf")) <= time - HEARD_SECONDS
        ]
        most = first = 0
        for last, time in enumerate(times):
            while times[first] <= time - WINDOW_SECONDS:
                first += 1
            if time >= since:
                most = max(most, last - first + 1)
        return most


class LimitedFleet:
    """Hosts in data centres that send requests to endpoints.

    Parameters
    ----------
    hosts, endpoints : int
    seed : int
    services : int, optional
        Each endpoint belongs to one, each request is for one.
    data_centres : int, optional
    cold_bounds : ColdBounds, optional
    """

    def __init__(
        self, hosts, endpoints, seed, services=1, data_centres=4, cold_bounds=None
    ):
        self.cold_bounds = cold_bounds
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.waiting_hosts = frozenset()
        self.cut = set()
        self.refused = self.served = self.items_sent = 0
        self.messages = self.message_bytes = 0
        self._events, self._numbers = [], count()
        self._data_centres = data_centres
        self.services = services
        self.endpoints = [
            PlayedEndpoint(
                make_endpoint(
                    f"e{n}",
                    service=f"s{n % services}",
                    data_centre=f"d{n // services % data_centres}",
                    start_time_ms=1,
                )
            )
            for n in range(endpoints)
        ]
        self._by_service = {
            service: [e for e in self.endpoints if e.record.service == service]
            for service in {e.record.service for e in self.endpoints}
        }
        members = [self._make_member(n) for n in range(hosts)]
        self.is_direct = hosts <= MAX_DIRECT_HOSTS + 1
        self.hosts = {m.name: self._make_host(m, members) for m in members}
        self._at(0.0, self._publish_waiting)
        self._pumping = False

    def _make_member(self, number):
        data_centre = f"d{number % self._data_centres}"
        return FleetMember(f"h{number}", "1", data_centre, f"192.0.2.1:{number}")

    def _make_host(self, member, members):
        reports = _Reports(self, member.name)
        limiter = EndpointLimiter(
            Takers(FixedMembers(member, members), lambda: self.is_direct),
            reports,
            member.incarnation,
            self.clock,
            random.Random(self.random.random()),
            self.cold_bounds,
        )
        host = _Host(member, limiter, reports)
        phase = self.random.random() * REPEAT_SECONDS
        self._at(phase, lambda: self._tell_all(host))
        self._at(phase, lambda: self._gossip(host))
        return host

    @property
    def now(self):
        return self.clock.read_elapsed()

    def _at(self, delay, action):
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), action))

    def run(self, seconds):
        """Play until so much time has passed."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            time, _, action = heapq.heappop(self._events)
            self.clock.advance(time - self.now)
            action()
        self.clock.advance(until - self.now)

    def set_limits(self, endpoints, rate):
        """Let endpoints name a limit from now on, or none."""
        for endpoint in endpoints:
            endpoint.rate = rate
            if endpoint.named_at is None:
                endpoint.named_at = self.now

    def start_traffic(self, rate, until, burst_seconds=0.0):
        """Let requests come at random, at all hosts together, until a time.

        Parameters
        ----------
        rate : float
            Requests a second.
        until : float
            Elapsed time.
        burst_seconds : float, optional
            If given, they come for so long, and then pause for as long.
        """
        names = list(self.hosts)

        def is_paused():
            return burst_seconds and self.now // burst_seconds % 2

        def arrive():
            if self.now >= until:
                return
            host = self.hosts[self.random.choice(names)]
            if not host.is_stopped and not is_paused():
                self._request(host)
            self._at(self.random.expovariate(rate), arrive)

        self._at(0.0, arrive)

    def burst(self, each, seconds):
        """Let so many requests come to each host at random within some seconds."""
        for host in self.hosts.values():
            for _ in range(each):
                delay = self.random.random() * seconds
                self._at(delay, lambda host=host: self._request(host))

    def start_items(self, until, interval=0.2):
        """Let each host try to send an item at each endpoint again and again."""

        def dispatch(host):
            if self.now >= until:
                return
            for endpoint in self.endpoints:
                if host.limiter.accepts(endpoint.record, Work.ITEM):
                    self.items_sent += 1
                    self._send(host, endpoint)
            self._at(interval, lambda: dispatch(host))

        for host in self.hosts.values():
            self._at(self.random.random() * interval, lambda host=host: dispatch(host))

    def is_heard(self, name, by):
        """Return whether a host's messages reach another one."""
        return (name in self.cut) == (by in self.cut)

    def is_reporting(self, name, by):
        """Return whether a host takes another one for heard."""
        return self.is_heard(name, by)

    def restart(self, name):
        """Let a host begin anew, without knowledge."""
        old = self.hosts[name]
        others = [h.member for h in self.hosts.values()]
        member = evolve(old.member, incarnation="2")
        old.is_stopped = True
        self.hosts[name] = self._make_host(member, others)
        for endpoint in self.endpoints:
            endpoint.passed_at.pop(name, None)

    def _request(self, host):
        service = f"s{self.random.randrange(self.services)}"
        if host.queue or not self._start(host, service):
            host.queue.append((service, self.now + WAIT_SECONDS))
            host.reports.waiting = len(host.queue)
            if len(host.queue) == 1:
                self._at(PUMP_SECONDS, lambda: self._pump(host))

    def _pump(self, host):
        waiting = []
        for service, until in host.queue:
            if until <= self.now:
                self.refused += 1
            elif waiting or not self._start(host, service):
                waiting.append((service, until))
        host.queue = waiting
        host.reports.waiting = len(waiting)
        if waiting:
            self._at(PUMP_SECONDS, lambda: self._pump(host))

    def _publish_waiting(self):
        self.waiting_hosts = frozenset(n for n, h in self.hosts.items() if h.queue)
        self._at(REPORT_SECONDS, self._publish_waiting)

    def _start(self, host, service):
        open_endpoints = [
            endpoint
            for endpoint in self.list_usable(host, service)
            if host.limiter.accepts(endpoint.record)
        ]
        if not open_endpoints:
            return False
        self.served += 1
        self._send(host, self.random.choice(open_endpoints))
        return True

    def list_usable(self, host, service):
        """Return the endpoints of a service to which a host may send."""
        return self._by_service[service]

    def _send(self, host, endpoint):
        host.limiter.take(endpoint.record)
        asked_at, name = self.now, host.member.name
        endpoint.arrivals.append((asked_at, name))
        rate = endpoint.rate

        def answer():
            if rate < NO_LIMIT:
                endpoint.passed_at.setdefault(name, self.now)
            if host.limiter.note_answer(endpoint.record, rate, asked_at):
                self._gossip_soon(host)
            self._tell_changes(host)

        self._at(self.random.uniform(*ANSWER_SECONDS), answer)
        self._tell_changes(host)

    def _tell_changes(self, host):
        if host.is_told or not host.limiter.has_changes:
            return
        host.is_told = True

        def tell():
            host.is_told = False
            self._deliver(host, host.limiter.make_changes())

        self._at(COALESCE_SECONDS, tell)

    def _tell_all(self, host):
        if host.is_stopped:
            return
        endpoints = [e.record for e in self.endpoints]
        host.limiter.remove_old(endpoints, self.hosts)
        self._deliver(host, host.limiter.make_repeats())
        self._at(REPEAT_SECONDS, lambda: self._tell_all(host))

    def _gossip_soon(self, host):
        """Let a host gossip, at most once in `GOSSIP_SECONDS`."""
        if host.gossip_due_at > self.now + GOSSIP_SECONDS:
            host.gossip_due_at = max(self.now, host.gossiped_at + GOSSIP_SECONDS)
            self._at(host.gossip_due_at - self.now, lambda: self._gossip(host))

    def _gossip(self, host):
        if host.is_stopped or self.now < host.gossip_due_at:
            return
        names = [n for n in self.hosts if n != host.member.name]
        news = host.limiter.make_gossip()
        if news:
            targets = self.random.sample(names, min(GOSSIP_TARGETS, len(names)))
            self._deliver(host, [(news, targets)])
        host.gossiped_at = self.now
        host.gossip_due_at = self.now + REPEAT_SECONDS
        self._at(REPEAT_SECONDS, lambda: self._gossip(host))

    def _deliver(self, sender, messages):
        for news, names in messages:
            data = news.to_bytes()
            for name in names:
                if self.is_heard(sender.member.name, name):
                    self._deliver_one(sender, data, self.hosts[name])

    def _deliver_one(self, sender, data, receiver):
        self.messages += 1
        self.message_bytes += len(data)
        is_near = sender.member.data_centre == receiver.member.data_centre
        seconds = self.random.uniform(*(NEAR_SECONDS if is_near else FAR_SECONDS))

        def merge():
            (news,) = decode(data)
            assert isinstance(news, LimitNews)
            if receiver.limiter.merge(news):
                self._gossip_soon(receiver)

        self._at(seconds, merge)


def allow_requests(rate):
    """Return how many requests the rule allows an endpoint in a window."""
    return TOLERANCE * rate * WINDOW_SECONDS + SPARE_REQUESTS
