"""Steps of the placement of requests and items."""

import random

from attrs import define, field
from behave import given, then, when

from features.builders.fleet import (
    SERVICE,
    FixedDirectory,
    make_endpoint,
    make_report,
)
from mangogauge.clock import ManualClock
from mangogauge.placement import BatchRoom, EndpointChooser, EndpointHealth
from mangogauge.sharing import ReportTable
from mangogauge.trust import EndpointTrust

ONLINE_SECONDS = 0.73
ITEM_SECONDS = 5.0
STEP_SECONDS = 0.005
TURN_SECONDS = 0.025
REPORT_SECONDS = 0.015
PHASE_SECONDS = 2.5


class RoomHost:
    """A host that runs items, with its own reports of the other hosts."""

    def __init__(self, name, clock):
        self.report_table = ReportTable(name, "1", clock)
        self.room = BatchRoom(self.report_table, clock)

    def publish(self, others, items_waiting):
        self.report_table.items_waiting = items_waiting
        report = self.report_table.make_report({}, (), {})
        for other in others:
            if other is not self:
                other.report_table.merge_report(report)


def exchange(hosts, waiting=20):
    for host in hosts:
        host.publish(hosts, waiting)


@given("an endpoint with {slots:d} slots, of which online requests take {online:d}")
def make_one_endpoint(context, slots, online):
    context.clock = ManualClock()
    context.endpoint = make_endpoint(slots=slots)
    context.online = online
    context.max_load = 0


def publish_online(context):
    loads = {context.endpoint.name: (context.online, 0)}
    number = context.reports = getattr(context, "reports", 0) + 1
    report = make_report("front", number=number, loads=loads)
    for host in context.hosts:
        host.report_table.merge_report(report)


@given("{count:d} hosts that each have {waiting:d} items waiting")
def make_hosts(context, count, waiting):
    context.hosts = [RoomHost(f"r{n}", context.clock) for n in range(count)]
    publish_online(context)
    exchange(context.hosts, waiting)


@when("all hosts start the items that they may at the same moment, {count:d} times")
def start_items(context, count):
    name = context.endpoint.name
    for _ in range(count):
        starting = [
            host
            for host in context.hosts
            if host.room.count_free_slots(context.endpoint) > 0
        ]
        for host in starting:
            host.report_table.begin(name, batch=True)
        exchange(context.hosts)
        context.max_load = max(
            context.max_load, context.hosts[0].report_table.measure(name).total
        )


@then("the endpoint runs {items:d} items, and never had more than {most:d} requests")
def check_items(context, items, most):
    load = context.hosts[0].report_table.measure(context.endpoint.name)
    assert load.batch == items, load
    assert context.max_load <= most, context.max_load


@given("hosts that run {first:d}, {second:d} and {third:d} items at it")
def run_items(context, first, second, third):
    context.hosts = [RoomHost(f"r{n}", context.clock) for n in range(3)]
    for host, count in zip(context.hosts, (first, second, third), strict=True):
        for _ in range(count):
            host.report_table.begin(context.endpoint.name, batch=True)
    publish_online(context)
    exchange(context.hosts)


@when("each host preempts its excess items")
def preempt(context):
    name = context.endpoint.name
    counts = [h.room.count_excess_items(context.endpoint) for h in context.hosts]
    for host, count in zip(context.hosts, counts, strict=True):
        for _ in range(count):
            host.report_table.end(name, batch=True)
    exchange(context.hosts)


@then("{left:d} items keep running")
def check_left(context, left):
    load = context.hosts[0].report_table.measure(context.endpoint.name)
    assert load.batch == left, load


@define(eq=False)
class Engine:
    """An engine that runs work in order of arrival, without priorities."""

    endpoint = field()
    running = field(factory=list)
    queue = field(factory=list)

    def step(self, now):
        self.running = [work for work in self.running if work.ends_at > now]
        while self.queue and len(self.running) < self.endpoint.slots:
            work = self.queue.pop(0)
            work.ends_at = now + work.seconds
            work.waited = now - work.sent_at
            self.running.append(work)


@define(eq=False)
class Work:
    """A request or an item at an engine."""

    seconds = field()
    sent_at = field()
    owner = field()
    ends_at = field(default=float("inf"))
    waited = field(default=None)


