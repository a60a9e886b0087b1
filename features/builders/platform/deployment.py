"""Start the platform's stand-ins and hosts, and talk to them."""

import base64
import http.client
import os
import re
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import orjson
from attrs import define, field

from ..callers import TIMEOUT_SECONDS, Caller
from ..processes import Process, wait_until

ROOT = Path(__file__).resolve().parents[3]
PACKAGE = "features.builders.platform"
HOST_NAME = "desk.example"
# Address, name, slots and folder.
ENDPOINT_ARGUMENTS = 4
ROUTES = (
    # Name, kind, most endpoints for one request, whether it can be resumed.
    ("ask", "stream", 1, False),
    ("note", "stream", 2, True),
    ("safe", "safe", 2, False),
    ("night", "batch", 3, True),
)


class StandIn(Process):
    """A stand-in's process: a module with arguments."""

    def __init__(self, name, module, arguments, folder):
        super().__init__(name, arguments, folder)
        self.module = module

    def start(self):
        """Start it and wait for its line."""
        return self.start_module(self.module, {})


class HostProcess(Process):
    """A host's process; its log goes to its standard output."""

    def __init__(self, name, settings, folder):
        super().__init__(name, [], folder)
        self.settings = settings

    @property
    def command(self):
        """The command line."""
        return self.make_command("mangogauge.platform")

    @staticmethod
    def make_command(module):
        return [sys.executable, "-m", module]

    def start(self):
        """Start it; whether it is ready is asked of it."""
        environment = {
            **os.environ,
            "MANGOGAUGE_SETTINGS": str(self.settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, env=environment, cwd=self.build
            )
        return self


@define
class PlatformAnswer:
    """An answer, read whole or as far as it came."""

    status = field()
    headers = field()
    body = field()
    whole = field(default=True)

    @property
    def json(self):
        return orjson.loads(self.body)

    @property
    def texts(self):
        """Data of the events, in order."""
        lines = self.body.decode().split("\n")
        return [line[6:] for line in lines if line.startswith("data: ")]


class PlatformDeployment:
    """The platform and hosts of one scenario.

    Parameters
    ----------
    world : World
    """

    def __init__(self, world):
        self.world = world
        self.address = world.address
        self.endpoints = {}
        self.hosts = {}
        self.version = 0
        # Region of each data centre, as the platform's settings name it.
        self.regions = {}
        self.accounts = [{"name": "desk", "api_keys": ["desk-key"]}]
        self.accounts.append({"name": "other", "api_keys": ["other-key"]})
        self.routes = [self.make_route(*row) for row in ROUTES]
        self.services = ["llm"]
        # Further fields of each service in the configuration.
        self.service_fields = {}
        self.bounds = {}
        self.limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        self.faults = world.folder / "faults"
        self.faults.mkdir()
        self.store_address = f"{self.address}:{world.take_port()}"
        self._start("store", "store", self.store_address)

    def make_route(self, name, kind, attempts, resumes, **changes):
        """Return a route as operators write it."""
        route = {
            "name": name,
            "host": HOST_NAME,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 5000,
            "slo_ms": 300,
            "gap_aim_ms": 250,
            "priority": 0,
            "service": "llm",
            "max_attempts": attempts,
            "public": False,
            "can_resume": resumes,
        }
        if kind == "batch":
            route.update(due_ms=18000, max_wait_s=60, max_count=1_000_000)
        return {**route, **changes}

    def _start(self, name, module, *arguments):
        process = StandIn(name, f"{PACKAGE}.{module}", arguments, self.world.folder)
        self.world.processes[name] = process
        return process.start()

    def start_endpoint(self, name, slots=8, **changes):
        """Start an endpoint and write its entry."""
        address = f"{self.address}:{self.world.take_port()}"
        self._start(name, "endpoint", address, name, str(slots), str(self.faults))
        self.endpoints[name] = address
        self.write_entry(name, slots=slots, **changes)

    def start_pausable(self, name, notices, slots=8, service="llm"):
        """Start an endpoint that can be stopped; return its journal's path."""
        address = f"{self.address}:{self.world.take_port()}"
        journal = self.world.folder / f"{name}.runs"
        self._start(name, "pausable", address, name, str(slots), notices, journal)
        self.endpoints[name] = address
        self.write_entry(name, slots=slots, service=service)
        return journal

    def start_told(self, name, framing, begins, slots=8):
        """Start an endpoint that sends a part of each answer; return its journal."""
        address = f"{self.address}:{self.world.take_port()}"
        journal = self.world.folder / f"{name}.runs"
        self._start(name, "told", address, name, str(slots), journal, framing, begins)
        self.endpoints[name] = address
        self.write_entry(name, slots=slots)
        return journal

    def start_unframed(self, name, event_seconds, slots=8):
        """Start an endpoint whose answers have no length; return its journal."""
        address = f"{self.address}:{self.world.take_port()}"
        journal = self.world.folder / f"{name}.runs"
        arguments = (address, name, str(slots), journal, "keeps", event_seconds)
        self._start(name, "unframed", *arguments)
        self.endpoints[name] = address
        self.write_entry(name, slots=slots, born=int(time.time() * 1000))
        return journal

    def restart_endpoint(self, name, *crashing):
        """Start an endpoint that has crashed; a word names what crashes it again."""
        process = self.world.processes[name]
        process.wait()
        process.arguments = [*process.arguments[:ENDPOINT_ARGUMENTS], *crashing]
        process.start()

    def add_faults(self, fault, count):
        """Let the next requests, at whichever endpoint, meet a fault."""
        first = len(list(self.faults.iterdir()))
        for number in range(first, first + count):
            (self.faults / f"{number:03d}-{fault}").touch()

    def write_entry(self, name, **changes):
        """Write an endpoint's entry, as it would itself."""
        entry = {
            "service": "llm",
            "address": self.endpoints[name],
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "seq": 1,
        }
        self.put(f"servers/{name}", {**entry, **changes})

    def put(self, key, value):
        """Write an item of the platform's or of its operators."""
        text = value if isinstance(value, str) else orjson.dumps(value).decode()
        return self.control("store", put={key: text})

    def write_configuration(self):
        """Put the routes and accounts in force."""
        self.version += 1
        fields = {"health_path": "/health", **self.service_fields}
        services = [{"name": n, **fields} for n in self.services]
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": services,
            "tenants": self.accounts,
            "limits": self.limits,
        }
        self.put("op/config", value)

    def start_host(
        self, name, role="entry", ready=True, store="", stop_seconds=4, zone="a"
    ):
        """Start a host from its build's own template.

        `self.bounds` are further values of the template.
        """
        ports = [self.world.take_port() for _ in range(4)]
        values = {
            "node_name": name,
            "zone": zone,
            "ip": self.address,
            "listen.front": f"{self.address}:{ports[0]}",
            "listen.ready": f"{self.address}:{ports[1]}",
            "port_range.0": str(ports[2]),
            "port_range.1": str(ports[2]),
            "bounds.grace_s": str(stop_seconds),
            "bounds.status_s": "120",
            "provider.address": store or self.store_address,
            "provider.value_bytes": "1048576",
        }
        build = self.world.build or ROOT
        text = (build / "deploy" / f"{role}.ini").read_text()
        text = render_regions(text, self.regions)
        text = render_template(text, {**values, **self.bounds})
        text = text.replace("[store]", f"metrics_port = {ports[3]}\n\n[store]")
        path = self.world.folder / f"{name}.ini"
        path.write_text(text)
        process = self.make_host(name, path)
        process.build = self.world.build
        self.world.processes[name] = process
        self.hosts[name] = ports
        process.start()
        if ready:
            self.wait_until_ready(name)
        return process

    def make_host(self, name, path):
        """Return the process of a host, not started."""
        return HostProcess(name, path, self.world.folder)

    def wait_until_acquainted(self):
        """Wait until each host knows all of them."""
        wait_until(self._are_acquainted, "the hosts know each other")

    def _are_acquainted(self):
        logs = [self.world.processes[name].read_log() for name in self.hosts]
        return all(f'"member": "{name}"' in log for name in self.hosts for log in logs)

    def wait_until_ready(self, name):
        wait_until(lambda: self.is_ready(name), f"{name} is ready")

    def is_ready(self, name):
        """Return whether a host says that it is ready; a runner, that it is up."""
        process = self.world.processes[name]
        assert process.is_running, f"{name} has ended: {process.read_log()}"
        entry = "callers_address" in process.settings.read_text()
        port, path = (1, "/readyz") if entry else (3, "/metrics")
        try:
            caller = Caller(self.address, self.hosts[name][port])
            return caller.request("GET", path).status == 200
        except OSError:
            return False

    def control(self, name, **changes):
        """Change what a stand-in does; return what it counts."""
        address = self.store_address if name == "store" else self.endpoints[name]
        port = int(address.rpartition(":")[2])
        return Caller(self.address, port).control(**changes)

    def replace_endpoint(self, name):
        """End an endpoint; another one, of another name, gets its address."""
        self.world.processes[name].kill()
        address = self.endpoints[name]
        self._start(f"{name}x", "endpoint", address, f"{name}x", "8", str(self.faults))
        self.world.processes[name] = self.world.processes[f"{name}x"]

    def read_metrics(self, name):
        """Return a host's metrics as text."""
        caller = Caller(self.address, self.hosts[name][3])
        return caller.request("GET", "/metrics").body.decode()

    def read_store(self):
        """Return all items of the store."""
        items = self.control("store")["items"]
        return {key: base64.b64decode(value) for key, value in items.items()}

    def list_arrivals(self):
        """Return what arrived at all endpoints."""
        return [
            {**row, "endpoint": name}
            for name in self.endpoints
            if self.world.processes[name].is_running
            for row in self.control(name)["arrivals"]
        ]

    def open_request(
        self,
        host,
        method,
        path,
        request_id="",
        key="desk-key",
        body=b"",
        version=11,
        **headers,
    ):
        """Send one request to a host, by HTTP/1.1 or 1.0; return its connection."""
        fields = {"Host": HOST_NAME, "X-Deadline-Ms": "5000"}
        if request_id:
            fields["X-Request-Id"] = request_id
        if key:
            fields["X-Api-Key"] = key
        fields.update({n.replace("_", "-"): str(v) for n, v in headers.items()})
        connection = http.client.HTTPConnection(
            self.address, self.hosts[host][0], timeout=TIMEOUT_SECONDS
        )
        connection._http_vsn = version
        connection._http_vsn_str = f"HTTP/{version // 10}.{version % 10}"
        connection.request(method, path, body=body or None, headers=fields)
        return connection

    def request(self, *arguments, **options):
        """Send one request; read the answer as far as it comes."""
        try:
            connection = self.open_request(*arguments, **options)
        except OSError:
            return PlatformAnswer(0, {}, b"", whole=False)
        try:
            return read_answer(connection)
        finally:
            connection.close()

    def open(self, host, path, request_id, tokens=10, **options):
        """Ask for a stream of so many events; return the connection."""
        question = make_question(tokens)
        return self.open_request(host, "POST", path, request_id, **question, **options)

    def ask(self, host, path, request_id, tokens=10, **options):
        """Ask for a stream of so many events."""
        question = make_question(tokens)
        return self.request(host, "POST", path, request_id, **question, **options)

    def submit(self, host, job_id, items, item_headers=(), **options):
        """Submit a job whose items are ``(id, path, tokens)``."""
        own = {"X-Model": "m", **dict(item_headers)}
        rows = [
            {
                "id": item_id,
                "path": path,
                "headers": {"X-Token-Count": f"50,{tokens}", **own},
                "body": base64.b64encode(f"body of {item_id}".encode()).decode(),
                "tokens": 50 + tokens,
            }
            for item_id, path, tokens in items
        ]
        return self.request(
            host,
            "POST",
            "/night/submit",
            job_id,
            body=orjson.dumps({"items": rows}),
            **options,
        )

    def read_job(self, host, job_id, after=0, wait_ms=0, **options):
        """Read a job's results from a position on."""
        return self.request(
            host,
            "GET",
            f"/api/lots/{job_id}?after={after}",
            X_Wait_Ms=wait_ms,
            **options,
        )

    def run_together(self, calls, width=16):
        """Make several calls at the same time; return their answers in order."""
        with ThreadPoolExecutor(width) as pool:
            futures = [pool.submit(call) for call in calls]
            return [future.result() for future in futures]


