"""One host that serves a fleet from the platform's store: its parts and its life."""

import random

import curio
from attrs import evolve

from ..clock import SystemClock
from ..entry import (
    CallerRequestHandler,
    CrashDetector,
    EndpointClient,
    OnlineDispatcher,
    RequestAdmission,
)
from ..fleet import RetirementController
from ..http import Headers, HTTPServer, ServerLimits
from ..jobs import (
    CancellationCheck,
    JobAcceptance,
    JobDirectory,
    JobReader,
    JobRequestHandler,
    JobRetention,
    JobRunner,
)
from ..jobs.claims import JobClaims
from ..jobs.item_runner import ItemRunner
from ..jobs.keys import WORK_PREFIX
from ..paths import TUNNEL_PREFIX
from ..placement import (
    BatchRoom,
    EndpointChooser,
    ReachabilityProber,
    SlotOutlook,
    SlotQueue,
    Spillover,
)
from ..quarantine import PartTrials
from ..routing import RetryBudgets, RetryPolicy
from ..sharing import QuotaLine
from ..store import StoreRelay
from ..supervision import keep_running
from ..telemetry import get_logger
from .endpointaccess import EndpointAccess
from .fleetview import FleetView

__all__ = ["ServingHost"]

WORK_PAUSE_SECONDS = 0.5
SUMMARY_SECONDS = 10.0
# Largest call to the store that is passed on for another host.
RELAYED_BYTES = 33_554_432
# How long a connection that is carried for another host may be idle.
TUNNEL_IDLE_SECONDS = 60.0
FIXED_SETTINGS = (
    "name",
    "data_centre",
    "address",
    "callers_address",
    "readiness_address",
    "metrics_port",
    "runs_batch",
    "checks_evacuations",
    "checks_regions",
    "compares_rates",
    "way_seconds",
    "regions",
    "forecasts_demand",
    "store",
    "cold",
)
PUMP_SECONDS = 0.02
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
        # Elapsed time at which what still runs is cut off.
        self._cut_at = float("inf")
        self._drain_asked = curio.Event()
        self.fleet = FleetView(
            settings,
            backends,
            self.clock,
            self.random,
            self._take_report,
            self._take_configuration,
            self._take_retirement,
        )
        self.access = EndpointAccess(self.fleet, self.clock, self.random)
        self._make_placement()
        self._make_jobs()
        self._make_entry()
        self._make_ports()

    @property
    def ready(self):
        """Whether new connections had better come here.

        Notes
        -----
        In a data centre that reaches nothing else they had better not: a job comes
        on a new connection and can't be taken. Connections that are open stay, since
        what comes on them runs at the endpoints here, which nobody else reaches.
        """
        return self.fleet.state.loaded and not self.draining and not self.fleet.isolated

    def _make_placement(self):
        self.spillover = None
        if self.settings.way_seconds is not None:
            self.spillover = Spillover(self.settings.way_seconds, self.random)
        self.chooser = EndpointChooser(
            self.fleet.directory,
            self.fleet.board,
            self.fleet.health,
            self.fleet.trust,
            self.settings.data_centre,
            self.random,
            self.fleet.limiter,
            self.fleet.eligibility,
            self.spillover,
        )
        self.prober = ReachabilityProber(
            self.fleet.health, self.fleet.directory, self.access.checker, self.clock
        )
        self.slots = SlotQueue(
            self.chooser,
            self.fleet.board,
            self.fleet.notify,
            self.clock,
            self.random,
        )
        self.attempt = EndpointClient(
            self.access.pool,
            self.backends.endpoints,
            self.fleet.directory,
            self.clock,
            self.fleet.note_limit,
            self.fleet.eligibility.find_current_reason,
            self.fleet.limiter.note_cold_answer,
        )

        self.trials = PartTrials(
            self.backends.store,
            self.fleet.registration,
            self.fleet.claimant,
            self.fleet.part_quarantine,
            self.clock,
            self.fleet.neighbours.is_first,
        )
        self.crashes = CrashDetector(
            self.fleet.crash_ledger,
            self.fleet.part_quarantine,
            self.trials,
            self.fleet.notify_crash,
            self.clock,
            self.fleet.neighbours.hears_data_centre,
            self.access.checker.refuses_connections,
        )

    def _make_jobs(self):
        store, feed, clock = self.backends.store, self.backends.feed, self.clock
        limits = self.backends.limits
        self.jobs = JobRequestHandler(
            self.backends.jobs,
            JobAcceptance(store, feed, clock, limits),
            JobReader(store, feed, clock),
            store,
            self._measure_serving_time,
            clock,
            self.metrics,
        )
        self.runner = None
        self.keepers = []
        if not self.settings.runs_batch:
            return
        job_directory = JobDirectory(clock)
        cancellation_check = CancellationCheck(
            job_directory, self._follow_work(job_directory), clock
        )
        self.runner = JobRunner(
            self.settings.name,
            self.fleet.state,
            job_directory,
            cancellation_check,
            JobClaims(
                store, feed, self.fleet.registration, self.fleet.claimant, limits
            ),
            ItemRunner(
                self.attempt,
                self.fleet.health,
                self.fleet.trust,
                self.crashes,
                self.trials,
                self.fleet.streams,
                clock,
                self.random,
                self.metrics,
            ),
            BatchRoom(self.fleet.board, clock, self.fleet.trust.get_slowdown),
            self.chooser,
            self.fleet.streams,
            self.fleet.board,
            self.fleet.notify,
            clock,
            self.metrics,
            self._make_outlook(),
        )

        self.retirement = RetirementController(
            store, self.backends.source, self.fleet.members, clock, self.runner.stop
        )
        retention = JobRetention(
            store, feed, self.fleet.members, clock, self.settings.status_seconds
        )
        self.keepers = [self.runner, self.retirement, retention]

    def _follow_work(self, job_directory):
        """Keep a copy of the open jobs; return a callable that measures its age."""
        if self.settings.shared_reads:
            return self.fleet.follow_work(WORK_PREFIX, job_directory).measure_age
        follower = self.fleet.follow(WORK_PREFIX, job_directory, WORK_PAUSE_SECONDS)
        return lambda: follower.age

    def _make_outlook(self):
        """Return the `SlotOutlook` of items, or None if the settings turn it off."""
        if not self.settings.forecasts_demand:
            return None
        return SlotOutlook(
            self.fleet.directory, self.fleet.eligibility, self.fleet.board, self.clock
        )

    def _make_entry(self):
        clock = self.clock
        self.dispatcher = OnlineDispatcher(
            self.slots,
            self.attempt,
            self.fleet.health,
            self.fleet.trust,
            self.crashes,
            self.fleet.streams,
            RetryPolicy(RetryBudgets(clock)),
            clock,
            self.random,
            self.metrics,
        )
        line = QuotaLine(self.fleet.quota, self.fleet.state.compute_quota_share, clock)
        admission = RequestAdmission(
            self.fleet.quota,
            line,
            self.fleet.notify,
            lambda: self.settings.waits_for_budget,
            clock,
            self.metrics,
        )
        self.front = CallerRequestHandler(
            self.fleet.state,
            self.fleet.confirmation,
            self.backends.callers,
            admission,
            self.dispatcher,
            self.jobs,
            self._measure_serving_time,
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
        transport.use_relays(self.fleet.list_store_relays)
        self.store_relay = StoreRelay(transport.direct)
        peers = HTTPServer(
            self._serve_peer,
            ServerLimits(body_bytes=RELAYED_BYTES, body_timeout=TUNNEL_IDLE_SECONDS),
        )
        # The same number as that of the reports, which are datagrams.
        self._bind(peers, self.fleet.member.address)

    def _bind(self, server, address):
        host, _, port = address.rpartition(":")
        server.bind(host, int(port))
        self.servers.append(server)

    async def run(self):
        """Serve until drained."""
        async with curio.TaskGroup(wait=any) as group:
            for server in self.servers:
                await group.spawn(server.serve)
            await group.spawn(self.fleet.run)
            for run in (
                self._pump,
                self.prober.run,
                self.crashes.run,
                self._summarize,
            ):
                await group.spawn(keep_running, run.__qualname__, run)
            for keeper in self.keepers:
                await group.spawn(keep_running, type(keeper).__name__, keeper.run)
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
            waits_for_budget=settings.waits_for_budget,
        )
        log.info("settings reloaded", extra={"drain": settings.drain_seconds})

    async def start_drain(self):
        """Begin to end without cutting off any request."""
        self.draining = True
        self.access.relay.start_close()
        drain_seconds = self.settings.drain_seconds * DRAIN_SHARE
        self._cut_at = self.clock.read_elapsed() + drain_seconds
        await self._drain_asked.set()

    def _measure_serving_time(self):
        """Return the seconds until what still runs is cut off; infinity if it isn't."""
        return self._cut_at - self.clock.read_elapsed()

    async def _drain(self):
        await self._drain_asked.wait()
        log.info("draining", extra={"step": "drain"})
        if self.runner is not None:
            await self.runner.stop()
        async with curio.ignore_after(self._measure_serving_time()):
            await self._drain_connections()
        await self.fleet.leave()
        log.info("drained", extra={"step": "drain"})

    async def _summarize(self):
        """Log now and then how the host stands."""
        while True:
            await curio.sleep(SUMMARY_SECONDS)
            log.info(
                "summary",
                extra={
                    "ready": self.ready,
                    "configuration": self.fleet.state.version,
                    "endpoints": len(self.fleet.directory.list_endpoints()),
                    "hosts_heard": self.fleet.board.count_reporting_hosts(),
                    "endpoints_barred": self.fleet.trust.list_barred(),
                    "endpoints_indirect": self.fleet.health.list_unreachable(),
                    "endpoints_limited": self.fleet.limiter.limits.list_limited(),
                    "endpoints_cold": self.fleet.limiter.cold.list_cold(),
                    "parts_quarantined": self.fleet.part_quarantine.list_quarantined(),
                    "evacuated": sorted(self.fleet.eligibility.evacuated),
                    "spillover": self.spillover and round(self.spillover.share, 2),
                    "waiting": len(self.slots),
                    "items_waiting": self.fleet.board.items_waiting,
                    "store_calls": self.metrics.take_store_calls(),
                },
            )

    async def _drain_connections(self):
        """Serve on until the balancer has noticed, then finish what came.

        Notes
        -----
        Callers are still served while connections are carried for other hosts.
        """
        if self.settings.serves_callers:
            self.callers.start_close()
            await curio.sleep(self.settings.drain_seconds * NOTICE_SHARE)
        await self.access.relay.drain()
        if self.settings.serves_callers:
            await self.callers.drain()

    async def _pump(self):
        """Give out slots that others' reports, or time, have freed."""
        while True:
            await self.slots.wait_until_nonempty()
            await curio.sleep(PUMP_SECONDS)
            await self.slots.assign_free_slots()

    async def _take_report(self, report):
        if len(self.slots):
            await self.slots.assign_free_slots()
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
            self.retirement.add_request(order)

    async def _serve_peer(self, exchange):
        """Pass on what another host can't reach itself."""
        is_tunnel = exchange.path.startswith(TUNNEL_PREFIX)
        relay = self.access.relay if is_tunnel else self.store_relay
        await relay.handle(exchange)

    async def _show_readiness(self, exchange):
        status = 200 if self.ready else 503
        await exchange.respond(status, Headers(), b"")

    async def _show_metrics(self, exchange):
        headers = Headers([("Content-Type", "text/plain; version=0.0.4")])
        await exchange.respond(200, headers, self.metrics.render())
