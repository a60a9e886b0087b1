"""Rules of which endpoints to trust, side by side in one run.

Usage: ``python -m bench.trust``. Hosts choose by the product's own classes on a clock
moved by events: 8 hosts and 12 endpoints in 4 data centres. The rules: none; a failure
shuns for a moment and any answer clears it; trust; an oracle that knows the truth.
"""

import heapq
import itertools
import random
import time
from functools import partial

import orjson
from attrs import field, frozen

from mangogauge.clock import ManualClock
from mangogauge.fleet import FleetEndpoint
from mangogauge.placement import EndpointChooser, EndpointHealth
from mangogauge.sharing import ReportTable
from mangogauge.trust import EndpointTrust

SEEDS = (1, 2)
HOSTS = 8
ENDPOINTS = 12
PLACES = "abcd"
SLOTS = 8
SERVICE = "llm"
REQUESTS_PER_SECOND = 55.0
SECONDS = 60.0
TROUBLE_FROM = 10.0
TROUBLE_UNTIL = 50.0
REPORT_SECONDS = 0.05
LAG_SECONDS = 0.01
JUDGE_SECONDS = 0.15
FIRST_SECONDS = 0.04
EVENTS = 34
EVENT_SECONDS = 0.006
DEADLINE_SECONDS = 5.0
SILENCE_SECONDS = 1.2
OBJECTIVE_SECONDS = 0.3
# Part of the requests that may be sent to a second endpoint.
REPEATABLE = 0.15
CHOICES = 20_000


@frozen
class Trouble:
    """What happens to some of the endpoints, or on the way to them.

    Parameters
    ----------
    endpoints : tuple of int
    kind : str
        "errors", "silence", "refusals", "resets" or "slow".
    share : float
        Of the requests that meet it.
    times : float
        By which slow ones are slower.
    on_seconds, off_seconds : float
        It comes and goes.
    host : int or None
        It strikes this host's requests alone.
    """

    endpoints = field()
    kind = field()
    share = field(default=1.0)
    times = field(default=1.0)
    on_seconds = field(default=SECONDS)
    off_seconds = field(default=0.0)
    host = field(default=None)

    def strikes(self, number, host, now, rng):
        """Return whether a request that is sent now meets it."""
        if number not in self.endpoints or not self.is_on(now):
            return False
        if self.host is not None and host != self.host:
            return False
        return rng.random() < self.share

    def is_on(self, now):
        """Return whether it lasts at this time."""
        if not TROUBLE_FROM <= now < TROUBLE_UNTIL:
            return False
        period = self.on_seconds + self.off_seconds
        return (now - TROUBLE_FROM) % period < self.on_seconds


TROUBLES = {
    "calm": Trouble((), "errors"),
    "grey: errors": Trouble((0, 1, 2), "errors", 0.4),
    "grey: silence": Trouble((0, 1, 2), "silence", 0.4),
    "lying: refusals": Trouble((0, 1), "refusals"),
    "flapping": Trouble((0, 1, 2), "errors", 0.8, on_seconds=1.5, off_seconds=3.0),
    "slow": Trouble((0, 1, 2), "slow", times=6.0),
    "one bad link": Trouble((1, 5, 9), "resets", 0.5, host=1),
    "one bad host": Trouble(tuple(range(ENDPOINTS)), "resets", 0.3, host=1),
    "all grey": Trouble(tuple(range(ENDPOINTS)), "errors", 0.3),
}


class Oracle(EndpointTrust):
    """Knows which endpoints are in trouble, and how slow they are."""

    def __init__(self, clock, trouble, host):
        super().__init__(clock)
        self._trouble = trouble
        self._host = host

    def accepts_requests(self, name):
        """Return whether the endpoint is sound, or all are in trouble."""
        trouble = self._trouble
        if trouble.kind == "slow" or len(trouble.endpoints) == ENDPOINTS:
            return True
        return not self._strikes(name)

    def get_cost(self, name):
        """Return how slow the endpoint is."""
        return self._trouble.times if self._strikes(name) else 1.0

    def _strikes(self, name):
        trouble = self._trouble
        is_here = trouble.host in (None, self._host)
        is_meant = int(name[1:]) in trouble.endpoints
        return is_here and is_meant and trouble.is_on(self.read_now())


