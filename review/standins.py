"""Stand-ins of the platform for the scripts of this folder.

One process holds the platform's store, the workers and the clients. The hosts are
processes of their own, started with the deploy file's command and templates, each on
a loopback address of its own, as machines are.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST_NAME = "desk.example"
FRONT_PORT, READY_PORT, REPORT_PORT, STORE_PORT, WORKER_PORT = (
    8689,
    8687,
    7360,
    8688,
    9000,
)
ZONES = ("brum-a", "notts-b")
# Hosts have heard of each other after this time.
ACQUAINTANCE_SECONDS = 4.0
# An entry goes after three heartbeat intervals of silence.
FORGOTTEN_SECONDS = 3.6
# Excuses of the rule LOST for items that aren't listed.
HAD_SECONDS = 5.0
FINISHED_SECONDS = 3.0
FAILED_SECONDS = 20.0
# A case may take 120 s.
LONGEST_SECONDS = 115.0
VALUE_BYTES = 1_048_576
TXN_ENTRIES = 32
PAGE_ITEMS = 500


class Record:
    """The lines of ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    @property
    def now(self):
        """Seconds since the record began."""
        return time.monotonic() - self._began

    def __call__(self, text):
        """Write one line."""
        line = f"{self.now:8.3f}  {text}"
        print(line, file=self._file, flush=True)


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP/1.1 message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rows = head[:-4].split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = b""
    return first, headers, body


