"""Platform, endpoints and hosts as tasks of one kernel, on loopback."""

import socket

import curio

from ..clock import SystemClock
from ..configuration import ConfigurationStore
from ..daemon.host import Host
from ..keys import KeyStore
from ..settings import (
    ConfigurationDocuments,
    HostSettings,
    PeerSettings,
    PlatformSettings,
)
from ..standins import Engine, EngineOptions, PlatformServer, Service
from ..store import GatewayStore, RecordStore

__all__ = ["Deployment"]

LOOPBACK = "127.0.0.1"
SECRET = "secret-of-the-demo"
READY_INTERVAL = 0.02
DRAIN_SECONDS = 0.2
HOSTS = {"west-1": "west", "west-2": "west", "east-1": "east", "east-2": "east"}
ENGINES = {
    "engine-west-1": "west",
    "engine-west-2": "west",
    "engine-east-1": "east",
    "engine-east-2": "east",
}
SERVICES = {"bookings-west": "west", "bookings-east": "east"}

BASE_TEXT = """
[data_centre west]
[data_centre east]
[account desk]
rate = 400
burst = 400
[account shops]
rate = 400
burst = 400
[account small]
rate = 2
burst = 4
[model small]
[route chat]
path = /v1/chat/completions
kind = model
[route bookings]
path = /bookings/*
kind = service
endpoints = bookings-west, bookings-east
accounts = desk
"""
# What differs in the east, as an example of an overlay.
EAST_TEXT = "[route chat]\ndeadline = 90\n"


class Deployment:
    """Everything that the demo runs on.

    Attributes
    ----------
    hosts : dict of str to Host
    engines : dict of str to Engine
    services : dict of str to Service
    """

    def __init__(self):
        self.clock = SystemClock()
        self.platform = PlatformServer()
        self.engines = {name: Engine(EngineOptions()) for name in ENGINES}
        self.services = {name: Service() for name in SERVICES}
        self.hosts = {}
        self._tasks = {}
        self._store = None

    @property
    def records(self):
        """A `RecordStore` at the platform, as operators' commands use it."""
        return RecordStore(self._store)

    async def start(self):
        """Start everything and wait until every host takes callers."""
        await self._serve("platform", self.platform.server)
        self._store = GatewayStore([self._address_of(self.platform.server)])
        for name, engine in self.engines.items():
            await self._serve(name, engine.server, engine.run_steps)
        for name, service in self.services.items():
            await self._serve(name, service.server)
        documents = ConfigurationDocuments(self._make_base(), {"east": EAST_TEXT})
        configuration = ConfigurationStore(self.records, self.clock)
        (await configuration.apply(documents, 0, "demo")).unwrap()
        self._make_hosts()
        for name, host in self.hosts.items():
            host.bind()
            self._tasks[name] = await curio.spawn(host.run)
        while not all(host.ready for host in self.hosts.values()):
            await curio.sleep(READY_INTERVAL)

    async def stop(self):
        """End everything that still runs."""
        tasks, self._tasks = self._tasks, {}
        for task in reversed(tasks.values()):
            await task.cancel(blocking=False)
        for task in tasks.values():
            await task.wait()
        await self._store.close()

    async def kill(self, name):
        """End an endpoint as if its machine had gone."""
        await self._tasks.pop(name).cancel()

    async def drain(self, name):
        """Drain a host and wait for its end."""
        await self.hosts[name].start_drain()
        await self._tasks.pop(name).join()

    async def grant_key(self, account):
        """Return a new key and its id."""
        write = (await self._keys.grant(account, "demo")).unwrap()
        return write.key, write.record.key_id

    async def withdraw_key(self, key_id):
        """Withdraw a key."""
        (await self._keys.withdraw(key_id)).unwrap()

    def get_address(self, host):
        """Return the address of a host's callers' port."""
        return self._address_of(self.hosts[host].callers)

    def get_engine_address(self, name):
        """Return the address of an engine."""
        return self._address_of(self.engines[name].server)

    def count_started(self):
        """Return how many generations the engines have started."""
        records = [r for engine in self.engines.values() for r in engine.records]
        return sum(record["what"] == "started" for record in records)

    @property
    def _keys(self):
        return KeyStore(self.records, self.clock)

    async def _serve(self, name, server, *tasks):
        server.bind(LOOPBACK, 0)
        self._tasks[name] = await curio.spawn(_run_together, server.serve, *tasks)

    def _address_of(self, server):
        return f"{LOOPBACK}:{server.port}"

    def _make_base(self):
        sections = [BASE_TEXT]
        for name, data_centre in ENGINES.items():
            address = self.get_engine_address(name)
            sections.append(
                f"[endpoint {name}]\naddress = {address}\nkind = engine\n"
                f"data_centre = {data_centre}\nmodels = small"
            )
        for name, data_centre in SERVICES.items():
            address = self._address_of(self.services[name].server)
            sections.append(
                f"[endpoint {name}]\naddress = {address}\nkind = service\n"
                f"data_centre = {data_centre}"
            )
        return "\n".join(sections)

    def _make_hosts(self):
        ports = {name: _find_ports(3) for name in HOSTS}
        seeds = tuple(f"{LOOPBACK}:{found[1]}" for found in ports.values())
        platform = PlatformSettings((self._address_of(self.platform.server),))
        peers = PeerSettings("", seeds=seeds)
        for name, data_centre in HOSTS.items():
            callers, peer, operator = ports[name]
            settings = HostSettings(
                name=name,
                data_centre=data_centre,
                address=LOOPBACK,
                callers_port=callers,
                peer_port=peer,
                operator_port=operator,
                drain_seconds=DRAIN_SECONDS,
                platform=platform,
                peers=peers,
            )
            self.hosts[name] = Host(settings, SECRET)


async def _run_together(*functions):
    async with curio.TaskGroup(wait=any) as group:
        for function in functions:
            await group.spawn(function)


def _find_ports(count):
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((LOOPBACK, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
