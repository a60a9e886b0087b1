"""One host that serves a fleet from the platform's store: its parts and its life."""

import random
import uuid

import curio
from attrs import evolve

from ..clock import SystemClock
from ..entry import CrashWatch, EndpointAttempt, FleetFront, OnlineDispatcher
from ..fleet import (
    EndpointDirectory,
    FleetMember,
    FleetState,
    Follower,
    IsolationWatch,
    MemberDirectory,
    OrderListener,
    Registration,
    RetirementKeeper,
    SharedSchedule,
    SteadySchedule,
)
from ..http import ClientPool, Headers, HTTPServer, ServerLimits
from ..jobs import (
    JobAcceptance,
    JobFront,
    JobReader,
    JobRetention,
    JobRunner,
    WorkBoard,
)
from ..jobs.claims import JobClaims
from ..jobs.keys import WORK_PREFIX
from ..jobs.running import ItemRunner
from ..placement import (
    BatchRoom,
    EndpointChooser,
    EndpointHealth,
    ReachabilityProber,
    SlotQueue,
)
from ..routing import RetryBudgets, RetryPolicy
from ..sharing import (
    CrashLedger,
    LoadBoard,
    ReportExchange,
    SharedFreshness,
    SharedQuota,
)
from ..store import StoreRelay
from ..telemetry import get_logger

__all__ = ["ServingHost"]

# How old a copy of the operators' orders and of the endpoints' entries may grow
# before some host reads them again.
FRESH_SECONDS = 0.7
# Entries of hosts and of open jobs are awaited at the store.
WAIT_SECONDS = 5.0
MEMBERS_PAUSE_SECONDS = 0.2
WORK_PAUSE_SECONDS = 0.05
# How long an endpoint may take to accept a connection: a request still starts
# within its objective at the next one.
CONNECT_SECONDS = 0.2
SUMMARY_SECONDS = 10.0
# Largest call to the store that is passed on for another host.
RELAYED_BYTES = 33_554_432
FIXED_SETTINGS = (
    "name",
    "data_centre",
    "address",
    "callers_address",
    "readiness_address",
    "metrics_port",
    "runs_batch",
    "store",
)
PUMP_SECONDS = 0.02
ISOLATION_SECONDS = 0.1
IDLE_MARGIN = 1.2
# Part of the time to drain after which connections are no longer awaited.
DRAIN_SHARE = 0.9
# Part of it in which the balancer must have noticed that the host isn't ready.
NOTICE_SHARE = 0.35

log = get_logger("host")