def make_answer(status, headers, body=b""):
    """Return the bytes of an answer with a length."""
    rows = [f"HTTP/1.1 {status} -"]
    rows += [f"{name}: {value}" for name, value in headers.items()]
    rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections and handles one request after another on each."""

    async def listen(self, address, port):
        """Start to accept connections."""
        self.address = f"{address}:{port}"
        self._connections = set()
        self._server = await asyncio.start_server(
            self._serve, address, port, limit=1 << 24
        )

    async def crash(self):
        """Close the port and reset all connections."""
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await self._watch(reader, writer, method, target, headers, body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _watch(self, reader, writer, *request):
        await self.handle(writer, *request)


class Store(Server):
    """The platform's store."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.silent = False
        self.refused = 0
        self._next_lease = 1
        self._changed = asyncio.Event()

    async def pause(self, seconds):
        """Answer nothing and do nothing for a while; leases pause."""
        self.silent = True
        await asyncio.sleep(seconds)
        for lease in self.leases.values():
            lease["until"] += seconds
        self.silent = False

    def put(self, key, value):
        """Write an item, as the operator or a worker does."""
        self._apply(key, json.dumps(value).encode(), 0)

    def delete(self, key):
        """Remove an item."""
        self._apply(key, None, 0)

    async def handle(self, writer, method, target, headers, body):
        """Answer one call."""
        if self.silent:
            # Nothing is done, and the connection returns nothing further.
            await asyncio.sleep(3600)
        parts = urlsplit(target)
        query = {name: row[0] for name, row in parse_qs(parts.query).items()}
        name, _, argument = parts.path.removeprefix("/api/").partition("/")
        self._expire()
        handler = getattr(self, "_" + name.replace("-", "_"))
        status, value = await handler(query, argument, json.loads(body or b"{}"))
        if self.silent:
            await asyncio.sleep(3600)
        fields = {"Content-Type": "application/json"}
        writer.write(make_answer(status, fields, json.dumps(value).encode()))
        await writer.drain()

    def _expire(self):
        now = time.monotonic()
        if not self.silent:
            for lease in [n for n, row in self.leases.items() if row["until"] <= now]:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, row in self.items.items() if row["lease"] == lease]:
            self._apply(key, None, 0)

    def _apply(self, key, value, lease):
        self.revision += 1
        if value is None:
            if self.items.pop(key, None) is None:
                return
            row = {"key": key, "rev": self.revision, "tombstone": True}
        else:
            created = self.items.get(key, {"create_rev": self.revision})["create_rev"]
            row = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "rev": self.revision,
                "create_rev": created,
                "lease": lease,
            }
            self.items[key] = row
        self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _kv_key(self, query, argument, body):
        item = self.items.get(query["key"])
        return (200, {**item, "as_of": self.revision}) if item else (404, {})

    async def _kv_range(self, query, argument, body):
        after = query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(query["prefix"]) and k > after
        )
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > VALUE_BYTES:
                break
            page.append(self.items[key])
        truncated = len(page) < len(keys)
        return 200, {"items": page, "truncated": truncated, "as_of": self.revision}

    async def _kv_watch(self, query, argument, body):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            self._expire()
            events = [
                row
                for row in self.history
                if row["rev"] > after and row["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.2))
            except TimeoutError:
                pass

    async def _kv_txn(self, query, argument, body):
        puts, deletes = body.get("puts", []), body.get("delete", [])
        expect = body.get("expect", [])
        values = [base64.b64decode(row["value"]) for row in puts]
        if any(len(value) > VALUE_BYTES for value in values):
            self.refused += 1
            return 400, {"error": "a value is over value_bytes"}
        if len(puts) + len(deletes) + len(expect) > TXN_ENTRIES * 2:
            return 400, {"error": "too many entries"}
        for row in expect:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                found = [self.items[e["key"]] for e in expect if e["key"] in self.items]
                return 412, {"items": found}
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        for row, value in zip(puts, values, strict=True):
            self._apply(row["key"], value, row.get("lease", 0))
        for key in deletes:
            self._apply(key, None, 0)
        return 200, {"rev": self.revision}

    async def _kv_lease(self, query, argument, body):
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        seconds = body["ttl_ms"] / 1000
        self.leases[lease] = {"seconds": seconds, "until": time.monotonic() + seconds}
        return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}

    async def _kv_keep(self, query, argument, body):
        row = self.leases.get(int(argument))
        if row is None:
            return 404, {}
        row["until"] = time.monotonic() + row["seconds"]
        return 200, {"ttl_ms": int(row["seconds"] * 1000)}

    async def _kv_lease_end(self, query, argument, body):
        self._end(int(argument))
        return 200, {}


class Worker(Server):
    """A model server that streams numbered events.

    Parameters
    ----------
    name : str
    record : Record
    slots : int, optional
    event_seconds : float, optional
    event_bytes : int, optional
        Size of the data of one event.
    """

    def __init__(self, name, record, slots=8, event_seconds=0.02, event_bytes=65):
        self.name = name
        self.record = record
        self.slots = slots
        self.event_seconds = event_seconds
        self.event_bytes = event_bytes
        self.running = {}
        # When runs have ended, by request, and when one was last finished.
        self.ended = {}
        self.finished_at = float("-inf")
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self._room = asyncio.Semaphore(slots)

    async def handle(self, writer, method, target, headers, body):
        """Run one request once a slot is free."""
        request_id = headers.get("x-request-id", "")
        fields = {"X-Request-Id": request_id}
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(make_answer(421, {**fields, "X-Not-Run": "1"}))
            return
        if not request_id:
            writer.write(make_answer(400, {"X-Not-Run": "1"}))
            return
        async with self._room:
            self.running[request_id] = headers
            self.record(f"{self.name} runs {request_id}")
            try:
                await self.answer(writer, headers, fields)
                self.finished_at = self.record.now
                self.record(f"{self.name} has finished {request_id}")
            finally:
                self.running.pop(request_id, None)
                self.ended[request_id] = self.record.now

    def make_data(self, request_id, number):
        """Return the data of one event."""
        return make_event_data(request_id, number, self.event_bytes)

    async def answer(self, writer, headers, fields):
        """Answer one request by a stream of events."""
        request_id = headers["x-request-id"]
        fields["X-Server-Stamp"] = f"stamp.{self.name}"
        fields["Content-Type"] = "text/event-stream"
        rows = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *rows, "Transfer-Encoding: chunked"])
        writer.write(head.encode() + b"\r\n\r\n")
        count = int(headers["x-token-count"].split(",")[1])
        for number in range(int(headers.get("last-event-id", 0)) + 1, count + 1):
            await asyncio.sleep(self.event_seconds)
            data = self.make_data(request_id, number)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def make_event_data(request_id, number, size):
    """Return the data of one event of a request."""
    return f"{request_id}-{number}-".ljust(size, "x")


