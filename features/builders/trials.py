"""Test data of items on trial: hosts with one store that tell each other of crashes."""

from random import Random

import curio

from features.builders.crashes import GossipingHosts, make_crash_detector, make_trials
from features.builders.fleet import HOST_NAME, make_endpoint, make_route
from features.builders.jobstore import UnreliableStore
from features.builders.origins import CertainOrigins
from mangogauge.entry import AttemptFailure
from mangogauge.fleet import RequestSemantics
from mangogauge.http import BufferBudget
from mangogauge.jobs.item_runner import ItemRunner
from mangogauge.jobs.owned import OwnedJob
from mangogauge.jobs.records import JobItem, JobManifest
from mangogauge.placement import EndpointHealth
from mangogauge.routing import Progress
from mangogauge.telemetry import ServingMetrics
from mangogauge.trust import EndpointTrust

__all__ = ["PART", "TrialFleet"]

LONG_SECONDS = 3600.0
STEP_SECONDS = 0.05
PART = "shared"
SEED = 1


class _OneEvent:
    """An answer of one event."""

    ends_with_connection = False
    open_seconds = 0.0

    def __init__(self):
        self.buffers = BufferBudget(1_000_000)

    def gather(self, seconds):
        """Do nothing: the event is already there."""

    async def iterate(self):
        yield b"id: 1\ndata: 1\n\n"

    async def close(self):
        """Do nothing: no connection is open."""


class TrialFleet:
    """Hosts with items that share a part, and endpoints that it may crash.

    Attributes
    ----------
    crashing : bool
        Whether endpoints crash at the part.
    runs : list of (float, str)
        When which item was run, in seconds of the clock.
    crashes : list of float
        When endpoints have crashed.
    notes_crashes : bool
        Whether any host notes further crashes.
    """

    def __init__(self, names, count, crashing):
        self.hosts = GossipingHosts(names)
        self.clock = self.hosts.clock
        self.store = UnreliableStore(self.clock)
        self.crashing = crashing
        self.runs = []
        self.crashes = []
        self.notes_crashes = True
        self.route = make_route("night", RequestSemantics.BATCH, attempt_limit=3)
        self.jobs = {name: self._make_job(name, count) for name in names}
        self._runners = {name: self._make_runner(name) for name in names}

    def _make_job(self, name, count):
        items = [
            JobItem(f"{name}{n}", f"/night/{n}", (), 100, 0, 0, 0) for n in range(count)
        ]
        manifest = JobManifest(
            name, "desk", "night", HOST_NAME, 0.0, LONG_SECONDS, LONG_SECONDS, items
        )
        return OwnedJob.restore(manifest, [b""], 1, [], {})

    def _make_runner(self, name):
        clock, quarantine = self.clock, self.hosts[name]
        return ItemRunner(
            self,
            EndpointHealth(clock),
            EndpointTrust(clock),
            make_crash_detector(clock, part_quarantine=quarantine),
            make_trials(self.store, name, quarantine, clock),
            CertainOrigins(),
            clock,
            Random(SEED),
            ServingMetrics(),
        )

    def make_trials(self, name):
        """Return the trials of another host that knows what the first one does."""
        first = self.hosts[next(iter(self.jobs))]
        return make_trials(self.store, name, first, self.clock)

    def list_open_items(self):
        """Return the ids of the items that have no result."""
        return {item for job in self.jobs.values() for item in job.items}

    def crash(self, request):
        """Let an endpoint crash at a request with the part."""
        self.crashes.append(self.clock.read_elapsed())
        if not self.notes_crashes:
            return
        first = next(iter(self.jobs))
        self.hosts[first].note_crash(f"e{len(self.crashes)}", request, (PART,))
        self.hosts.tell_all()

    def serve_others(self):
        """Let an endpoint go on with an answer without the part."""
        for name in self.jobs:
            self.hosts[name].note_work(("other",), "")

    def read_shared_parts(self, headers):
        """Return the shared parts of each item's prompt."""
        return (PART,)

    async def send(self, call, endpoint, last_event, response_timeout, is_fresh):
        """Run an item at an endpoint."""
        self.runs.append((self.clock.read_elapsed(), call.request_id))
        if not self.crashing:
            return _OneEvent()
        self.crash(call.request_id)
        raise AttemptFailure(
            Progress.MAYBE_RUN, "reset by peer", endpoint_at_fault=True
        )

    async def run_for(self, seconds):
        """Run the items that are ready, step by step, all hosts' at the same time."""
        end = self.clock.read_elapsed() + seconds
        while self.clock.read_elapsed() < end:
            tasks = [
                await curio.spawn(self._run, name, item)
                for name, job in self.jobs.items()
                for item in job.list_ready(self.clock.read_elapsed())
            ]
            for task in tasks:
                await task.join()
            self.hosts.tell_all()
            self.clock.advance(STEP_SECONDS)

    async def _run(self, name, item):
        item.started_at = self.clock.read_elapsed()
        await self._runners[name].run(item, self.route, make_endpoint())
