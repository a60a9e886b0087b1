"""Steps of how a host dispatches items to endpoints, and preempts them."""

import curio
from behave import given, then, when

from features.builders.fleet import (
    HOST_NAME,
    make_configuration,
    make_endpoint,
    make_report,
    make_route,
)
from mangogauge.clock import SystemClock
from mangogauge.fleet import (
    FleetMember,
    FleetState,
    MemberDirectory,
    PrefixRoutes,
    RequestSemantics,
    ServiceShare,
)
from mangogauge.jobs import CancellationCheck, JobDirectory, JobRunner
from mangogauge.jobs.owned import OwnedJob
from mangogauge.jobs.records import ItemState, JobItem, JobManifest
from mangogauge.jobs.runner import BUSY_TICK_SECONDS
from mangogauge.placement import BatchRoom
from mangogauge.sharing import ReportTable
from mangogauge.store import KeyValue
from mangogauge.telemetry import ServingMetrics

REPORT_SECONDS = 0.002
GIVE_UP_SECONDS = 10.0
LONG_SECONDS = 3600.0
SOON_SECONDS = 600.0
NIGHT = make_route("night", RequestSemantics.BATCH)
OTHER = make_route("other", RequestSemantics.BATCH, shares=[ServiceShare("other")])


class OneEndpoint:
    """A directory and a chooser of one endpoint that count how often they choose."""

    loaded = True

    def __init__(self, endpoint):
        self._endpoint = endpoint
        self.lookups = 0

    def get(self, name):
        return self._endpoint

    def list_usable(self, service, excluded=(), trials=False, scope=None):
        self.lookups += 1
        return [self._endpoint] if service == self._endpoint.service else []

    def count_ineligible(self, service, scope=None):
        return {}

    def list_accepting(self, endpoints, work):
        return endpoints

    def take(self, endpoint):
        pass


class EndlessItemRunner:
    """Runs items until they are interrupted; records why items were given up.

    Attributes
    ----------
    given_up : list of str
    held : set of str
        Ids of the items that may not run.
    """

    def __init__(self):
        self.given_up = []
        self.held = set()

    def hold_back(self, item):
        return item.item.item_id in self.held

    def give_up(self, item, reason):
        item.job.finish(item, ItemState.GIVEN_UP)
        self.given_up.append(reason)

    async def run(self, item, route, endpoint):
        await curio.sleep(LONG_SECONDS)


class NoClaims:
    """Claims of a host whose jobs are set directly by a step."""

    claimant = "own#1"


def make_job(count, route, job_id="j1", due_in=LONG_SECONDS):
    items = [
        JobItem(f"i{n}", f"/{route.name}/x", (), tokens=100, part=0, start=0, size=0)
        for n in range(count)
    ]
    now = SystemClock().read_calendar()
    due = now + due_in
    manifest = JobManifest(job_id, "desk", route.name, HOST_NAME, now, due, due, items)
    return OwnedJob.restore(manifest, [b""], 1, [], {})


async def skip_notification():
    """Notify no other host."""


@given("a runner with a job of {count:d} items and an endpoint of {slots:d} slot")
@given("a runner with a job of {count:d} items and an endpoint of {slots:d} slots")
def make_runner(context, count, slots):
    clock = SystemClock()
    context.endpoint = make_endpoint(slots=slots)
    context.chooser = OneEndpoint(context.endpoint)
    context.report_table = ReportTable("own", "1", clock)
    own = FleetMember("own", "1", runs_batch=True)
    members = MemberDirectory(own, clock)
    members.apply_snapshot(())
    context.members = members
    context.configuration_read_at = clock.read_elapsed()
    state = context.state = FleetState(
        context.chooser,
        members,
        context.report_table,
        lambda: clock.read_elapsed() - context.configuration_read_at,
    )
    state.routes = PrefixRoutes(make_configuration(routes=[NIGHT, OTHER]))
    context.items = EndlessItemRunner()
    context.job_directory = JobDirectory(clock)
    context.work_read_at = LONG_SECONDS + clock.read_elapsed()
    context.runner = JobRunner(
        "own",
        state,
        context.job_directory,
        CancellationCheck(
            context.job_directory,
            lambda: clock.read_elapsed() - context.work_read_at,
            clock,
        ),
        NoClaims(),
        context.items,
        BatchRoom(context.report_table, clock),
        context.chooser,
        None,
        context.report_table,
        skip_notification,
        clock,
        ServingMetrics(),
    )
    job = make_job(count, NIGHT)
    context.job = context.runner.claimer.jobs[job.job_id] = job
    context.clock = clock


