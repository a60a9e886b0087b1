"""Steps of items whose runs are interrupted, and of when they are run again."""

from collections import Counter
from random import Random

import curio
from attrs import define, field
from behave import given, then, when

from features.builders.crashes import make_crash_detector, make_trials
from features.builders.fleet import HOST_NAME, make_endpoint, make_route
from features.builders.origins import CertainOrigins
from mangogauge.clock import ManualClock
from mangogauge.entry import AttemptFailure, StreamEvent
from mangogauge.fleet import RequestSemantics
from mangogauge.http import BufferBudget, HTTPReceiveError
from mangogauge.jobs.item_runner import ItemRunner
from mangogauge.jobs.owned import OwnedJob
from mangogauge.jobs.records import ItemState, JobItem, JobManifest
from mangogauge.placement import EndpointHealth
from mangogauge.quarantine import PartQuarantine
from mangogauge.routing import Progress
from mangogauge.store import MemoryStore
from mangogauge.telemetry import ServingMetrics
from mangogauge.trust import EndpointTrust

STEP_SECONDS = 0.025
LONG_SECONDS = 3600.0
MAX_SECONDS = 300.0
REASON = "reset by peer"
SEED = 1
# Whether an answer ends with its connection, by how the scenarios call it.
FRAMINGS = {"framed as whole": False, "with no length": True}


class FakeResponse:
    """A response of events that ends whole or, if `broken`, with an error."""

    def __init__(self, events, broken, ends_with_connection=False):
        self._events = events
        self._broken = broken
        self.ends_with_connection = ends_with_connection
        self.open_seconds = 0.0
        self.buffers = BufferBudget(1_000_000)

    def gather(self, seconds):
        """Do nothing: all events are already there."""

    async def iterate(self):
        for number in self._events:
            yield b"id: %d\ndata: %d\n\n" % (number, number)
        if self._broken:
            raise HTTPReceiveError(REASON, step="receive")

    async def close(self):
        """Do nothing: no connection is open."""


@define(eq=False)
class FaultyEndpoints:
    """Endpoints whose runs of items end with a fault, if one is set.

    Attributes
    ----------
    fault : RunFault or None
    shared_parts : tuple of str
        Of each item's prompt.
    runs : list of (float, str)
        When runs were sent, in seconds of the clock, and the id of their item.
    """

    clock = field()
    fault = field()
    shared_parts = field(default=())
    runs = field(factory=list)

    def read_shared_parts(self, headers):
        return self.shared_parts

    async def send(self, call, endpoint, last_event, response_timeout, is_fresh):
        self.runs.append((self.clock.read_elapsed(), call.request_id))
        number = (last_event or 0) + 1
        if self.fault is None:
            return FakeResponse([number], broken=False)
        if self.fault.framing is not None:
            fault, self.fault = self.fault, None
            return FakeResponse([], False, FRAMINGS[fault.framing])
        self.clock.advance(self.fault.seconds)
        if self.fault.events:
            return FakeResponse([number], broken=True)
        raise AttemptFailure(
            self.fault.progress,
            REASON,
            endpoint_at_fault=True,
            connection_broken=self.fault.progress is Progress.MAYBE_RUN,
        )


@define
class RunFault:
    """How a run fails.

    Attributes
    ----------
    progress : Progress
        How far the endpoint got, where no event was sent.
    seconds : float
        Time until the run fails.
    events : int
        Whether an event is sent before the fault: 0 for none.
    framing : str or None
        How the first answer, which has no event, ends: a key of `FRAMINGS`.
    """

    progress = field(default=Progress.MAYBE_RUN)
    seconds = field(default=0.0)
    events = field(default=0)
    framing = field(default=None)


def make_items(context, count, fault):
    clock = context.clock = ManualClock()
    context.route = make_route("night", RequestSemantics.BATCH, attempt_limit=3)
    items = [JobItem(f"i{n}", f"/night/{n}", (), 100, 0, 0, 0) for n in range(count)]
    manifest = JobManifest(
        "j1", "desk", "night", HOST_NAME, 0.0, LONG_SECONDS, LONG_SECONDS, items
    )
    context.job = OwnedJob.restore(manifest, [b""], 1, [], {})
    context.endpoints = FaultyEndpoints(clock, fault)
    context.part_quarantine = PartQuarantine(clock)
    context.runner = ItemRunner(
        context.endpoints,
        EndpointHealth(clock),
        EndpointTrust(clock),
        make_crash_detector(clock, part_quarantine=context.part_quarantine),
        make_trials(MemoryStore(clock), "own", context.part_quarantine, clock),
        CertainOrigins(),
        clock,
        Random(SEED),
        ServingMetrics(),
    )


