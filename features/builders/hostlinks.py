"""Links of a world's endpoints that can be cut for one host."""

import os

import orjson

from .callers import Caller
from .processes import Process, wait_until

LINKS_MODULE = "features.builders.platform.links"
HOST_MODULE = "features.builders.linkedprocess"
SOURCE_PREFIX = "127.251.0"
# How a host's connections may be cut, and where new ones lead then.
SILENT = "silent"


class HostLinks:
    """Puts a link before each endpoint and starts hosts that can lose them.

    Parameters
    ----------
    world : World
        Its endpoints have been started and aren't in its configuration yet.
    """

    def __init__(self, world):
        self._world = world
        # Nobody listens there.
        self._closed = f"{world.address}:{world.take_port()}"
        self._control = Caller(world.address, world.take_port())
        self._sources = {}
        address = f"{world.address}:{self._control.port}"
        process = Process("links", [address], world.folder)
        process.module = LINKS_MODULE
        world.processes["links"] = process.start()
        self.addresses = self._insert(world.endpoints)

    def _insert(self, endpoints):
        addresses = {}
        for name, endpoint in endpoints.items():
            addresses[name] = f"{self._world.address}:{self._world.take_port()}"
            way = (addresses[name], endpoint["address"])
            self._control.control(open={name: way})
            endpoint["address"] = addresses[name]
        return addresses

    def start_host(self, name, data_centre="a", **options):
        """Start a host whose connections come from an address of its own."""
        self._sources[name] = f"{SOURCE_PREFIX}.{len(self._sources) + 1}"
        self._write_ways(name, {})
        arguments = (self._sources[name], self._get_file(name))
        self._world.programs[name] = (HOST_MODULE, arguments)
        return self._world.start_host(name, data_centre, **options)

    def start_hosts(self, names):
        """Start some hosts of one data centre, without waiting until they are ready."""
        for name in names:
            self._world.reserve_host(name)
        for name in names:
            self.start_host(name, ready=False)

    def wait_until_known(self, callers):
        """Wait until each host is ready, and knows all of them and the callers' key.

        Parameters
        ----------
        callers : dict of str to Caller
            By the name of the host that they ask.
        """
        for name, caller in callers.items():
            self._world.wait_until_ready(name)
            wait_until(
                lambda name=name, caller=caller: self._knows_all(name, caller, callers),
                f"{name} knows all",
            )

    def _knows_all(self, name, caller, hosts):
        members = self._world.read_state(name)["members"]
        is_key_known = caller.request("GET", "/v1/batches").status == 200
        return is_key_known and len(members) == len(hosts)

    def cut(self, host, how):
        """Cut a host off from all endpoints."""
        abyss = self._control.control()["abyss"]
        way = abyss if how == SILENT else self._closed
        self._write_ways(host, dict.fromkeys(self.addresses.values(), way))
        self._control.control(cut={self._sources[host]: (how, list(self.addresses))})

    def restore(self, host):
        """End a host's cut."""
        self._control.control(cut={self._sources[host]: ("", ())})
        self._write_ways(host, {})

    def count_direct_bytes(self, host):
        """Return how many bytes a host has sent to endpoints by itself."""
        counts = self._control.control()["bytes"]
        source = self._sources[host]
        return sum(n for link, n in counts.items() if link.split()[0] == source)

    def _get_file(self, host):
        return self._world.folder / f"{host}.ways"

    def _write_ways(self, host, ways):
        draft = self._get_file(host).with_suffix(".draft")
        draft.write_bytes(orjson.dumps(ways))
        os.replace(draft, self._get_file(host))