class TrafficSimulation:
    """Simulation of hosts that fill the troughs of online traffic with items."""

    def __init__(self, endpoints, hosts):
        self.clock = ManualClock()
        self.random = random.Random(3)
        self.engines = [Engine(make_endpoint(f"e{n}")) for n in range(endpoints)]
        self.hosts = [RoomHost(f"r{n}", self.clock) for n in range(hosts)]
        self.online_host = RoomHost("front", self.clock)
        directory = FixedDirectory([engine.endpoint for engine in self.engines])
        self.chooser = EndpointChooser(
            directory,
            self.online_host.report_table,
            EndpointHealth(self.clock),
            EndpointTrust(self.clock),
            "a",
            self.random,
        )
        self.online = []
        self.refused = 0
        self.item_time = self.free_time = 0.0

    def simulate(self, low, high, seconds):
        due = {"online": 0.0, "turn": 0.0, "report": 0.0}
        now = 0.0
        while now < seconds:
            rate = high if int(now / PHASE_SECONDS) % 2 else low
            self._end_work(now)
            if now >= due["online"]:
                due["online"] = now + self.random.expovariate(rate)
                self._send_online(now)
            if now >= due["turn"]:
                due["turn"] = now + TURN_SECONDS
                self._run_items(now)
            if now >= due["report"]:
                due["report"] = now + REPORT_SECONDS
                exchange([*self.hosts, self.online_host])
            self._count()
            self.clock.advance(STEP_SECONDS)
            now = self.clock.read_elapsed()

    def _end_work(self, now):
        for engine in self.engines:
            before = [*engine.running, *engine.queue]
            engine.step(now)
            for work in before:
                if work not in engine.running and work not in engine.queue:
                    name, owner = engine.endpoint.name, work.owner
                    owner.report_table.end(name, batch=owner is not self.online_host)

    def _send_online(self, now):
        endpoint = self.chooser.choose(SERVICE)
        if endpoint is None:
            self.refused += 1
            return
        engine = self.engines[int(endpoint.name[1:])]
        work = Work(ONLINE_SECONDS, now, self.online_host)
        self.online.append(work)
        engine.queue.append(work)
        self.online_host.report_table.begin(endpoint.name)
        engine.step(now)

    def _run_items(self, now):
        for host in self.hosts:
            for engine in self.engines:
                self._preempt(host, engine, now)
                if host.room.count_free_slots(engine.endpoint) > 0:
                    host.report_table.begin(engine.endpoint.name, batch=True)
                    engine.queue.append(Work(ITEM_SECONDS, now, host))
                    engine.step(now)

    def _preempt(self, host, engine, now):
        excess = host.room.count_excess_items(engine.endpoint)
        own = [w for w in [*engine.running, *engine.queue] if w.owner is host]
        own.sort(key=lambda work: work.sent_at, reverse=True)
        for work in own[:excess]:
            (engine.running if work in engine.running else engine.queue).remove(work)
            host.report_table.end(engine.endpoint.name, batch=True)
        engine.step(now)

    def _count(self):
        for engine in self.engines:
            online = sum(work.owner is self.online_host for work in engine.running)
            self.item_time += (len(engine.running) - online) * STEP_SECONDS
            self.free_time += (engine.endpoint.slots - online) * STEP_SECONDS


@given("{endpoints:d} endpoints with 8 slots, and {hosts:d} hosts with enough items")
def make_simulation(context, endpoints, hosts):
    context.simulation = TrafficSimulation(endpoints, hosts)


@when(
    "online requests arrive at {low:d} and {high:d} per second in turn, "
    "for {seconds:d} s"
)
def simulate_traffic(context, low, high, seconds):
    context.simulation.simulate(low, high, seconds)


@then("{share:d} % of online requests got a slot within {seconds:g} s")
def check_waits(context, share, seconds):
    simulation = context.simulation
    waits = sorted(work.waited or 0.0 for work in simulation.online)
    served = sum(wait <= seconds for wait in waits)
    asked = len(waits) + simulation.refused
    assert 100 * served >= share * asked, f"{served} of {asked}, {waits[-1]:.3f} s"


@then("items used at least {share:d} % of the slots that online requests left free")
def check_use(context, share):
    used = 100 * context.simulation.item_time / context.simulation.free_time
    assert used >= share, f"{used:.1f}"


@when("online requests take {online:d} of its slots")
def change_online(context, online):
    context.online = online
    publish_online(context)


@when("{seconds:g} s pass without a preemption")
def pass_time(context, seconds):
    context.clock.advance(seconds)
    publish_online(context)
