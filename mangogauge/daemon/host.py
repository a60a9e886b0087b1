"""One entry host: its parts, its ports, and its life from start to drain."""

import random
from ssl import Purpose

import curio

from ..batch import BatchPart
from ..clock import SystemClock
from ..configuration import ConfigurationReplica, ConfigurationStore, Staging
from ..distribution import Distributor, Roster, RosterEntry, RosterKeeper
from ..gateway import (
    CapacityGate,
    CrashWatch,
    Dispatcher,
    Doorkeeper,
    ForwardService,
    Front,
    ModelResource,
)
from ..http import ClientPool, HTTPServer, ServerLimits
from ..idempotency import KeyedCalls
from ..keys import KeyReplica, KeyRing, KeyTaskTracker, KeyTrust
from ..limits import (
    ClaimPlanner,
    FleetLimiter,
    HostBudget,
    LenderDirectory,
    LoanExchange,
    Owner,
    SlotManager,
    read_machine_identity,
)
from ..membership import Member, MembershipExchange, MembershipView, make_incarnation
from ..protocol import ChannelPool, ProtocolServer
from ..routing import (
    AnswerTimes,
    BalancedRouter,
    EndpointLoadExchange,
    PeerChooser,
    Quarantine,
    RetryBudgets,
    RetryPolicy,
    SpillChooser,
)
from ..routing.watch import EndpointWatch
from ..settings import KeySettings
from ..store import FileHostList, GatewayStore, RecordStore
from ..telemetry import HostMetrics, get_logger
from ..tls import HTTP_PROTOCOL, PEER_PROTOCOL, TLSContext
from .operators import OperatorPort

__all__ = ["Host"]

DRAIN_INTERVAL = 0.05
QUIET_SECONDS = 0.1

log = get_logger("host")