class NoHealth(EndpointHealth):
    """Holds nothing against an endpoint."""

    def note_failure(self, name):
        """Note nothing."""


class Host:
    """One host: its counts, what it trusts, and its choices."""

    def __init__(self, bench, number, rule):
        self.bench = bench
        self.number = number
        clock = bench.clock
        self.board = ReportTable(f"h{number}", "1", clock)
        self.health = NoHealth(clock) if rule == "none" else EndpointHealth(clock)
        self.told = EndpointTrust(
            clock,
            self.board.list_failures,
            self.board.count_reporting_hosts,
            lambda name: self.board.measure(name).total,
        )
        trusts = {"trust": self.told, "oracle": Oracle(clock, bench.trouble, number)}
        self.trust = trusts.get(rule, EndpointTrust(clock))
        self.chooser = EndpointChooser(
            bench, self.board, self.health, self.trust, PLACES[number % 4], bench.random
        )

    def report(self):
        report = self.board.make_report(
            {}, self.health.list_unhealthy(), {}, failures=self.told.list_evidence()
        )
        self.bench.at(LAG_SECONDS, self.bench.deliver, report)
        self.bench.at(REPORT_SECONDS, self.report)

    def judge(self):
        self.told.evaluate(self.bench.list_endpoints())
        self.bench.barred += sum(
            not self.trust.accepts_requests(e.name) and not self.bench.is_struck(e)
            for e in self.bench.list_endpoints()
        )
        self.bench.at(JUDGE_SECONDS, self.judge)


class Request:
    """A request, which may be sent to one endpoint or two."""

    def __init__(self, bench, host):
        self.bench = bench
        self.host = host
        self.attempts = 2 if bench.random.random() < REPEATABLE else 1
        self.began_at = bench.clock.read_elapsed()
        self.tried = []

    def send(self):
        may_repeat = self.attempts > 1 and not self.tried
        endpoint = self.host.chooser.choose(SERVICE, self.tried, may_repeat)
        if endpoint is None:
            self.bench.note(self, False)
            return
        self.tried.append(endpoint.name)
        self.host.board.begin(endpoint.name)
        sending = self.host.told.begin(endpoint)
        self.bench.run(self, endpoint, sending)

    def fail(self, sending, end, is_noted, may_go_on):
        self.host.board.end(sending.name)
        end()
        if is_noted:
            self.host.health.note_failure(sending.name)
        if may_go_on:
            self.send()
        else:
            self.bench.note(self, False)

    def begin_answer(self, sending):
        sending.note_progress(0)
        self.host.health.note_answer(sending.name)
        self.first_at = self.bench.clock.read_elapsed()

    def finish(self, sending):
        sending.note_progress(EVENTS)
        sending.end_answered()
        self.host.board.end(sending.name)
        self.bench.note(self, True)


