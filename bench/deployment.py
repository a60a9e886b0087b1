"""The two deployments of the brief, from real processes and delayed links."""

import curio
from attrs import field, frozen

from features.builders import World, wait_until
from mangogauge.clock import SystemClock
from mangogauge.keys import KeyStore
from mangogauge.store import GatewayStore, RecordStore

DATA_CENTRES = ("a", "b", "c", "d")
LARGE_RATE = 24
SMALL_RATE = 3
LARGE_ACCOUNTS = 3
ACCOUNTS = 8
HOSTS = 4
GRANTERS = 32


@frozen
class DeploymentKind:
    """A deployment.

    Parameters
    ----------
    name : str
    endpoints : int
    delay : float
        One-way seconds between data centres.
    """

    name = field()
    endpoints = field()
    delay = field()


YARDIMELI = DeploymentKind("yardimeli", 5, 0.0015)
CONSORTIUM = DeploymentKind("consortium", 6, 0.0005)
KINDS = (YARDIMELI, CONSORTIUM)


def list_accounts():
    """Return ``(name, rate)`` of eight client accounts, three of them large."""
    rates = [LARGE_RATE] * LARGE_ACCOUNTS + [SMALL_RATE] * (ACCOUNTS - LARGE_ACCOUNTS)
    return [(f"account{n}", rate) for n, rate in enumerate(rates)]


class Deployment:
    """Processes of one deployment.

    Parameters
    ----------
    kind : DeploymentKind
    burst : float, optional
        Burst of each account, in seconds of its rate.
    headroom : float, optional
        Factor on the accounts' rates as configured.
    slots : int, optional
        Requests that an engine runs at once.
    accounts : list of (str, float), optional
    hosts : int, optional
        Number of hosts, dealt out to the data centres.
    named_endpoints : int, optional
        Endpoints in the configuration beyond the running ones; each stands
        for one of those under another name.
    """

    def __init__(
        self,
        kind,
        burst=2.0,
        headroom=1.0,
        slots=8,
        accounts=None,
        hosts=HOSTS,
        named_endpoints=0,
    ):
        self.kind = kind
        self.accounts = accounts or list_accounts()
        self.world = World(f"bench-{kind.name}")
        self.keys = {}
        self._named_endpoints = named_endpoints
        self._host_names = [
            f"{DATA_CENTRES[n % len(DATA_CENTRES)]}{n // len(DATA_CENTRES) + 1}"
            for n in range(hosts)
        ]
        self._burst = burst
        self._headroom = headroom
        self._slots = slots

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.world.stop()
            raise
        return self

    def __exit__(self, *error):
        self.world.stop()

    @property
    def hosts(self):
        """Callers' ports."""
        world = self.world
        return [f"{world.address}:{ports[0]}" for ports in world.hosts.values()]

    @property
    def engines(self):
        """Addresses of the engines."""
        return [endpoint["address"] for endpoint in self.world.endpoints.values()]

    def _start(self):
        world = self.world
        world.data_centres = list(DATA_CENTRES)
        world.accounts = [
            (name, rate * self._headroom, max(1, rate * self._burst))
            for name, rate in self.accounts
        ]
        world.start_platform()
        for number in range(self.kind.endpoints):
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            options = ("--step-seconds", "0.01", "--slots", str(self._slots))
            world.start_engine(
                f"engine{number}", centre, options, slots=str(self._slots)
            )
        self.running_engines = self.engines
        self._name_endpoints()
        links = self._start_links()
        world.apply_configuration()
        self._start_hosts(links)
        curio.run(self._grant_keys)
        self._wait_for_keys()

    async def _grant_keys(self):
        store = GatewayStore([self.world.platform_address])
        keys = KeyStore(RecordStore(store), SystemClock())
        pending = iter(self.accounts)
        async with curio.TaskGroup() as group:
            for _ in range(GRANTERS):
                await group.spawn(self._grant_some, keys, pending)
        await store.close()

    async def _grant_some(self, keys, pending):
        for name, _ in pending:
            granted = (await keys.grant(name, "bench")).unwrap()
            self.keys[name] = granted.key

    def _name_endpoints(self):
        running = list(self.world.endpoints.values())
        for number in range(self._named_endpoints):
            like = running[number % len(running)]
            name = f"named{number}"
            self.world.endpoints[name] = {**like, "name": name}

    def _start_links(self):
        """Start a proxy that delays whatever crosses data centres."""
        world = self.world
        targets = {}
        for name in self._host_names:
            world.hosts[name] = [world.take_port() for _ in range(3)]
            targets[f"peer-{name}"] = f"{world.address}:{world.hosts[name][1]}"
        for centre in DATA_CENTRES:
            targets[f"platform-{centre}"] = world.platform_address
            for name, endpoint in world.endpoints.items():
                is_remote = endpoint["data_centre"] != centre
                if is_remote and not name.startswith("named"):
                    targets[f"{centre}-{name}"] = endpoint["address"]
        listens = world.start_proxy(**targets)
        for link in listens:
            world.set_faults(link, delay=self.kind.delay)
        for centre in DATA_CENTRES:
            sections = {}
            for name in world.endpoints:
                if f"{centre}-{name}" in listens:
                    address = listens[f"{centre}-{name}"]
                    sections[f"endpoint {name}"] = {"address": address}
            world.overlays[centre] = _make_overlay(sections)
        return listens

    def _start_hosts(self, links):
        seeds = [links[f"peer-{name}"] for name in self._host_names[:4]]
        for name in self._host_names:
            centre = name[0]
            self.world.start_host(
                name,
                centre,
                platform=links[f"platform-{centre}"],
                seeds=seeds,
                advertised=links[f"peer-{name}"],
            )

    def _wait_for_keys(self):
        last = list(self.keys.values())[-1:]
        for host in self.world.hosts:
            for key in last:
                caller = self.world.get_caller(host, key)
                wait_until(
                    lambda caller=caller: (
                        caller.request("GET", "/v1/batches").status == 200
                    ),
                    f"the key works at {host}",
                )


def _make_overlay(sections):
    lines = []
    for name, options in sections.items():
        lines.append(f"[{name}]")
        lines += [f"{option} = {value}" for option, value in options.items()]
    return "\n".join(lines)