@given("a job of {count:d} items, due first, of another service that has no endpoints")
def add_job_without_room(context, count):
    job = make_job(count, OTHER, "j2", SOON_SECONDS)
    context.runner.claimer.jobs[job.job_id] = job


@given('the items "{names}" may not run for now')
def hold_items(context, names):
    context.items.held.update(names.split(", "))


async def dispatch_items(runner):
    """Dispatch items once; return the ids of those that run afterwards."""
    async with curio.TaskGroup() as group:
        runner.tasks.group = group
        await runner.dispatch_once()
        running = [item.item.item_id for item in runner.tasks.list_running()]
        await group.cancel_remaining()
    return running


async def dispatch_once(runner):
    """Dispatch items once; return how many run afterwards."""
    return len(await dispatch_items(runner))


@when("it dispatches items once")
def fill(context):
    context.names = curio.run(dispatch_items, context.runner)
    context.running = len(context.names)


async def receive_reports(context, count, loads):
    """Send `count` reports to a running runner; return how many items run then."""
    runner, clock = context.runner, context.clock
    task = await curio.spawn(runner.run)
    while not len(runner.tasks):
        await curio.sleep(BUSY_TICK_SECONDS)
    context.chooser.lookups = 0
    started = clock.read_elapsed()
    for number in range(count):
        context.report_table.merge_report(
            make_report("h1", number=number + 1, loads=loads)
        )
        await runner.wake()
        await curio.sleep(REPORT_SECONDS)
    context.seconds = clock.read_elapsed() - started
    context.lookups = context.chooser.lookups
    running = len(runner.tasks)
    await task.cancel()
    return running


@when("{count:d} reports of other hosts arrive one after the other")
def send_reports(context, count):
    context.running = curio.run(receive_reports, context, count, {})


@when("{count:d} report of other hosts arrives that shows the slot in use")
def send_filling_report(context, count):
    loads = {context.endpoint.name: (context.endpoint.slots, 0)}
    context.running = curio.run(receive_reports, context, count, loads)


@then("it has searched for free slots at most once per tick")
def check_lookups(context):
    turns = context.seconds / BUSY_TICK_SECONDS + 1
    assert 0 < context.lookups <= turns, (context.lookups, turns)


@then("{count:d} item runs")
def check_running(context, count):
    assert context.running == count, context.running


@then('the item "{name}" runs')
def check_running_item(context, name):
    assert context.names == [name], context.names


@then("no item runs")
def check_none_running(context):
    assert context.running == 0, context.running


@given(
    "the job's route is not in the runner's copy of the configuration,"
    " read before it claimed the job"
)
def remove_route(context):
    context.route = context.state.routes.configuration.routes[0]
    context.state.routes = PrefixRoutes(make_configuration())
    context.configuration_read_at = context.clock.read_elapsed()
    context.job.claimed_at = context.configuration_read_at + 1.0


@when("the runner's copy of the configuration has the route")
def add_route(context):
    context.state.routes = PrefixRoutes(make_configuration(2, [context.route]))


@when("the runner's copy of the configuration was read after it claimed the job")
def refresh_configuration(context):
    context.configuration_read_at = context.job.claimed_at + 1.0


@when("the runner looks for items to start")
def start_items(context):
    context.started = curio.run(dispatch_once, context.runner)


@then("no item was given up")
def check_none_given_up(context):
    assert not context.items.given_up, context.items.given_up
    assert len(context.job.items) == 3, context.job.items


@then("{count:d} items were given up")
def check_given_up(context, count):
    assert len(context.items.given_up) == count, context.items.given_up


@then("{count:d} item was started")
@then("{count:d} items were started")
def check_started(context, count):
    assert context.started == count, context.started


@given("another host is registered that doesn't report")
def register_host(context):
    member = FleetMember("h1", "1")
    entry = KeyValue(member.key, member.to_bytes(), 1, 1)
    context.members.apply_snapshot([entry])


async def watch_items(context):
    """Run the runner on one report until its items have run and given way."""
    runner = context.runner
    task = await curio.spawn(runner.run)
    context.report_table.merge_report(make_report("h1"))
    async with curio.timeout_after(GIVE_UP_SECONDS):
        while not len(runner.tasks):
            await curio.sleep(BUSY_TICK_SECONDS)
        while len(runner.tasks):
            await curio.sleep(BUSY_TICK_SECONDS)
    await task.cancel()


@when("the other host reports once")
def report_once(context):
    curio.run(watch_items, context)


@then("items run until its report is too old")
def check_given_way(context):
    assert not context.report_table.is_reporting("h1")
