"""Items played beside online demand that alternates between two levels.

Hosts that serve callers and hosts that run items share some endpoints, and learn of
each other's work by reports. The clock is moved from one event to the next.
"""

import heapq
import math
import random
from itertools import count
from types import SimpleNamespace

from attrs import define, field

from features.builders.fleet import SERVICE, FixedDirectory, make_endpoint
from features.builders.itemload import TOKENS, make_items
from mangogauge.clock import ManualClock
from mangogauge.jobs.dispatch import ItemDispatcher
from mangogauge.jobs.estimates import ItemPace
from mangogauge.placement import BatchRoom, Eligibility, EndpointChooser, EndpointHealth
from mangogauge.sharing import ReportTable
from mangogauge.trust import EndpointTrust

__all__ = ["ItemPlay"]

SLOTS = 8
ONLINE_SECONDS, ITEM_SECONDS, ITEM_EVENTS = 0.7, 2.5, 130
DEVIATION = 0.2
LOW_SECONDS, PERIOD_SECONDS = 3.0, 5.2
LOW_FACTOR, HIGH_FACTOR = 0.38, 1.85
# Until the first event, and for reading an interrupted item's prompt and events again.
FIRST_EVENT_SECONDS, RESUME_SECONDS = 0.05, 0.02
JOB_ITEMS, DUE_SECONDS = 10, 18.0
REPORT_SECONDS, PREEMPT_SECONDS, DISPATCH_SECONDS = 0.03, 0.01, 0.025
SAMPLE_SECONDS, RETRY_SECONDS = 0.02, 0.02
# Time in which the forecast learns; not counted.
WARM_UP_SECONDS = 5 * PERIOD_SECONDS


@define(eq=False)
class Work:
    """A request or an item at an engine."""

    host = field()
    seconds = field()
    arrived_at = field()
    item = field(default=None)
    started_at = field(default=None)
    events = field(default=0)
    ended = field(default=False)


@define(eq=False)
class Engine:
    """An engine that runs work in order of arrival."""

    endpoint = field()
    running = field(factory=list)
    queue = field(factory=list)


class PlayedTasks:
    """Items of one host that run; stands for `ItemTasks`."""

    def __init__(self, play, host):
        self._play, self._host = play, host
        self._works = {}
        self.pace = ItemPace()

    def __len__(self):
        return len(self._works)

    def list_running(self):
        return list(self._works)

    async def start(self, item, route, endpoint, reason=None):
        item.endpoint, item.started_at = endpoint.name, self._play.now
        seconds = self._play.lengths[item] * (1 - len(item.event_texts) / ITEM_EVENTS)
        seconds += RESUME_SECONDS if item.event_texts else FIRST_EVENT_SECONDS
        work = Work(self._host, seconds, self._play.now, item)
        work.events = len(item.event_texts)
        self._works[item] = work
        self._play.count("starts")
        self._play.send(work, endpoint)

    async def preempt(self, item, reason, **details):
        await self.interrupt(item)

    async def interrupt(self, item):
        self.note_events()
        work = self._works.pop(item)
        self._play.remove(work, item.endpoint)
        item.endpoint = ""

    def end(self, item):
        work = self._works.pop(item)
        item.event_texts = ["x"] * ITEM_EVENTS
        item.endpoint = ""
        del item.job.items[item.item.item_id]
        self.pace.note_end(TOKENS, ITEM_EVENTS)
        self.pace.note_run(TOKENS, work.seconds)
        due = item.job.manifest.due_at
        self._play.count("ends")
        self._play.count("late", self._play.clock.read_calendar() > due)

    def note_events(self):
        for item, work in self._works.items():
            if work.started_at is not None:
                ran = (self._play.now - work.started_at) / self._play.lengths[item]
                events = work.events + int(ran * ITEM_EVENTS)
                item.event_texts = ["x"] * min(events, ITEM_EVENTS - 1)


