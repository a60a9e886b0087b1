"""One entry host: its parts, its ports, and its life from start to drain."""

import random

import curio
from returns.result import Failure

from ..batch import BatchResource, BatchRunner, FileResource, FileStore, JobStore
from ..clock import SystemClock
from ..configuration import ConfigurationStore
from ..gateway import Dispatcher, Front
from ..http import ClientPool, HTTPServer
from ..keys import KeyRing, KeyStore
from ..limits import LocalLimiter
from ..membership import Member, new_incarnation
from ..platform import GatewayStore, RecordStore
from ..protocol import ChannelPool, ProtocolServer
from ..routing import LeastLoadedRouter, RetryPolicy
from ..settings import SettingsError, read_fleet
from ..telemetry import HostMetrics, get_logger
from .operators import OperatorPort

__all__ = ["Host"]

REFRESH_SECONDS = 1.0
DRAIN_INTERVAL = 0.05

log = get_logger("host")


class Host:
    """An entry host.

    Parameters
    ----------
    settings : HostSettings
    secret : str
        The operators' secret.
    clock : Clock, optional
    """

    def __init__(self, settings, secret, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.member = Member(
            settings.name,
            settings.data_centre,
            settings.peer_address,
            new_incarnation(),
        )
        self.metrics = HostMetrics()
        self.ready = False
        self.draining = False
        self.fleet = None
        self._random = random.Random()
        self._make_platform(settings)
        self._make_service()
        self.peers = ChannelPool(secret)
        self.protocol = ProtocolServer([], secret)
        self.callers = HTTPServer(self.front.handle)
        self.operators = OperatorPort(self, secret)

    def _make_platform(self, settings):
        self.store = GatewayStore(
            settings.platform.addresses, settings.platform.timeout, self.clock
        )
        self.records = RecordStore(self.store)
        self.configuration = ConfigurationStore(self.records, self.clock)
        self.keys = KeyStore(self.records, self.clock)
        self.ring = KeyRing()

    def _make_service(self):
        self.limiter = LocalLimiter(self.clock)
        self.router = LeastLoadedRouter(self.settings.data_centre, self._random)
        self.dispatcher = Dispatcher(
            self.router, RetryPolicy(), ClientPool(), self.clock, self.metrics
        )
        files = FileStore(self.records, self.clock)
        jobs = JobStore(self.records)
        resources = [FileResource(files), BatchResource(jobs, files, self.clock)]
        self.front = Front(
            self.ring,
            self.limiter,
            self.dispatcher,
            self.clock,
            self.metrics,
            resources,
        )
        self.runner = BatchRunner(
            self.settings.name, self.records, jobs, files, self.dispatcher, self.clock
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
            await group.spawn(self._refresh)
            await group.spawn(self.runner.run)
            await group.spawn(self._drain)
        if group.exception is not None:
            raise group.exception

    def start_drain(self):
        """Begin to end without cutting off any request."""
        self.draining = True
        self.ready = False

    async def _drain(self):
        while not self.draining:
            await curio.sleep(DRAIN_INTERVAL)
        await curio.sleep(self.settings.drain_seconds)
        await self.callers.drain()

    async def _refresh(self):
        while True:
            await self._refresh_configuration()
            await self._refresh_keys()
            self.ready = self.fleet is not None and not self.draining
            await curio.sleep(REFRESH_SECONDS)

    async def _refresh_configuration(self):
        found = await self.configuration.read()
        if isinstance(found, Failure) or found.unwrap() is None:
            return
        current = found.unwrap()
        if self.fleet is not None and current.version <= self.fleet.version:
            return
        try:
            fleet = read_fleet(
                current.documents, self.settings.data_centre, current.version
            )
        except SettingsError as error:
            log.error("configuration refused", extra={"reason": str(error)})
            return
        self.take_fleet(fleet)

    def take_fleet(self, fleet):
        """Put a newer configuration in force, whole."""
        self.fleet = fleet
        self.limiter.set_accounts(fleet.accounts)
        self.router.set_endpoints(fleet.endpoints)
        self.front.set_settings(fleet)
        self.runner.set_settings(fleet)
        self.metrics.configuration_version.set(fleet.version)
        log.info("configuration in force", extra={"version": fleet.version})

    async def _refresh_keys(self):
        found = await self.keys.list_all()
        if not isinstance(found, Failure):
            self.ring.replace(found.unwrap())
