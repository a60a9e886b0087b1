"""Routers side by side: several hosts share endpoints and know of each other late.

Usage: ``python -m bench.routing``. The routers are those in use, on a clock
moved by events; endpoints are queues with slots, a prefix cache, one endpoint
four times as slow and one that answers errors at once.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque

import orjson
from attrs import define, field

from mangogauge.clock import ManualClock
from mangogauge.routing import BalancedRouter, EndpointLoadExchange, LoadReport
from mangogauge.settings import Endpoint, EndpointKind

HOSTS = 6
ENDPOINTS = 12
SLOTS = 8
SERVICE_SECONDS = 0.4
MISS_SECONDS = 0.2
ERROR_SECONDS = 0.005
SLOW_FACTOR = 4.0
PREFIXES = 240
CACHED_PREFIXES = 40
LOAD = 0.7
REQUESTS = 12_000
SHARE_SECONDS = 0.5
ATTEMPTS = 3
SEED = 7


@define(eq=False)
class Request:
    affinity = field()
    begun = field()
    host = field()
    tried = field(factory=list)

    def suits(self, endpoint):
        return True


class Backend:
    """An endpoint: slots, a queue in order of arrival, a prefix cache."""

    def __init__(self, bench, slow, failing):
        self._bench = bench
        self._slow = slow
        self._failing = failing
        self._cache = OrderedDict()
        self.running = 0
        self.waiting = deque()

    def take(self, request, done):
        if self._failing:
            self._bench.at(ERROR_SECONDS, done, False, 0.0)
            return
        self.waiting.append((request, done))
        self._start()

    def _start(self):
        while self.waiting and self.running < SLOTS:
            request, done = self.waiting.popleft()
            self.running += 1
            seconds = self._measure(request)
            self._bench.at(seconds, self._end, done, seconds)

    def _end(self, done, seconds):
        self.running -= 1
        done(True, seconds)
        self._start()

    def _measure(self, request):
        seconds = SERVICE_SECONDS * (0.5 + self._bench.random.random())
        if request.affinity not in self._cache:
            seconds += MISS_SECONDS
        self._cache[request.affinity] = True
        self._cache.move_to_end(request.affinity)
        if len(self._cache) > CACHED_PREFIXES:
            self._cache.popitem(last=False)
        return seconds * (SLOW_FACTOR if self._slow else 1.0)


class RoundRobin:
    """The baseline: each endpoint in turn, nothing counted or shared."""

    def __init__(self, clock, rng):
        self._turns = rng.randrange(ENDPOINTS)

    def set_endpoints(self, endpoints):
        self._endpoints = list(endpoints.values())

    def choose(self, request, excluded=()):
        for _ in self._endpoints:
            self._turns += 1
            endpoint = self._endpoints[self._turns % len(self._endpoints)]
            if endpoint.name not in excluded:
                return endpoint
        return None

    def begin(self, name):
        return None

    end = note_success = note_failure = begin


class WithoutAffinity(BalancedRouter):
    """The router in use, but the better of two for every call."""

    def choose(self, call, excluded=(), allow_down=False):
        plain = Request(0, call.begun, call.host)
        return super().choose(plain, excluded, allow_down)


@define
class Policy:
    """A router, and what a request of others counts."""

    router = field()
    others_weight = field(default=0.0)

    def make_router(self, clock, rng):
        if self.router is RoundRobin:
            return RoundRobin(clock, rng)
        return self.router("a", clock, rng, self.others_weight)


POLICIES = {"round robin": Policy(RoundRobin)}
for weight in (0.0, 0.1, 0.3, 1.0):
    POLICIES[f"better of two, others count {weight}"] = Policy(WithoutAffinity, weight)
    POLICIES[f"bounded affinity, others count {weight}"] = Policy(
        BalancedRouter, weight
    )


class Bench:
    """One policy at one lag."""

    def __init__(self, policy, lag):
        chosen = POLICIES[policy]
        self._shares = chosen.router is not RoundRobin
        self._lag = lag
        self.random = random.Random(SEED)
        self.clock = ManualClock()
        self._events = []
        self._numbers = itertools.count()
        names = [f"engine-{n:02d}" for n in range(ENDPOINTS)]
        self._backends = {
            name: Backend(self, slow=n == 0, failing=n == 1)
            for n, name in enumerate(names)
        }
        endpoints = {
            name: Endpoint(name, "127.0.0.1:1", "a", EndpointKind.ENGINE, slots=SLOTS)
            for name in names
        }
        self._routers = [
            chosen.make_router(self.clock, self.random) for _ in range(HOSTS)
        ]
        for router in self._routers:
            router.set_endpoints(endpoints)
        self._boards = [EndpointLoadExchange(r, self.clock) for r in self._routers]
        self._seen = [{} for _ in range(HOSTS)]
        self._latencies = []
        self._errors = 0

    def at(self, seconds, function, *arguments):
        due = self.clock.read_elapsed() + seconds
        heapq.heappush(self._events, (due, next(self._numbers), function, arguments))

    def run(self):
        rate = LOAD * (ENDPOINTS - 1.75) * SLOTS / SERVICE_SECONDS / 1.15
        arrival = 0.0
        for _ in range(REQUESTS):
            arrival += self.random.expovariate(rate)
            self.at(arrival, self._arrive)
        if self._shares:
            self.at(SHARE_SECONDS, self._share)
        while self._events and len(self._latencies) + self._errors < REQUESTS:
            due, _, function, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due - self.clock.read_elapsed()))
            function(*arguments)
        return self._summarize()

    def _arrive(self):
        affinity = 1 + int(PREFIXES * self.random.random() ** 2)
        host = self.random.randrange(HOSTS)
        self._send(Request(affinity, self.clock.read_elapsed(), host))

    def _send(self, request):
        router = self._routers[request.host]
        endpoint = router.choose(request, request.tried)
        if endpoint is None or len(request.tried) >= ATTEMPTS:
            self._errors += 1
            return
        name = endpoint.name
        request.tried.append(name)
        router.begin(name)
        sent = self.clock.read_elapsed()

        def done(answered, seconds):
            router.end(name)
            if not answered:
                router.note_failure(name)
                self._send(request)
                return
            router.note_success(name)
            taken = self.clock.read_elapsed() - sent
            if isinstance(router, BalancedRouter):
                router.note_slowness(name, taken / SERVICE_SECONDS)
            self._latencies.append(self.clock.read_elapsed() - request.begun)

        self._backends[name].take(request, done)

    def _share(self):
        loads = {str(i): b.encode_host_load() for i, b in enumerate(self._boards)}
        reports = {
            name: LoadReport(backend.running, len(backend.waiting), measured=True)
            for name, backend in self._backends.items()
        }
        self.at(self._lag, self._deliver, loads, reports)
        self.at(SHARE_SECONDS, self._share)

    def _deliver(self, loads, reports):
        for number, board in enumerate(self._boards):
            others = {host: raw for host, raw in loads.items() if host != str(number)}
            for name, report in reports.items():
                board.record_own_report(name, report)
            board.apply_host_loads(others, self._seen[number])

    def _summarize(self):
        ordered = sorted(self._latencies)
        shares = {f"p{share}": ordered[len(ordered) * share // 100] for share in POINTS}
        return {name: round(value, 3) for name, value in shares.items()} | {
            "errors": self._errors
        }


POINTS = (50, 95, 99)


def main():
    for lag in (1.0, 2.5, 5.0):
        for policy in POLICIES:
            row = {"lag": lag, "policy": policy, **Bench(policy, lag).run()}
            print(orjson.dumps(row).decode(), flush=True)


if __name__ == "__main__":
    main()