class Bench:
    """One rule in one trouble."""

    def __init__(self, rule, trouble, seed):
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.trouble = trouble
        self._events = []
        self._numbers = itertools.count()
        self._endpoints = [
            FleetEndpoint(f"e{n}", SERVICE, "192.0.2.1:80", PLACES[n % 4], SLOTS)
            for n in range(ENDPOINTS)
        ]
        self.barred = 0
        self.served = self.failed = self.sent = self.met = 0
        self.firsts = []
        self._hosts = [Host(self, number, rule) for number in range(HOSTS)]

    def list_endpoints(self):
        return self._endpoints

    def is_leaving(self, endpoint):
        return False

    def is_struck(self, endpoint):
        number = int(endpoint.name[1:])
        is_here = self.trouble.host is None and number in self.trouble.endpoints
        return is_here and self.trouble.kind != "slow"

    def at(self, seconds, function, *arguments):
        due = self.clock.read_elapsed() + seconds
        heapq.heappush(self._events, (due, next(self._numbers), function, arguments))

    def deliver(self, report):
        for host in self._hosts:
            host.board.merge_report(report)

    def play(self):
        for host in self._hosts:
            self.at(self.random.random() * REPORT_SECONDS, host.report)
            self.at(self.random.random() * JUDGE_SECONDS, host.judge)
        self.at(0.0, self._arrive)
        while self._events and self.clock.read_elapsed() < SECONDS:
            due, _, function, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due - self.clock.read_elapsed()))
            function(*arguments)

    def run(self, request, endpoint, sending):
        """Let an endpoint run a request."""
        number, now = int(endpoint.name[1:]), self.clock.read_elapsed()
        struck = self.trouble.strikes(number, request.host.number, now, self.random)
        self.sent += 1
        self.met += struck
        kind = self.trouble.kind if struck else "none"
        times = self.trouble.times if struck else 1.0
        load = sum(host.board.get_own(endpoint.name).total for host in self._hosts)
        crowd = max(1.0, load / SLOTS)
        first = FIRST_SECONDS * times * crowd * self.random.lognormvariate(0, 0.4)
        may_repeat = request.attempts > len(request.tried)
        fail = partial(request.fail, sending)
        if kind == "errors":
            self.at(first, fail, sending.end_failed, False, may_repeat)
        elif kind == "refusals":
            self.at(0.002, fail, sending.end_refused, False, len(request.tried) < 3)
        elif kind == "resets":
            self.at(first, fail, sending.end_interrupted, True, may_repeat)
        elif kind == "silence" and may_repeat:
            self.at(SILENCE_SECONDS, fail, sending.end_interrupted, True, True)
        elif kind == "silence":
            self.at(DEADLINE_SECONDS, fail, sending.end, False, False)
        else:
            self.at(first, request.begin_answer, sending)
            whole = first + EVENTS * EVENT_SECONDS * times * crowd
            self.at(whole, request.finish, sending)

    def note(self, request, served):
        if not TROUBLE_FROM <= request.began_at < TROUBLE_UNTIL:
            return
        self.served += served
        self.failed += not served
        if served:
            self.firsts.append(request.first_at - request.began_at)

    def _arrive(self):
        self.at(self.random.expovariate(REQUESTS_PER_SECOND), self._arrive)
        Request(self, self.random.choice(self._hosts)).send()


RULES = ("none", "today", "trust", "oracle")


def summarize(benches):
    """Return the figures of the same play with several seeds."""
    served = sum(bench.served for bench in benches)
    failed = sum(bench.failed for bench in benches)
    sent = sum(bench.sent for bench in benches)
    met = sum(bench.met for bench in benches)
    firsts = sorted(first for bench in benches for first in bench.firsts)
    late = sum(first > OBJECTIVE_SECONDS for first in firsts)
    barred = sum(bench.barred for bench in benches) * JUDGE_SECONDS
    return {
        "failed_percent": round(100 * failed / (served + failed), 2),
        # Of all sendings, those that met the trouble.
        "met_percent": round(100 * met / sent, 2),
        "late_percent": round(100 * late / (served + failed), 2),
        "p99_ms": round(1000 * firsts[len(firsts) * 99 // 100]),
        # Of the sound ones: how many were away on a host, on average.
        "sound_barred": round(barred / len(benches) / HOSTS / SECONDS, 3),
    }


def measure_choices(rule):
    """Return microseconds of a choice, with nothing running."""
    host = Bench(rule, TROUBLES["calm"], 1)._hosts[0]
    began = time.process_time()
    for _ in range(CHOICES):
        host.chooser.choose(SERVICE)
    return round((time.process_time() - began) / CHOICES * 1e6, 1)


def measure_judgments():
    """Return microseconds of a judgment after a calm play."""
    bench = Bench("trust", TROUBLES["calm"], 1)
    bench.play()
    trust = bench._hosts[0].told
    began = time.process_time()
    for _ in range(CHOICES // 10):
        trust.evaluate(bench.list_endpoints())
    return round((time.process_time() - began) / (CHOICES // 10) * 1e6, 1)


def main():
    for name, trouble in TROUBLES.items():
        for rule in RULES:
            benches = [Bench(rule, trouble, seed) for seed in SEEDS]
            for bench in benches:
                bench.play()
            row = {"trouble": name, "rule": rule, **summarize(benches)}
            print(orjson.dumps(row).decode(), flush=True)
    costs = {rule: measure_choices(rule) for rule in ("today", "trust")}
    row = {"choice_microseconds": costs, "judgment_microseconds": measure_judgments()}
    print(orjson.dumps(row).decode())


if __name__ == "__main__":
    main()