class Host:
    """An entry host.

    Parameters
    ----------
    settings : HostSettings
    secret : str
        The operators' secret.
    clock : Clock, optional

    Attributes
    ----------
    parts : list of HostPart
        Everything that has tasks, calls or settings of its own. A part is
        added in one of the ``_make`` methods; the rest follows from it.
    """

    def __init__(self, settings, secret, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.random = random.Random()
        self.metrics = HostMetrics()
        self.fleet = None
        self.draining = False
        self._drain_asked = curio.Event()
        self.parts = []
        self.channels = ChannelPool(
            secret, self._make_tls(settings.peers, Purpose.SERVER_AUTH, PEER_PROTOCOL)
        )
        self._make_platform()
        self._make_membership()
        self._make_distribution()
        self._make_limits()
        self._make_routing()
        self._make_batch()
        self._make_keyed()
        self._make_front()
        self._make_ports(secret)

    @property
    def ready(self):
        """Whether callers may be sent here."""
        loaded = self.distributor.loaded and self.limiter.ready
        return loaded and not self.draining

    def _make_platform(self):
        platform = self.settings.platform
        self.store = GatewayStore(platform.addresses, platform.timeout, self.clock)
        self.records = RecordStore(self.store)

    def _make_membership(self):
        self.member = Member(
            self.settings.name,
            self.settings.data_centre,
            self.settings.peer_address,
            make_incarnation(),
        )
        self.view = MembershipView(self.member, self.clock)
        seeds = self.settings.peers.seeds
        exchange = MembershipExchange(self.view, self.channels, seeds, self.random)
        self.parts.append(exchange)

    def _make_distribution(self):
        self.ring = KeyRing(self.clock)
        self.trust = KeyTrust(self.clock, KeySettings().trust_seconds)
        self.key_tasks = KeyTaskTracker()
        configuration = ConfigurationReplica(
            ConfigurationStore(self.records, self.clock),
            self.settings.data_centre,
            self.take_fleet,
            Staging(self.clock),
        )
        keys = KeyReplica(self.records, self.ring, self.key_tasks)
        self.distributor = Distributor(
            [configuration, keys],
            self.view,
            self.store,
            self.channels,
            self.clock,
            self.random,
            self.trust,
        )
        self.roster = RosterKeeper(
            Roster(self.records),
            RosterEntry(
                self.member.name,
                self.member.data_centre,
                self.member.incarnation,
                f"{self.settings.address}:{self.settings.operator_port}",
            ),
            self.clock,
            self.trust,
        )
        self.parts += [self.distributor, self.roster]

    def _make_limits(self):
        settings, member = self.settings, self.member
        ports = (settings.callers_port, settings.peer_port, settings.operator_port)
        addresses = [f"{settings.address}:{port}" for port in ports]
        machine = read_machine_identity(addresses) if all(ports) else ""
        owner = Owner(member.name, member.incarnation, machine)
        budget = HostBudget(self.clock, f"{member.name}#{member.incarnation}")
        planner = ClaimPlanner(owner, self.random, self.clock)
        slot_manager = SlotManager(budget, planner, self.records, self.view, self.clock)
        directory = LenderDirectory(self.view, self.clock)
        exchange = LoanExchange(budget, directory, self.channels, self.clock)
        self.limiter = FleetLimiter(budget, exchange, directory, self.clock)
        self.parts += [slot_manager, exchange]

    def _make_routing(self):
        data_centre = self.settings.data_centre
        self.router = BalancedRouter(data_centre, self.clock, self.random)
        self.spill = SpillChooser(self.view, self.router, self.random)
        quarantine = Quarantine(self.settings.name, self.clock)
        crashes = CrashWatch(quarantine, self.view, self.channels, self.clock)
        self.parts.append(crashes)
        times = AnswerTimes()
        gate = CapacityGate(self.router, self.view, times, self.clock)
        self.parts.append(gate)
        self.dispatcher = Dispatcher(
            self.router,
            self.spill,
            PeerChooser(self.view, self.router, self.random),
            self.channels,
            crashes,
            gate,
            RetryPolicy(RetryBudgets(self.clock)),
            times,
            ClientPool(proves_ends=True),
            self.clock,
            self.random,
            self.metrics,
        )
        board = EndpointLoadExchange(self.router, self.clock)
        path = self.settings.platform.host_list
        host_list = FileHostList(path) if path else None
        self.parts.append(
            EndpointWatch(board, self.router, self.view, host_list, self.random)
        )
        self.parts.append(ForwardService(self.dispatcher, self.clock))

    def _make_batch(self):
        self.batch = BatchPart(
            self.settings.name,
            self.records,
            self.dispatcher,
            self.router,
            self.view,
            self.clock,
            self.random,
            self.metrics,
        )
        self.resources = [*self.batch.resources, ModelResource()]
        self.parts.append(self.batch)

    def _make_keyed(self):
        self.keyed = KeyedCalls(
            self.dispatcher, self.records, self.view, self.channels, self.clock
        )
        self.parts.append(self.keyed)

    def _make_front(self):
        self.front = Front(
            Doorkeeper(self.ring, self.key_tasks, self.trust),
            self.limiter,
            self.keyed.dispatcher,
            self.clock,
            self.metrics,
            self.resources,
        )

    def _make_ports(self, secret):
        methods = [m for part in self.parts for m in part.protocol_methods()]
        settings, purpose = self.settings, Purpose.CLIENT_AUTH
        self.protocol = ProtocolServer(
            methods, secret, self._make_tls(settings.peers, purpose, PEER_PROTOCOL)
        )
        self.callers = HTTPServer(
            self.front.handle,
            self._make_limits_of_callers(),
            self._make_tls(settings.callers, purpose, HTTP_PROTOCOL),
        )
        self.operators = OperatorPort(self, secret)
        for part in self.parts:
            for path, handler in part.operator_handlers().items():
                self.operators.add_handler(path, handler)

    def _make_tls(self, part, purpose, protocol):
        """Return a `TLSContext` if a part of the settings names certificates."""
        files = part.certificates
        return TLSContext(files, purpose, protocol) if files else None

    def _make_limits_of_callers(self):
        callers = self.settings.callers
        return ServerLimits(
            header_bytes=callers.head_bytes,
            body_bytes=callers.body_bytes,
            header_timeout=callers.head_timeout,
            body_timeout=callers.body_timeout,
            write_timeout=callers.write_timeout,
            connections=callers.connections,
        )

    def bind(self):
        """Bind all ports."""
        address = self.settings.address
        self.callers.bind(address, self.settings.callers_port)
        self.protocol.bind(address, self.settings.peer_port)
        self.operators.server.bind(address, self.settings.operator_port)

    async def run(self):
        """Serve until cancelled or drained."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.callers.serve)
            await group.spawn(self.protocol.serve)
            await group.spawn(self.operators.server.serve)
            for part in self.parts:
                await group.spawn(part.run)
            await group.spawn(self._drain)
        if group.exception is not None:
            raise group.exception

    async def start_drain(self):
        """Begin to end without cutting off any request."""
        self.draining = True
        await self._drain_asked.set()

    def take_fleet(self, fleet):
        """Put a newer configuration in force, whole."""
        self.fleet = fleet
        self.trust.seconds = fleet.keys.trust_seconds
        self.limiter.set_accounts(fleet.accounts)
        self.router.set_endpoints(fleet.endpoints)
        self.spill.set_endpoints(fleet.endpoints)
        self.front.set_settings(fleet)
        for part in self.parts:
            part.take_fleet(fleet)
        self.metrics.configuration_version.set(fleet.version)
        log.info("configuration in force", extra={"version": fleet.version})

    async def _drain(self):
        await self._drain_asked.wait()
        log.info("draining", extra={"step": "drain"})
        for part in self.parts:
            part.announce_drain()
        # From here each connection ends after its current exchange; new ones
        # are still served until the balancer must have noticed.
        self.callers.start_close()
        await curio.sleep(self.settings.drain_seconds)
        await self.callers.drain()
        await self._wait_until_quiet()
        for part in self.parts:
            await part.drain()
        await self.keyed.finish()
        await self.roster.leave()
        log.info("drained", extra={"step": "drain"})

    async def _wait_until_quiet(self):
        """Wait until no request runs here, one that has just come included."""
        quiet_since = self.clock.read_elapsed()
        while self.clock.read_elapsed() - quiet_since < QUIET_SECONDS:
            await curio.sleep(DRAIN_INTERVAL)
            if self.callers.busy_count or any(part.busy for part in self.parts):
                quiet_since = self.clock.read_elapsed()