def render_regions(text, regions):
    """Return a template's text with its lines of data centres and their regions."""

    def render(match):
        rows = regions.items()
        return "".join(
            match[1].replace("{{@}}", name).replace("{{.}}", region)
            for name, region in rows
        )

    return re.sub(r"\{\{#zones\}\}(.*?)\{\{/zones\}\}", render, text, flags=re.DOTALL)


def render_template(text, values):
    """Fill in a template as the platform does: what has no value becomes nothing."""

    def render_section(match):
        return match[2] if match[1] in values else ""

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", render_section, text, flags=re.S)
    return re.sub(r"{{([\w.]+)}}", lambda match: values.get(match[1], ""), text)


def read_answer(connection):
    """Read an answer; one that breaks off is told as not whole."""
    try:
        response = connection.getresponse()
    except (http.client.HTTPException, OSError):
        return PlatformAnswer(0, {}, b"", whole=False)
    headers = {name.lower(): value for name, value in response.getheaders()}
    body, whole = b"", True
    try:
        body = response.read()
    except http.client.IncompleteRead as error:
        body, whole = error.partial, False
    except OSError:
        whole = False
    return PlatformAnswer(response.status, headers, body, whole)


def make_question(tokens):
    """Return the body and the headers of a request for so many events."""
    return {"body": b"question", "X_Token_Count": f"50,{tokens}", "X_Model": "m"}