class PlayedHost:
    """One host: a front that sends online requests, or a runner."""

    def __init__(self, play, name):
        self.table = ReportTable(name, "1", play.clock)
        health, trust = EndpointHealth(play.clock), EndpointTrust(play.clock)
        self.chooser = EndpointChooser(
            play.directory, self.table, health, trust, "a", play.random
        )
        self.outlook = None
        self.jobs = []
        self.queue = []
        self.tasks = PlayedTasks(play, self)

    def list_open(self):
        self.jobs = [job for job in self.jobs if job.items]
        return self.jobs

    def count_waiting(self):
        items = sum(len(job.items) for job in self.list_open())
        return items - len(self.tasks)


class ItemPlay:
    """Play of some hosts and endpoints.

    Parameters
    ----------
    jobs_per_second : float
    peak_share : float, optional
        Share of all slots that online requests use at a peak.
    make_forecast : callable, optional
        Returns the forecast of a host, given its directory, report table and clock.
    """

    def __init__(
        self, jobs_per_second, peak_share=0.75, make_forecast=None, endpoints=22, seed=3
    ):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        # Of its own, so that all variants get the same load.
        self._load = random.Random(seed)
        self.engines = {
            f"e{n}": Engine(make_endpoint(f"e{n}")) for n in range(endpoints)
        }
        self.directory = FixedDirectory([e.endpoint for e in self.engines.values()])
        self.directory.get = lambda name: self.engines[name].endpoint
        self.fronts = [PlayedHost(self, f"f{n}") for n in range(4)]
        self.runners = [PlayedHost(self, f"r{n}") for n in range(4)]
        self.job_rate = jobs_per_second
        peak = peak_share * SLOTS * endpoints / ONLINE_SECONDS
        self.mean_rate = peak / HIGH_FACTOR
        self.lengths, self.counts, self.waits = {}, {}, []
        self._events, self._numbers = [], count()
        for runner in self.runners:
            self._make_dispatcher(runner, make_forecast)

    @property
    def now(self):
        return self.clock.read_elapsed()

    def _make_dispatcher(self, runner, make_forecast):
        route = SimpleNamespace(services=(SERVICE,), allowed_regions=None)
        routes = SimpleNamespace(
            find=lambda host, path: route,
            batch_services={(SERVICE,)},
            get_account=lambda name: None,
        )
        state = SimpleNamespace(routes=routes, directory=self.directory)
        options = {}
        if make_forecast is not None:
            options["outlook"] = runner.outlook = make_forecast(
                self.directory,
                Eligibility(self.directory),
                runner.table,
                self.clock,
            )
        runner.dispatcher = ItemDispatcher(
            state,
            SimpleNamespace(may_start=lambda job: True),
            SimpleNamespace(hold_back=lambda item: False),
            BatchRoom(runner.table, self.clock),
            runner.chooser,
            None,
            runner.table,
            runner.tasks,
            self.clock,
            **options,
        )

    def play(self, periods):
        """Play after the forecast has learned; return the figures.

        Notes
        -----
        For whole periods, so that as many items run at the end as at the beginning,
        and starts can be compared with ends.
        """
        self._schedule_all()
        end = WARM_UP_SECONDS + periods * PERIOD_SECONDS
        while self._events[0][0] < end:
            at, _, call = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.now))
            call()
        return self._sum_up()

    def count(self, name, by=1):
        """Count something that happens after the warm-up."""
        if self.now >= WARM_UP_SECONDS:
            self.counts[name] = self.counts.get(name, 0) + by

    def send(self, work, endpoint):
        work.host.table.begin(endpoint.name, batch=work.item is not None)
        engine = self.engines[endpoint.name]
        engine.queue.append(work)
        self._fill(engine)

    def remove(self, work, name):
        engine = self.engines[name]
        work.ended = True
        (engine.running if work in engine.running else engine.queue).remove(work)
        work.host.table.end(name, batch=work.item is not None)
        self._fill(engine)

    def _fill(self, engine):
        while engine.queue and len(engine.running) < SLOTS:
            work = engine.queue.pop(0)
            work.started_at = self.now
            engine.running.append(work)
            if work.item is None and work.arrived_at >= WARM_UP_SECONDS:
                self.waits.append(self.now - work.arrived_at)
            self._at(self.now + work.seconds, lambda w=work: self._end(w, engine))

    def _end(self, work, engine):
        if work.ended:
            return
        if work.item is not None:
            work.host.tasks.end(work.item)
        self.remove(work, engine.endpoint.name)

    def _at(self, moment, call):
        heapq.heappush(self._events, (moment, next(self._numbers), call))

    def _every(self, seconds, call, offset=0.0):
        def run():
            call()
            self._at(self.now + seconds, run)

        self._at(offset, run)

    def _schedule_all(self):
        hosts = self.fronts + self.runners
        for number, host in enumerate(hosts):
            offset = REPORT_SECONDS * number / len(hosts)
            self._every(REPORT_SECONDS, lambda h=host: self._report(h), offset)
        for number, runner in enumerate(self.runners):
            offset = DISPATCH_SECONDS * number / len(self.runners)
            self._every(PREEMPT_SECONDS, lambda r=runner: self._preempt(r), offset)
            self._every(DISPATCH_SECONDS, lambda r=runner: self._dispatch(r), offset)
        self._every(SAMPLE_SECONDS, self._sample)
        self._every(RETRY_SECONDS, self._retry)
        self._at(0.0, self._arrive)
        if self.job_rate:
            self._at(0.0, self._submit)

    def _report(self, host):
        host.table.waiting = len(host.queue)
        host.table.items_waiting = host.count_waiting()
        report = host.table.make_report({}, (), {})
        for other in self.fronts + self.runners:
            other.table.merge_report(report)

    def _arrive(self):
        is_low = self.now % PERIOD_SECONDS < LOW_SECONDS
        rate = self.mean_rate * (LOW_FACTOR if is_low else HIGH_FACTOR)
        self._at(self.now + self._load.expovariate(rate), self._arrive)
        host = self._load.choice(self.fronts)
        seconds = ONLINE_SECONDS * max(0.3, self._load.gauss(1, DEVIATION))
        host.queue.append(Work(host, seconds, self.now))
        self._place(host)

    def _retry(self):
        for host in self.fronts:
            self._place(host)

    def _place(self, host):
        while host.queue:
            endpoint = host.chooser.choose(SERVICE)
            if endpoint is None:
                return
            self.send(host.queue.pop(0), endpoint)

    def _submit(self):
        self._at(self.now + self._load.expovariate(self.job_rate), self._submit)
        items = make_items(f"j{self.now:09.3f}", JOB_ITEMS, self.now + DUE_SECONDS)
        for item in items:
            factor = max(0.3, self._load.gauss(1, DEVIATION))
            self.lengths[item] = ITEM_SECONDS * factor
        self._load.choice(self.runners).jobs.append(items[0].job)

    def _preempt(self, runner):
        runner.tasks.note_events()
        _run(runner.dispatcher.preempt())

    def _dispatch(self, runner):
        runner.tasks.note_events()
        if runner.outlook is not None:
            runner.outlook.sample()
        _run(runner.dispatcher.dispatch(runner.list_open()))

    def _sample(self):
        """Count spare and used slot-seconds between peaks while items wait."""
        is_low = self.now % PERIOD_SECONDS < LOW_SECONDS
        if not is_low or not any(runner.count_waiting() for runner in self.runners):
            return
        for engine in self.engines.values():
            items = sum(work.item is not None for work in engine.running)
            self.count("spare", SLOTS - (len(engine.running) - items))
            self.count("used", items)

    def _sum_up(self):
        counts, waits = self.counts, sorted(self.waits)
        share = counts.get("used", 0) / max(1, counts.get("spare", 0))
        return SimpleNamespace(
            starts=counts.get("starts", 0),
            ends=counts.get("ends", 0),
            late=counts.get("late", 0),
            starts_per_end=counts.get("starts", 0) / max(1, counts.get("ends", 0)),
            used_share=share,
            spare_seconds=counts.get("spare", 0) * SAMPLE_SECONDS,
            median_wait=waits[len(waits) // 2],
            high_wait=waits[math.ceil(len(waits) * 0.99) - 1],
            longest_wait=waits[-1],
            requests=len(waits),
        )


def _run(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("the coroutine waits")
