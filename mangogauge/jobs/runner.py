"""Runs this host's part of the batch jobs: claim, run, give way, commit."""

import curio
from returns.result import Failure

from ..supervision import keep_running
from ..telemetry import get_logger
from ..ticks import measure_to_tick, sleep_to_tick
from .keys import WORK_PREFIX
from .scheduling import order_items, rank_host

__all__ = ["JobRunner"]

# How long the host that should claim a job may take before the next one does.
CLAIM_TURN_SECONDS = 1.0
BUSY_TICK_SECONDS = 0.025
IDLE_TICK_SECONDS = 0.1
# Reports that come within this time after one are looked at together.
GIVE_WAY_SECONDS = 0.01
# Results that end within this time are committed together.
GATHER_SECONDS = 0.25
REWRITE_SECONDS = 0.25
# How long an item takes for each of its tokens, until some have ended.
FIRST_SECONDS_PER_TOKEN = 0.0025
PACE_WEIGHT = 0.1
# An error that nobody foresaw makes an item wait as so many breaks do.
ERROR_COUNT = 3

log = get_logger("jobs")


class JobRunner:
    """Runs jobs on this host.

    Parameters
    ----------
    host : str
    state : FleetState
    work : WorkBoard
    claims : JobClaims
    items : ItemRunner
    room : BatchRoom
    chooser : EndpointChooser
    board : LoadBoard
    notify : async callable
        Called after this host's own counts have changed.
    clock : Clock
    metrics : ServingMetrics
    """

    prefix = WORK_PREFIX

    def __init__(
        self,
        host,
        state,
        work,
        claims,
        items,
        room,
        chooser,
        board,
        notify,
        clock,
        metrics,
    ):
        self._host = host
        self._state = state
        self._work = work
        self._claims = claims
        self._items = items
        self._room = room
        self._chooser = chooser
        self._board = board
        self._notify = notify
        self._clock = clock
        self._metrics = metrics
        self._jobs = {}
        self._tasks = {}
        self._stopped = False
        self._pace = FIRST_SECONDS_PER_TOKEN
        self._woken = curio.Event()

    @property
    def waiting(self):
        """How many items of this host's jobs don't run."""
        return sum(
            not item.endpoint
            for job in self._jobs.values()
            for item in job.items.values()
        )

    async def run(self):
        """Claim, run and commit until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            self._group = group
            for run in (self._claim_often, self._fill_often, self._commit_often):
                await group.spawn(keep_running, run.__qualname__, run)

    async def wake(self):
        """Look again at once whether items have to give way."""
        if self._tasks:
            await self._woken.set()

    async def stop(self):
        """Commit what is done, break off what runs, and give all claims back."""
        self._stopped = True
        for item in list(self._tasks):
            await self._break_off(item)
        for job in list(self._jobs.values()):
            await self._commit(job)
            if job.job_id in self._jobs:
                self._jobs.pop(job.job_id, None)
                await self._claims.release(job)

    async def _claim_often(self):
        while True:
            await sleep_to_tick(IDLE_TICK_SECONDS)
            if not self._stopped and self._state.loaded:
                await self.claim_once()

    async def claim_once(self):
        """Claim the jobs that are this host's to claim now."""
        for entry in self._work.list_unclaimed():
            if entry.opened is not None and self._is_own_turn(entry):
                await self._claim(entry)
        # The answer to a claim may have been lost.
        for entry in self._work.list_claimed_by(self._claims.claimant):
            if entry.opened is not None and entry.opened.job_id not in self._jobs:
                await self._claim(entry)

    def _is_own_turn(self, entry):
        job_id = entry.opened.job_id
        if job_id in self._jobs or self._work.may_have_lapsed(entry):
            return False
        turn = rank_host(job_id, self._host, self._list_live()) * CLAIM_TURN_SECONDS
        return self._clock.read_elapsed() >= entry.unclaimed_since + turn

    def _list_live(self):
        """Return the hosts that could claim; one that is silent has no turn."""
        runners = self._state.members.list_runners()
        return [n for n in runners if n == self._host or self._board.hears(n)]

    async def _claim(self, entry):
        # The entry may change while the store is asked: the job may be closed.
        job_id = entry.opened.job_id
        # The claim may lapse while the job is read.
        asked_at = self._clock.read_elapsed()
        answer = await self._claims.claim(entry)
        if isinstance(answer, Failure):
            log.warning(
                "job not claimed",
                extra={"job": job_id, "reason": str(answer.failure())},
            )
            return
        job = answer.unwrap()
        if job is not None and not self._stopped:
            job.claimed_at = asked_at
            self._jobs[job.job_id] = job

    async def _fill_often(self):
        """Fill endpoints at each tick; give way also when reports come in between.

        Notes
        -----
        Dozens of hosts report hundreds of times a second. What they take shows
        at the endpoints where items run, which are few; what they leave free is
        looked for at all endpoints, and can wait for the next tick.
        """
        filled_at = woken_at = self._clock.read_elapsed()
        while True:
            tick = BUSY_TICK_SECONDS if self._jobs else IDLE_TICK_SECONDS
            left = filled_at + tick - self._clock.read_elapsed()
            async with curio.ignore_after(measure_to_tick(max(0.0, left))):
                await self._woken.wait()
            if self._woken.is_set():
                left = woken_at + GIVE_WAY_SECONDS - self._clock.read_elapsed()
                await curio.sleep(max(0.0, left))
                woken_at = self._clock.read_elapsed()
            self._woken.clear()
            if not self._stopped and self._state.loaded:
                await self._give_way()
            if self._clock.read_elapsed() >= filled_at + tick:
                filled_at = self._clock.read_elapsed()
                await self._fill_once()

    async def _fill_once(self):
        if self._stopped or not self._state.loaded:
            return
        await self._check_claims()
        await self._fill()
        await self._report_waiting()

    async def _report_waiting(self):
        """Tell the other hosts whether items wait here."""
        waiting = self.waiting
        self._metrics.items_running.set(len(self._tasks))
        self._metrics.items_waiting.set(waiting)
        changed = bool(waiting) != bool(self._board.items_waiting)
        self._board.items_waiting = waiting
        if changed:
            await self._notify()

    async def _check_claims(self):
        """Look at what has become of the jobs that this host runs."""
        now = self._clock.read_elapsed()
        for job in list(self._jobs.values()):
            entry = self._work.get(job.job_id)
            if entry is None or now < job.write_after:
                continue
            if entry.ended:
                await self._end(job)
            elif entry.claimant and entry.claimant != self._claims.claimant:
                log.warning(
                    "job taken over",
                    extra={"job": job.job_id, "claimant": entry.claimant},
                )
                await self._abandon(job)
            elif not entry.claimant and entry.unclaimed_since > job.claimed_at:
                await self._claim_again(job)

    async def _end(self, job):
        """Drop a job that its caller has ended."""
        for item in [i for i in self._tasks if i.job is job]:
            await self._break_off(item)
        answer = await self._claims.close(job, self._clock.read_calendar())
        if isinstance(answer, Failure):
            self._note_unwritten(job, answer)
            return
        self._jobs.pop(job.job_id, None)
        log.info("job closed", extra={"job": job.job_id, "ended": True})

    async def _claim_again(self, job):
        asked_at = self._clock.read_elapsed()
        answer = await self._claims.renew(job)
        if isinstance(answer, Failure):
            self._note_unwritten(job, answer)
        elif answer.unwrap():
            job.claimed_at = asked_at
            log.warning("claim lapsed, claimed again", extra={"job": job.job_id})
        else:
            await self._abandon(job)

    async def _give_way(self):
        """Break off the least urgent items where online requests need the slots."""
        for name in {item.endpoint for item in self._tasks if item.endpoint}:
            endpoint = self._state.directory.get(name)
            if endpoint is None:
                continue
            excess = self._room.measure_own_excess(endpoint)
            if not excess:
                continue
            here = [item for item in self._tasks if item.endpoint == name]
            calendar = self._clock.read_calendar()
            for item in order_items(here, calendar, self._pace)[-excess:]:
                log.info(
                    "item gives way",
                    extra={
                        "request_id": item.item.item_id,
                        "endpoint": name,
                        "load": self._board.measure(name).total,
                        "slots": endpoint.slots,
                    },
                )
                await self._break_off(item)

    async def _fill(self):
        now = self._clock.read_elapsed()
        calendar = self._clock.read_calendar()
        ready = [i for job in self._jobs.values() for i in job.list_ready(now)]
        all_services = self._state.routes.batch_services
        rooms = {}
        for item in order_items(ready, calendar, self._pace):
            route = self._find_route(item)
            if route is None:
                if self._knows_routes_since(item.job.claimed_at):
                    self._items.give_up(item, "its route is gone")
                continue
            if calendar > item.job.manifest.abandon_at:
                self._items.give_up(item, "its time is up")
                continue
            services = route.services
            if services not in rooms:
                rooms[services] = self._list_rooms(services)
            endpoint = self._take_room(item, rooms[services])
            if endpoint is not None:
                await self._start(item, route, endpoint)
            elif not any(rooms.values()) and rooms.keys() >= all_services:
                break

    def _find_route(self, item):
        return self._state.routes.find(item.job.manifest.host, item.item.path)

    def _knows_routes_since(self, moment):
        """Return whether the routes in force were the newest at an elapsed time.

        Notes
        -----
        A host that had read a newer configuration may have accepted the job.
        """
        confirmed_at = self._clock.read_elapsed() - self._state.measure_age()
        return confirmed_at >= moment

    def _list_rooms(self, services):
        """Return the endpoints with room for items, the one with the most last.

        Notes
        -----
        Each gets one item in a turn: reports of other hosts' starts come in between.
        """
        usable = [
            endpoint
            for service in services
            for endpoint in self._chooser.list_usable(service, trials=True)
        ]
        free = [(self._room.measure_free(e), e.name, e) for e in usable]
        return [row[2] for row in sorted(row for row in free if row[0] > 0)]

    def _take_room(self, item, rooms):
        """Return the endpoint with the most room; a trusted one if the item failed."""
        suitable = [
            number
            for number, endpoint in enumerate(rooms)
            if not item.failures or self._chooser.is_trusted(endpoint)
        ]
        return rooms.pop(suitable[-1]) if suitable else None

    async def _start(self, item, route, endpoint):
        item.endpoint = endpoint.name
        item.started_at = self._clock.read_elapsed()
        self._board.begin(endpoint.name, batch=True)
        log.info(
            "item started",
            extra={
                "request_id": item.item.item_id,
                "job": item.job.job_id,
                "endpoint": endpoint.name,
                "last_event": item.last_event,
                "load": self._board.measure(endpoint.name).total,
            },
        )
        await self._notify()
        task = await self._group.spawn(
            self._run_item, item, route, endpoint, daemon=True
        )
        self._tasks[item] = task

    async def _run_item(self, item, route, endpoint):
        is_fresh = not item.pieces
        try:
            await self._items.run(item, route, endpoint)
            if is_fresh and item.item.item_id not in item.job.items:
                self._note_pace(item)
        except Exception:
            log.exception("item failed", extra={"request_id": item.item.item_id})
            self._items.pause(item, "an error here", ERROR_COUNT)
        finally:
            item.endpoint = ""
            self._tasks.pop(item, None)
            self._board.end(endpoint.name, batch=True)
            await self._notify()

    def _note_pace(self, item):
        """Learn from an item that ran without a break how long items take."""
        seconds = self._clock.read_elapsed() - item.started_at
        pace = seconds / max(1, item.item.tokens)
        self._pace += PACE_WEIGHT * (pace - self._pace)

    async def _break_off(self, item):
        task = self._tasks.get(item)
        if task is not None:
            await task.cancel()

    async def _commit_often(self):
        while True:
            await sleep_to_tick(GATHER_SECONDS)
            for job in list(self._jobs.values()):
                if self._stopped or self._clock.read_elapsed() < job.write_after:
                    continue
                if job.has_news:
                    await self._write_failures(job)
                if job.finished:
                    await self._commit(job)

    async def _write_failures(self, job):
        answer = await self._claims.write_failures(job)
        if isinstance(answer, Failure):
            self._note_unwritten(job, answer)
        elif not answer.unwrap():
            # Whether the claim is lost or has lapsed shows in its entry.
            job.write_after = self._clock.read_elapsed() + REWRITE_SECONDS
            log.warning("failures not written", extra={"job": job.job_id})

    def _note_unwritten(self, job, answer):
        job.write_after = self._clock.read_elapsed() + REWRITE_SECONDS
        log.warning(
            "job's progress not written",
            extra={"job": job.job_id, "reason": str(answer.failure())},
        )

    async def _commit(self, job):
        if not job.finished:
            return
        answer = await self._claims.commit(job, self._clock.read_calendar())
        if isinstance(answer, Failure):
            self._note_unwritten(job, answer)
            return
        if not answer.unwrap():
            await self._abandon(job)
            return
        if not job.items and not job.finished:
            self._jobs.pop(job.job_id, None)
            self._metrics.jobs.labels("closed").inc()
            log.info("job closed", extra={"job": job.job_id, "ended": False})

    async def _abandon(self, job):
        """Leave a job to the host that has claimed it."""
        self._jobs.pop(job.job_id, None)
        self._claims.forget(job)
        for item in [i for i in self._tasks if i.job is job]:
            await self._break_off(item)
