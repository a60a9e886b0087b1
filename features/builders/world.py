"""A small deployment of real processes on a loopback address of its own."""

import itertools
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import orjson
from attrs import field, frozen

from .builds import make_environment
from .callers import Caller
from .processes import Process, wait_until
from .settings import make_base, make_host_file

SECRET = "operators-secret-of-the-tests"
FIRST_PORT = 7001

_numbers = itertools.count()


@frozen
class CommandOutcome:
    """How a command ended."""

    code = field()
    lines = field()
    errors = field()

    @property
    def json(self):
        return orjson.loads(self.lines[-1])


def _make_address():
    # Addresses of 127.0.0.0/8 that no other process uses: no port can clash.
    pid = os.getpid()
    number = next(_numbers)
    high = 16 + (pid // 250) % 200
    return f"127.{high}.{1 + pid % 250}.{1 + number % 250}"


class World:
    """Platform, endpoints, hosts and proxies of one scenario.

    Attributes
    ----------
    address : str
        IP number that all processes listen on.
    build : pathlib.Path or None
        Folder of the build whose hosts and commands start; None for this one.
    processes : dict
        `Process` by name.
    programs : dict
        Module and its first arguments of processes that run another program.
    """

    def __init__(self, name="world"):
        self.name = name
        self.address = _make_address()
        self.build = None
        self.folder = Path(tempfile.mkdtemp(prefix="mangogauge-"))
        self.processes = {}
        self.programs = {}
        self.hosts = {}
        self.endpoints = {}
        self.routes = []
        self.accounts = [("desk", 100, 100)]
        self.data_centres = ["a", "b"]
        self.extra = ""
        self.overlays = {}
        self.listens = {}
        self.platform_address = ""
        self._ports = itertools.count(FIRST_PORT)
        self._secret_file = self.folder / "secret"
        self._secret_file.write_text(SECRET)

    def take_port(self):
        """Return a port that is free on this world's address."""
        return next(self._ports)

    def start_process(self, name, *arguments, build=None):
        """Start a process and wait until it is up."""
        module, first = self.programs.get(name, ("mangogauge", ()))
        process = Process(name, [*first, *arguments], self.folder)
        process.module = module
        process.build = build
        self.processes[name] = process
        return process.start()

    def start_platform(self):
        port = self.take_port()
        self.platform_address = f"{self.address}:{port}"
        return self._start_standin("platform", "platform", port)

    def start_engine(self, name, data_centre="a", options=(), **endpoint):
        """Start an engine and note it for the base file."""
        port = self.take_port()
        self.add_endpoint(
            name, port, data_centre, "engine", **{"models": "small", **endpoint}
        )
        return self._start_standin(name, "engine", port, *options)

    def start_service(self, name, data_centre="a", **endpoint):
        """Start a plain service and note it for the base file."""
        port = self.take_port()
        self.add_endpoint(name, port, data_centre, "service", **endpoint)
        return self._start_standin(name, "service", port)

    def start_backends(self):
        """Start the platform, an engine in each data centre, and a service."""
        self.start_platform()
        self.start_engine("engine-a", "a")
        self.start_engine("engine-b", "b")
        self.start_service("desk-service", "a")
        self.routes.append(
            {
                "name": "bookings",
                "path": "/bookings/*",
                "kind": "service",
                "endpoints": "desk-service",
            }
        )

    def add_endpoint(self, name, port, data_centre, kind, **options):
        self.endpoints[name] = {
            "name": name,
            "address": f"{self.address}:{port}",
            "data_centre": data_centre,
            "kind": kind,
            **options,
        }

    def start_proxy(self, name="proxy", **links):
        """Start a fault proxy: link name to target ``host:port``.

        Returns
        -------
        dict of str to str
            The address on which each link listens.
        """
        listens = {link: f"{self.address}:{self.take_port()}" for link in links}
        arguments = [f"{link}={listens[link]}={links[link]}" for link in links]
        self._start_standin(name, "proxy", self.take_port(), *arguments)
        return listens

    def set_faults(self, link, proxy="proxy", **changes):
        """Change the faults of a proxy's link."""
        return self.get_standin(proxy).request(
            "POST", "/control", orjson.dumps({link: changes})
        )

    def reserve_host(self, name):
        """Return a host's ports before it starts: callers, peers, operators."""
        if name not in self.hosts:
            self.hosts[name] = [self.take_port() for _ in range(3)]
        return self.hosts[name]

    def start_hosts_behind_proxy(self, **hosts):
        """Start hosts, name to data centre, whose every link can be cut.

        The links of host ``a1`` are ``a1-platform`` (from it to the platform)
        and ``a1-peers`` (from its peers to it).
        """
        links = {}
        for name in hosts:
            peer_port = self.reserve_host(name)[1]
            links[f"{name}-platform"] = self.platform_address
            links[f"{name}-peers"] = f"{self.address}:{peer_port}"
        self.listens = self.start_proxy(**links)
        for name, data_centre in hosts.items():
            self.start_host_behind_proxy(name, data_centre, ready=False)
        for name in hosts:
            self.wait_until_ready(name)

    def start_host_behind_proxy(self, name, data_centre, ready=True):
        """Start one of those hosts, or start it again."""
        return self.start_host(
            name,
            data_centre,
            platform=self.listens[f"{name}-platform"],
            advertised=self.listens[f"{name}-peers"],
            seeds=[self.listens[f"{other}-peers"] for other in self.hosts],
            ready=ready,
        )

    def start_host(
        self, name, data_centre="a", platform="", seeds=(), ready=True, **options
    ):
        """Start an entry host and wait until it is ready."""
        self.reserve_host(name)
        path = self.folder / f"{name}.ini"
        path.write_text(
            make_host_file(
                name,
                data_centre,
                self.address,
                self.hosts[name],
                platform or self.platform_address,
                self._secret_file,
                seeds or [f"{self.address}:{p[1]}" for p in self.hosts.values()],
                **options,
            )
        )
        process = self.start_process(name, "serve", path, build=self.build)
        if ready:
            self.wait_until_ready(name)
        return process

    def wait_until_ready(self, name):
        wait_until(lambda: self.is_ready(name), f"{name} is ready")

    def is_ready(self, name):
        process = self.processes[name]
        assert process.is_running, f"{name} has ended: {process.read_log()}"
        try:
            return self.get_operator(name).request("GET", "/readyz").status == 200
        except OSError:
            return False

    def write_configuration(self):
        """Write base and overlay files; return their paths, the base first."""
        base = self.folder / "base.ini"
        base.write_text(
            make_base(
                self.endpoints.values(),
                self.data_centres,
                self.accounts,
                self.routes,
                self.extra,
            )
        )
        paths = [base]
        for name in self.data_centres:
            path = self.folder / f"{name}.ini"
            path.write_text(self.overlays.get(name, ""))
            paths.append(path)
        return paths

    def apply_configuration(self, *options):
        """Record the configuration at the platform; return its version."""
        paths = self.write_configuration()
        answer = self.run(
            "config", "apply", *paths, "--platform", self.platform_address, *options
        )
        return answer["version"]

    def grant_key(self, account="desk"):
        """Return a new key."""
        return self.run("key", "grant", account, "--platform", self.platform_address)[
            "key"
        ]

    def run(self, *arguments, check=True):
        """Run a command to its end and return its last line as JSON."""
        done = self._run_command(arguments)
        if check and done.returncode:
            raise AssertionError(f"{arguments}: {done.returncode} {done.stderr!r}")
        lines = done.stdout.splitlines()
        return orjson.loads(lines[-1]) if lines else {}

    def run_for_code(self, *arguments):
        """Run a command and return its exit code, output lines and errors."""
        done = self._run_command(arguments)
        lines = done.stdout.decode().splitlines()
        return CommandOutcome(done.returncode, lines, done.stderr.decode())

    def read_state(self, host):
        """Return what a host's operators' port says of it."""
        return self.get_operator(host).request("GET", "/state").json

    def get_caller(self, host, key=""):
        """Return a caller of a host."""
        return Caller(self.address, self.hosts[host][0], key)

    def get_operator(self, host):
        """Return a caller of a host's operator port."""
        return Caller(self.address, self.hosts[host][2], SECRET)

    def get_standin(self, name):
        """Return a caller of a stand-in."""
        return Caller(self.address, self.processes[name].ready["port"])

    def stop(self, keep_logs=False):
        """End all processes."""
        for process in self.processes.values():
            if process.is_running:
                process.resume()
                process.kill()
        if keep_logs:
            print(f"logs of the failed scenario: {self.folder}")
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def _run_command(self, arguments):
        command = [sys.executable, "-m", "mangogauge", *map(str, arguments)]
        environment = make_environment() if self.build else None
        return subprocess.run(
            command, capture_output=True, timeout=300, cwd=self.build, env=environment
        )

    def _start_standin(self, name, kind, port, *options):
        return self.start_process(
            name,
            "standin",
            kind,
            *options,
            "--address",
            self.address,
            "--port",
            port,
        )
