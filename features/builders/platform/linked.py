"""A deployment in which single hosts can lose their way to endpoints."""

import os

import orjson

from ..callers import Caller
from .deployment import PACKAGE, HostProcess, PlatformDeployment

SOURCE_PREFIX = "127.250.0"
# The way of cutting in which new connections hang; in all others they are refused.
SILENT = "silent"


class LinkedHost(HostProcess):
    """A host's process that connects from an address of its own.

    Parameters
    ----------
    source : str
        IP number.
    ways : pathlib.Path
        File of the addresses that lead elsewhere.
    """

    def __init__(self, name, settings, folder, source, ways):
        super().__init__(name, settings, folder)
        self.source = source
        self.ways = ways
        self.write_ways({})

    @property
    def command(self):
        arguments = [self.source, str(self.ways)]
        return [*self.make_command(f"{PACKAGE}.linkedhost"), *arguments]

    def write_ways(self, ways):
        """Have connections lead elsewhere from now on."""
        draft = self.ways.with_suffix(".draft")
        draft.write_bytes(orjson.dumps(ways))
        os.replace(draft, self.ways)


class LinkedDeployment(PlatformDeployment):
    """Endpoints behind links that can be cut for one host.

    Attributes
    ----------
    links : dict
        Address of the link of each endpoint, as its entry says it.
    """

    def __init__(self, world):
        super().__init__(world)
        self.links = {}
        self.links_port = world.take_port()
        # Nobody listens there.
        self.closed_address = f"{self.address}:{world.take_port()}"
        self._start("links", "links", f"{self.address}:{self.links_port}")

    def control_links(self, **order):
        """Change the links; return what they count."""
        return Caller(self.address, self.links_port).control(**order)

    def write_entry(self, name, **changes):
        """Write an endpoint's entry, with the address of its link."""
        if name not in self.links:
            self.links[name] = f"{self.address}:{self.world.take_port()}"
            way = (self.links[name], self.endpoints[name])
            self.control_links(open={name: way})
        super().write_entry(name, **{"address": self.links[name], **changes})

    def crash_endpoint(self, name):
        """End an endpoint at once; nobody listens at its address any more."""
        self.world.processes[name].kill()
        self.control_links(close=[name])

    def make_host(self, name, path):
        """Return the process of a host, not started."""
        source = f"{SOURCE_PREFIX}.{len(self.hosts) + 1}"
        ways = self.world.folder / f"{name}.ways"
        return LinkedHost(name, path, self.world.folder, source, ways)

    def cut(self, host, how, endpoints=None):
        """Cut a host off from endpoints, from all if none are named."""
        names = list(self.links if endpoints is None else endpoints)
        process = self.world.processes[host]
        abyss = self.control_links()["abyss"]
        way = abyss if how == SILENT else self.closed_address
        process.write_ways({self.links[name]: way for name in names})
        self.control_links(cut={process.source: (how, names)})

    def restore(self, host):
        """End a host's cut."""
        process = self.world.processes[host]
        self.control_links(cut={process.source: ("", ())})
        process.write_ways({})

    def count_direct_bytes(self, host):
        """Return how many bytes a host has sent to each endpoint by itself."""
        source = self.world.processes[host].source
        counts = self.control_links()["bytes"]
        return {name: counts.get(f"{source} {name}", 0) for name in self.links}
