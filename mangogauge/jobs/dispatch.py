"""Dispatch items to endpoints, and preempt them for online requests."""

from collections import Counter
from functools import partial

from attrs import field, frozen

from ..backpressure import Work
from ..placement.eligibility import ANYWHERE, WorkScope, describe_reasons
from ..streams import StreamOrigin
from ..telemetry import get_logger
from .estimates import SlotShare
from .scheduling import find_timely, order_items, order_victims
from .starting import StartPolicy

__all__ = ["ItemDispatcher"]

# Interval at which it is decided which items can end in time.
TIMELY_SECONDS = 0.1
# Time until items are considered again if none of more than so many fits a free slot:
# each costs some microseconds, and the forecast changes only with each sample.
HELD_SECONDS = 0.09
MAX_READY_ITEMS = 50

log = get_logger("jobs")


@frozen
class _Places:
    """Endpoints of some services that items may run at.

    Parameters
    ----------
    free : list of FleetEndpoint
        Those with free slots, most free slots last.
    origins : set of StreamOrigin
        Origins of all that are usable.
    obstacle : str
        Why none is usable, as far as they are ineligible; empty if any is.
    """

    free = field()
    origins = field()
    obstacle = field(default="")


class ItemDispatcher:
    """Chooses which items run at which endpoints.

    Parameters
    ----------
    state : FleetState
    cancellation : CancellationCheck
    item_runner : ItemRunner
    room : BatchRoom
    chooser : EndpointChooser
    streams : OriginFinder
    report_table : ReportTable
    tasks : ItemTasks
    clock : Clock
    outlook : SlotOutlook, optional
        None if items start in any free slot.
    """

    def __init__(
        self,
        state,
        cancellation,
        item_runner,
        room,
        chooser,
        streams,
        report_table,
        tasks,
        clock,
        outlook=None,
    ):
        self._state = state
        self._cancellation = cancellation
        self._item_runner = item_runner
        self._room = room
        self._chooser = chooser
        self._streams = streams
        self._report_table = report_table
        self._tasks = tasks
        self._clock = clock
        self._outlook = outlook
        self._slot_share = SlotShare(clock)
        self._timely = set()
        self._timely_at = float("-inf")
        # Why the items of a job have no eligible endpoint, as last logged, by job.
        self._obstacles = {}
        self._held_until = float("-inf")

    async def preempt(self):
        """Interrupt items where online requests need their slots."""
        running = self._tasks.list_running()
        for name in {item.endpoint for item in running if item.endpoint}:
            endpoint = self._state.directory.get(name)
            if endpoint is None:
                continue
            excess = self._room.count_excess_items(endpoint)
            if excess:
                await self._preempt_at(endpoint, excess)

    async def _preempt_at(self, endpoint, excess):
        """Interrupt the items at an endpoint that lose least by it.

        Parameters
        ----------
        endpoint : FleetEndpoint
        excess : int
            How many items to interrupt.
        """
        running = self._tasks.list_running()
        here = [item for item in running if item.endpoint == endpoint.name]
        now = self._clock.read_calendar()
        victims = order_victims(here, self._timely, self._tasks.pace, now)
        for item in victims[:excess]:
            load = self._report_table.measure(endpoint.name)
            await self._tasks.preempt(
                item,
                "the endpoint is overfull",
                load=load.total,
                slots=endpoint.slots,
                due_in=round(item.job.manifest.due_at - now, 3),
            )

    async def dispatch(self, jobs):
        """Start the most urgent items at endpoints with free slots.

        Items whose route no longer exists, or whose time limit has passed, are given
        up.

        Parameters
        ----------
        jobs : list of OwnedJob
        """
        now = self._clock.read_elapsed()
        if now < self._held_until:
            return
        calendar = self._clock.read_calendar()
        if now >= self._timely_at + TIMELY_SECONDS:
            self._timely_at = now
            self._update_timely(jobs, calendar)
        policy = StartPolicy(self._outlook, self._tasks.pace, calendar)
        may_start = [job for job in jobs if self._cancellation.may_start(job)]
        known = {job.job_id for job in jobs}
        self._obstacles = {j: o for j, o in self._obstacles.items() if j in known}
        ready = [item for job in may_start for item in job.list_ready(now)]
        all_services = self._state.routes.batch_services
        places, obstacles, has_started = {}, {}, False
        for item in order_items(ready, self._timely, self._tasks.pace):
            route = self._find_route_or_give_up(item, calendar)
            if route is None:
                continue
            services = route.services
            scope = self._find_scope(item, route)
            # Whether any slot is free is decided below for items of all scopes.
            for key in {(services, ANYWHERE), (services, scope)} - places.keys():
                places[key] = self._find_places(*key)
            place = places[services, scope]
            job_id = item.job.job_id
            obstacles[job_id] = obstacles.get(job_id) or place.obstacle
            self._check_origin(item, services, place)
            reason, endpoint = policy.find(
                item, services, scope, place.free, partial(self._may_run, item)
            )
            if endpoint is not None and not self._item_runner.hold_back(item):
                policy.take(endpoint)
                _remove(endpoint, places.values())
                self._chooser.take(endpoint)
                item.scope = scope
                await self._tasks.start(item, route, endpoint, reason)
                has_started = True
            elif {s for s, _ in places} >= all_services and not any(
                place.free for place in places.values()
            ):
                break
        self._note_obstacles(obstacles)
        is_held = not has_started and any(place.free for place in places.values())
        if is_held and self._outlook is not None and len(ready) > MAX_READY_ITEMS:
            self._held_until = now + HELD_SECONDS

    def _update_timely(self, jobs, calendar):
        """Find the items that can end in time with the slots that this host gets."""
        items = [item for job in jobs for item in job.items.values()]
        running = len(self._tasks)
        self._slot_share.note(running, len(items) - running)
        self._timely = find_timely(
            items, calendar, self._tasks.pace, self._slot_share.slots
        )

    def _may_run(self, item, endpoint):
        """Return whether an item may run at a usable endpoint.

        An item that has failed before gets a trusted endpoint only, and one that has
        begun an endpoint that may resume it.
        """
        if item.failures and not self._chooser.is_trusted(endpoint):
            return False
        return item.origin is None or item.origin == StreamOrigin.of(endpoint)

    def _find_route(self, item):
        return self._state.routes.find(item.job.manifest.host, item.item.path)

    def _find_route_or_give_up(self, item, calendar):
        """Return the route of an item that may run, or None.

        Notes
        -----
        An item whose route is missing waits until the routes are known to be recent.
        """
        route = self._find_route(item)
        if route is None:
            if self._are_routes_confirmed_since(item.job.claimed_at):
                self._item_runner.give_up(item, "route no longer exists")
            return None
        if calendar > item.job.manifest.abandon_at:
            self._item_runner.give_up(item, "time limit passed")
            return None
        return route

    def _find_scope(self, item, route):
        account = self._state.routes.get_account(item.job.manifest.account)
        return WorkScope.of(route, account)

    def _are_routes_confirmed_since(self, moment):
        """Return whether the routes in force were confirmed after an elapsed time.

        Notes
        -----
        If they were not, the job may have been accepted by a host that had already
        read a newer configuration, in which its route exists.
        """
        confirmed_at = self._clock.read_elapsed() - self._state.measure_age()
        return confirmed_at >= moment

    def _check_origin(self, item, services, places):
        """Let an item start anew that no usable endpoint may resume."""
        if item.last_event is None or not places.origins:
            return
        if item.origin is None:
            item.origin = self._streams.find_only(services)
        if item.origin in places.origins:
            return
        log.info(
            "item starts anew",
            extra={
                "request_id": item.item.item_id,
                "job": item.job.job_id,
                "events": len(item.event_texts),
                "software": item.origin.software if item.origin else "",
                "usable": sorted(origin.software for origin in places.origins),
            },
        )
        item.discard_events()

    def _find_places(self, services, scope):
        """Return the `_Places` of some services, in a `WorkScope`.

        Notes
        -----
        Each endpoint gets at most one item per call of `dispatch`, so that reports of
        items that other hosts start are taken into account in between.
        """
        usable = [
            endpoint
            for service in services
            for endpoint in self._chooser.list_usable(service, trials=True, scope=scope)
        ]
        accepting = self._chooser.list_accepting(usable, Work.ITEM)
        rows = [(self._room.count_free_slots(e), e.name, e) for e in accepting]
        free = [row[2] for row in sorted(row for row in rows if row[0] > 0)]
        origins = {StreamOrigin.of(endpoint) for endpoint in usable}
        return _Places(free, origins, "" if usable else self._explain(services, scope))

    def _explain(self, services, scope):
        reasons = Counter()
        for service in services:
            reasons.update(self._chooser.count_ineligible(service, scope))
        return describe_reasons(reasons)

    def _note_obstacles(self, obstacles):
        """Log of which jobs items have no eligible endpoint any more, or do again.

        Parameters
        ----------
        obstacles : dict of str to str
            Why not, by the ids of the jobs that were considered; empty if they do.
        """
        for job_id, obstacle in obstacles.items():
            if obstacle == self._obstacles.get(job_id, ""):
                continue
            self._obstacles[job_id] = obstacle
            if obstacle:
                extra = {"job": job_id, "reason": obstacle}
                log.info("job has no eligible endpoint", extra=extra)
            else:
                log.info("job has eligible endpoints again", extra={"job": job_id})


def _remove(endpoint, places):
    """Remove an endpoint from the free ones of each of some `_Places`."""
    for place in places:
        if endpoint in place.free:
            place.free.remove(endpoint)