class ServingHost:
    """A host.

    Parameters
    ----------
    settings : ServingSettings
    backends : ServingBackends
    clock : Clock, optional
    """

    def __init__(self, settings, backends, clock=None):
        self.settings = settings
        self.backends = backends
        self.clock = clock or SystemClock()
        self.random = random.Random()
        self.metrics = backends.metrics
        self.draining = False
        self.isolated = False
        self._drain_asked = curio.Event()
        self.incarnation = uuid.uuid4().hex[:12]
        self._make_sharing()
        self._make_fleet()
        self._make_placement()
        self._make_jobs()
        self._make_entry()
        self._make_ports()

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return self.state.loaded and not self.draining and not self.isolated

    def _make_sharing(self):
        settings, clock = self.settings, self.clock
        self.crash_ledger = CrashLedger(clock)
        self.board = LoadBoard(settings.name, self.incarnation, clock)
        self.quota = SharedQuota(clock)
        self.health = EndpointHealth(clock)
        self.freshness = SharedFreshness(
            clock,
            self.random,
            FRESH_SECONDS,
            lambda: len(self.board.list_heard()) + 1,
        )
        own = FleetMember(settings.name, self.incarnation)
        self.members = MemberDirectory(own, clock)
        self.exchange = ReportExchange(
            self.board, self.members, self._make_report, self._take_report
        )
        ports = range(settings.first_report_port, settings.last_report_port + 1)
        self.exchange.bind(settings.address, ports)
        self.member = FleetMember(
            settings.name,
            self.incarnation,
            settings.data_centre,
            f"{settings.address}:{self.exchange.port}",
            settings.serves_callers,
            settings.runs_batch,
        )
        self.members.own = self.member

    def _make_fleet(self):
        backends, clock = self.backends, self.clock
        source = backends.source
        self.directory = EndpointDirectory(
            source.read_endpoint, source.name_endpoint, clock
        )
        self.state = FleetState(self.directory, self.members, self.board)
        orders = OrderListener(
            source, self.state, self._take_configuration, self._take_retirement
        )
        self.schedules = {}
        self.followers = [
            self._follow_shared(source.orders_prefix, orders),
            self._follow_shared(source.endpoints_prefix, self.directory),
            self._follow(self.members.prefix, self.members, MEMBERS_PAUSE_SECONDS),
        ]
        self.isolation = IsolationWatch(
            self.members,
            self.board,
            self.settings.data_centre,
            lambda: self.freshness.measure_age(source.orders_prefix),
        )
        self.registration = Registration(
            backends.store, self.member, clock, self.settings.store.lease_seconds
        )

    def _follow_shared(self, prefix, listener):
        """Return a follower that reads in turn with the other hosts."""
        schedule = SharedSchedule(self.freshness, prefix, self.exchange.note_change)
        self.schedules[prefix] = schedule
        feed, clock = self.backends.feed, self.clock
        return Follower(feed, prefix, listener, schedule, clock, whole=True)

    def _follow(self, prefix, listener, pause_seconds):
        """Return a follower that waits at the store for changes."""
        schedule = SteadySchedule(pause_seconds)
        feed, clock = self.backends.feed, self.clock
        return Follower(feed, prefix, listener, schedule, clock, WAIT_SECONDS)

    def _make_placement(self):
        self.chooser = EndpointChooser(
            self.directory,
            self.board,
            self.health,
            self.settings.data_centre,
            self.random,
        )
        self.prober = ReachabilityProber(self.health, self.directory)
        self.slots = SlotQueue(
            self.chooser,
            self.board,
            self.exchange.note_change,
            self.clock,
            self.random,
        )
        self.attempt = EndpointAttempt(
            ClientPool(CONNECT_SECONDS), self.backends.endpoints, self.clock
        )

        self.crashes = CrashWatch(self.crash_ledger, self.exchange.note_change)

    def _make_jobs(self):
        store, feed, clock = self.backends.store, self.backends.feed, self.clock
        value_bytes = self.settings.store.value_bytes
        self.jobs = JobFront(
            self.backends.jobs,
            JobAcceptance(store, feed, clock, value_bytes),
            JobReader(store, feed, clock),
            store,
            clock,
            self.metrics,
        )
        self.runner = None
        self.keepers = []
        if not self.settings.runs_batch:
            return
        work = WorkBoard(clock)
        self.followers.append(self._follow(WORK_PREFIX, work, WORK_PAUSE_SECONDS))
        claimant = f"{self.settings.name}#{self.incarnation}"
        self.runner = JobRunner(
            self.settings.name,
            self.state,
            work,
            JobClaims(store, feed, self.registration, claimant),
            ItemRunner(self.attempt, self.health, self.crashes, clock, self.metrics),
            BatchRoom(self.board),
            self.chooser,
            self.board,
            self.exchange.note_change,
            clock,
            self.metrics,
        )

        self.retirement = RetirementKeeper(
            store, self.backends.source, self.members, clock, self.runner.stop
        )
        retention = JobRetention(
            store, feed, self.members, clock, self.settings.status_seconds
        )
        self.keepers = [self.runner, self.retirement, retention]

    def _make_entry(self):
        clock = self.clock
        self.dispatcher = OnlineDispatcher(
            self.slots,
            self.attempt,
            self.health,
            self.crashes,
            RetryPolicy(RetryBudgets(clock)),
            clock,
            self.random,
            self.metrics,
        )
        self.front = FleetFront(
            self.state,
            self.backends.callers,
            self.quota,
            self.dispatcher,
            self.jobs,
            self.exchange.note_change,
            clock,
            self.metrics,
        )

    def _make_ports(self):
        settings = self.settings
        self.servers = []
        self.callers = HTTPServer(self.front.handle)
        if settings.serves_callers:
            self._bind(self.callers, settings.callers_address)
        if settings.readiness_address:
            self._bind(HTTPServer(self._show_readiness), settings.readiness_address)
        self._bind(
            HTTPServer(self._show_metrics),
            f"{settings.address}:{settings.metrics_port}",
        )
        transport = self.backends.transport
        transport.use_relays(self._list_relays)
        relay = HTTPServer(
            StoreRelay(transport.direct).handle,
            ServerLimits(body_bytes=RELAYED_BYTES),
        )
        # The same number as that of the reports, which are datagrams.
        self._bind(relay, self.member.address)

    def _bind(self, server, address):
        host, _, port = address.rpartition(":")
        server.bind(host, int(port))
        self.servers.append(server)

    async def run(self):
        """Serve until drained."""
        async with curio.TaskGroup(wait=any) as group:
            for server in self.servers:
                await group.spawn(server.serve)
            for follower in self.followers:
                await group.spawn(follower.run)
            await group.spawn(self.registration.run)
            await group.spawn(self.exchange.run)
            await group.spawn(self._pump)
            await group.spawn(self.prober.run)
            await group.spawn(self._summarize)
            await group.spawn(self._watch_isolation)
            for keeper in self.keepers:
                await group.spawn(keeper.run)
            await group.spawn(self._drain)
        if group.exception is not None:
            raise group.exception

    def take_settings(self, settings):
        """Put newer settings in force, as far as a running host can.

        Notes
        -----
        Addresses, ports and the store stay as they are until the process is
        started again.
        """
        fixed = [
            name
            for name in FIXED_SETTINGS
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if fixed:
            log.warning("settings need a restart", extra={"settings": fixed})
        self.settings = evolve(
            self.settings,
            drain_seconds=settings.drain_seconds,
            status_seconds=settings.status_seconds,
        )
        log.info("settings reloaded", extra={"drain": settings.drain_seconds})

    async def start_drain(self):
        """Begin to end without cutting off any request."""
        self.draining = True
        await self._drain_asked.set()

    async def _drain(self):
        await self._drain_asked.wait()
        log.info("draining", extra={"step": "drain"})
        if self.runner is not None:
            await self.runner.stop()
        if self.settings.serves_callers:
            async with curio.ignore_after(self.settings.drain_seconds * DRAIN_SHARE):
                await self._drain_callers()
        await self.registration.leave()
        log.info("drained", extra={"step": "drain"})

    async def _summarize(self):
        """Log now and then how the host stands."""
        while True:
            await curio.sleep(SUMMARY_SECONDS)
            log.info(
                "summary",
                extra={
                    "ready": self.ready,
                    "configuration": self.state.version,
                    "endpoints": len(self.directory.list_endpoints()),
                    "hosts_heard": len(self.board.list_heard()),
                    "waiting": len(self.slots),
                    "items_waiting": self.board.items_waiting,
                    "store_calls": self.metrics.take_store_calls(),
                },
            )

    async def _watch_isolation(self):
        """Send new connections elsewhere while this data centre reaches nothing else.

        Those that are open stay: what comes on them runs at the endpoints here,
        which nobody else reaches, while each job comes on a new connection.
        """
        while True:
            await curio.sleep(ISOLATION_SECONDS)
            isolated = self.isolation.is_isolated()
            if isolated is not self.isolated:
                self.isolated = isolated
                log.warning("isolation", extra={"isolated": isolated})

    async def _drain_callers(self):
        """Serve on until the balancer has noticed, then finish what came."""
        self.callers.start_close()
        await curio.sleep(self.settings.drain_seconds * NOTICE_SHARE)
        await self.callers.drain()

    async def _pump(self):
        """Give out slots that others' reports, or time, have freed."""
        while True:
            await curio.sleep(PUMP_SECONDS)
            if len(self.slots):
                await self.slots.pump()

    def _list_relays(self):
        """Return the addresses of other hosts that reach the store."""
        names = [r.host for r in self.board.list_heard() if r.reaches_store]
        members = [self.members.get(name) for name in names]
        return [member.address for member in members if member is not None]

    def _make_report(self):
        return self.board.make_report(
            self.quota.count_own(),
            self.health.list_shunned(),
            self.freshness.make_report(),
            self.backends.transport.reach.is_recent,
            self.crash_ledger.count_own(),
        )

    async def _take_report(self, report):
        self.crash_ledger.take_counts(report.host, report.crashes)
        for topic in self.freshness.take_report(report.copies):
            await self.schedules[topic].wake()
        if self.state.routes is not None:
            self.quota.take_report(report, self.state.routes)
        if len(self.slots):
            await self.slots.pump()
        if self.runner is not None:
            await self.runner.wake()

    def _take_configuration(self, configuration):
        self.metrics.configuration.set(configuration.version)
        self.callers.limits = ServerLimits(
            header_bytes=configuration.header_bytes,
            body_bytes=configuration.body_bytes,
            # A request's head is awaited from the end of the one before.
            header_timeout=configuration.idle_timeout * IDLE_MARGIN,
        )

    def _take_retirement(self, order):
        if self.runner is not None:
            self.retirement.take_order(order)

    async def _show_readiness(self, exchange):
        status = 200 if self.ready else 503
        await exchange.respond(status, Headers(), b"")

    async def _show_metrics(self, exchange):
        headers = Headers([("Content-Type", "text/plain; version=0.0.4")])
        await exchange.respond(200, headers, self.metrics.render())