@given("an item whose endpoints crash")
def make_crashing(context):
    make_items(context, 1, RunFault())


@given("an item whose endpoints crash after an event")
def make_crashing_after_event(context):
    make_items(context, 1, RunFault(events=1))


@given("an item whose endpoints crash after {seconds:d} s")
def make_crashing_after_seconds(context, seconds):
    make_items(context, 1, RunFault(seconds=seconds, events=1))


@given("an item that each endpoint refuses")
def make_refused(context):
    make_items(context, 1, RunFault(Progress.NOT_RUN))


@given('an item whose prompt shares the parts "{names}"')
def make_sharing(context, names):
    make_items(context, 1, None)
    context.endpoints.shared_parts = tuple(names.split(", "))


@given("{count:d} endpoints have crashed at requests with these parts")
def crash_endpoints(context, count):
    parts = context.endpoints.shared_parts
    for number in range(count):
        context.part_quarantine.note_crash(f"e{number}", f"r{number}", parts)


@given("others went on meanwhile without these parts")
def serve_others(context):
    context.clock.advance(0.1)
    context.part_quarantine.note_work(("other",), "")


@when("the quarantine has ended after {seconds:d} s")
def end_quarantine(context, seconds):
    context.clock.advance(seconds)
    context.mended_at = context.clock.read_elapsed()


@given("{count:d} items whose endpoints crash")
def make_many(context, count):
    make_items(context, count, RunFault())


@given("an item that has received {count:d} events")
def make_begun(context, count):
    make_items(context, 1, None)
    (item,) = context.job.items.values()
    for number in range(1, count + 1):
        item.add_event(StreamEvent(b"id: %d\ndata: %d\n\n" % (number, number)))


@given(
    "an endpoint whose answer ends with no event, {framing}, then one that runs items"
)
def end_without_event(context, framing):
    context.endpoints.fault = RunFault(framing=framing)


@when("its runs have ended")
def run_to_end(context):
    curio.run(run_until, context, lambda: not context.job.items)


@then('its text is that of the events "{events}"')
def check_text(context, events):
    (result,) = context.job.finished
    assert result.state is ItemState.DONE, result
    assert result.text.split("\n") == events.split(", "), result


async def run_until(context, is_over):
    """Run the items that are ready, step by step, until `is_over()` is true."""
    started = context.clock.read_elapsed()
    while not is_over():
        now = context.clock.read_elapsed()
        assert now < started + MAX_SECONDS, context.endpoints.runs
        for item in context.job.list_ready(now):
            item.started_at = context.clock.read_elapsed()
            await context.runner.run(item, context.route, make_endpoint())
        context.clock.advance(STEP_SECONDS)


@when("{count:d} of its runs have failed, and endpoints no longer fail")
def end_runs(context, count):
    curio.run(run_until, context, lambda: len(context.endpoints.runs) == count)
    context.endpoints.fault = None
    context.mended_at = context.clock.read_elapsed()


@when("it is run again and again for {seconds:d} s")
def run_for(context, seconds):
    curio.run(run_until, context, lambda: context.clock.read_elapsed() >= seconds)


@when("each has been run twice")
def run_twice(context):
    count = len(context.job.items)
    curio.run(run_until, context, lambda: len(context.endpoints.runs) >= 2 * count)


@then("it is run again within {seconds:g} s, and completes")
def check_run_again(context, seconds):
    curio.run(run_until, context, lambda: not context.job.items)
    waited = context.endpoints.runs[-1][0] - context.mended_at
    assert waited <= seconds, waited
    states = [result.state for result in context.job.finished]
    assert states == [ItemState.DONE], states


@then("it has run at least {least:d} times and at most {most:d} times")
def check_runs(context, least, most):
    assert least <= len(context.endpoints.runs) <= most, context.endpoints.runs


@then("at most {count:d} of them are run again at the same moment")
def check_spread(context, count):
    second_runs = {}
    for at, item in context.endpoints.runs:
        second_runs[item] = at
    moments = Counter(round(at, 6) for at in second_runs.values())
    assert max(moments.values()) <= count, moments