class Fleet:
    """Hosts, workers and the store of one script.

    Parameters
    ----------
    record : Record
    """

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp())
        number = random.SystemRandom().randrange(1, 60_000)
        self._network = f"127.{1 + number // 250}.{number % 250}"
        self._machines = 0
        self.processes = {}
        self.fronts = {}
        self.workers = {}
        self.store = Store()
        self.version = 0
        self.tenants = [{"name": "tenant-a", "api_keys": ["key-a"], "priority": 1}]
        self.routes = [make_route("ask", "stream"), make_route("night", "batch")]

    def take_address(self):
        """Return the loopback address of one more machine."""
        self._machines += 1
        return f"{self._network}.{self._machines}"

    async def start_store(self):
        """Start the store and write the first configuration."""
        await self.store.listen(self.take_address(), STORE_PORT)
        self.write_configuration()

    def write_configuration(self):
        """Put the routes and tenants in force."""
        self.version += 1
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": "llm", "health_path": "/health", "max_conns": 300},
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": self.tenants,
        }
        self.store.put("op/config", value)

    async def start_worker(self, worker, zone="brum-a"):
        """Start a worker and register it."""
        self.workers[worker.name] = worker
        await worker.listen(self.take_address(), WORKER_PORT)
        self.write_entry(worker, zone)

    def write_entry(self, worker, zone="brum-a"):
        """Write a worker's entry, as it does itself."""
        entry = {
            "service": "llm",
            "address": worker.address,
            "zone": zone,
            "version": worker.version,
            "slots": worker.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": worker.born,
        }
        self.store.put(f"servers/{worker.name}", entry)

    def start_host(self, name, template, zone="brum-a"):
        """Start one machine's process as the deploy file says."""
        address = self.take_address()
        values = {
            "node_name": name,
            "zone": zone,
            "ip": address,
            "listen.front": f"{address}:{FRONT_PORT}",
            "listen.ready": f"{address}:{READY_PORT}",
            "port_range.0": str(REPORT_PORT),
            "port_range.1": str(REPORT_PORT + 15),
            "bounds.grace_s": "8",
            "bounds.status_s": "120",
            "provider.address": self.store.address,
            "provider.value_bytes": str(VALUE_BYTES),
        }
        text = (ROOT / "deploy" / template).read_text()
        for placeholder, value in values.items():
            text = text.replace("{{" + placeholder + "}}", value)
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MANGOGAUGE_SETTINGS"] = str(path)
        log = open(self.folder / f"{name}.log", "wb")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            ["python3", "-m", "mangogauge.platform"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        if template == "entry.ini":
            self.fronts[name] = address

    def read_log(self, name):
        """Return what a host has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def start_hosts(self):
        """Start two entry hosts and two runners; wait until they know each other."""
        for number, zone in enumerate(ZONES):
            self.start_host(f"front-{number}", "entry.ini", zone)
            self.start_host(f"store-{number}", "runner.ini", zone)
        await self.wait_until_ready()
        await asyncio.sleep(ACQUAINTANCE_SECONDS)

    async def wait_until_ready(self):
        """Wait until all entry hosts are ready."""
        for name, address in self.fronts.items():
            for _ in range(300):
                answer = await call(address, "GET", "/readyz", {}, port=READY_PORT)
                if answer.status == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise RuntimeError(f"{name} is not ready")

    def end(self):
        """End all processes of this script."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name, kind, **changes):
    """Return a route as the operator writes it."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "slo_ms": 300,
        "priority": 0,
        "service": "llm",
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "can_resume": False,
        "gap_aim_ms": 300,
    }
    if kind == "batch":
        route.update(
            timeout_ms=15000,
            slo_ms=400,
            priority=2,
            max_attempts=3,
            due_ms=18000,
            max_wait_s=60,
            max_count=1_400_000,
            can_resume=True,
        )
    return {**route, **changes}


class Answer:
    """What a client got: status 0 if nothing came."""

    def __init__(self, status=0, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body


async def call(address, method, target, headers, body=b"", port=FRONT_PORT, wait=6.0):
    """Make one call on a new connection; return the `Answer`."""
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(address, port, limit=1 << 24)
            try:
                fields = {"Host": HOST_NAME, **headers, "Content-Length": len(body)}
                rows = [f"{method} {target} HTTP/1.1"]
                rows += [f"{name}: {value}" for name, value in fields.items()]
                writer.write("\r\n".join(rows).encode() + b"\r\n\r\n" + body)
                first, received, data = await read_message(reader)
                return Answer(int(first.split(" ")[1]), received, data)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return Answer()


async def submit(address, job_id, items, key="key-a", prompts=None):
    """Submit a batch job; return the `Answer`.

    Parameters
    ----------
    address, job_id : str
    items : list of (str, int)
        Id and number of events of each item.
    key : str, optional
    prompts : dict of str to str, optional
        Parts of the prompts, by item.
    """
    rows = [
        {
            "id": item_id,
            "path": f"/night/{item_id}",
            "headers": {
                "X-Model": "m",
                "X-Token-Count": f"250,{events}",
                "X-Prompt-Prefix": (prompts or {}).get(item_id, f"{item_id}:250"),
            },
            "body": base64.b64encode(item_id.encode()).decode(),
            "tokens": 250 + events,
        }
        for item_id, events in items
    ]
    headers = {"X-Api-Key": key, "X-Request-Id": job_id, "X-Deadline-Ms": "4000"}
    body = json.dumps({"items": rows}).encode()
    return await call(address, "POST", "/night/0", headers, body)


async def read_results(address, job_id, key="key-a"):
    """Return all results of a job that are listed, and the last status."""
    results = []
    while True:
        target = f"/api/lots/{job_id}?after={len(results)}"
        answer = await call(address, "GET", target, {"X-Api-Key": key})
        if answer.status != 200:
            return results, answer.status
        value = json.loads(answer.body)
        if not value["results"]:
            return results, 200
        results += value["results"]


class Case:
    """One play of a case; its classes say what is played and judged.

    Parameters
    ----------
    record : Record
    trouble : bool
        Whether there is the disruption.
    """

    def __init__(self, record, trouble):
        self.record = record
        self.trouble = trouble
        self.fleet = Fleet(record)
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a task beside the others."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def play(self):
        """Play the case; return the exit status."""
        raise NotImplementedError

    def list_left_lying(self, items, listed, failed=()):
        """Return the items that are left lying, as the rule LOST says it.

        Parameters
        ----------
        items : iterable of str
            Of an open batch job, when `finish_s` is over.
        listed : collection of str
        failed : iterable of (float, str), optional
            When which item has failed at a worker.

        Notes
        -----
        None is, if a worker had an unlisted one in the last 5 s, if a worker was half
        full, or if an item of any batch job was finished in the last 3 s. Those that
        failed in the last 20 s don't count.
        """
        now = self.record.now
        missing = [item for item in items if item not in listed]
        for worker in self.fleet.workers.values():
            had = [
                i
                for i in missing
                if now - worker.ended.get(i, -HAD_SECONDS) < HAD_SECONDS
            ]
            is_busy = any(item in worker.running for item in missing)
            is_half_full = len(worker.running) >= worker.slots / 2
            has_finished = now - worker.finished_at < FINISHED_SECONDS
            if had or is_busy or is_half_full or has_finished:
                return []
        lately = {item for at, item in failed if now - at < FAILED_SECONDS}
        return [item for item in missing if item not in lately]

    async def run(self):
        """Play the case, and end all processes; return the exit status."""
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(LONGEST_SECONDS):
                return await self.play()
        finally:
            self.fleet.end()

    @classmethod
    def main(cls, folder):
        """Play the case with its record in a folder, and exit.

        The program's argument is 0 to play without the disruption.
        """
        record = Record(folder / "record.txt")
        trouble = sys.argv[1:] != ["0"]
        record(f"with the disruption: {trouble}")
        try:
            status = asyncio.run(cls(record, trouble).run())
        except (Exception, asyncio.CancelledError) as error:
            record(f"could not run: {error!r}")
            status = 2
        record(f"exit {status}")
        sys.exit(status)
