"""Stand-in for one of the platform's endpoints: ``python -m ...endpoint ...``.

It runs so many requests at once, in order of arrival, and answers each by a
stream of numbered events. All endpoints share a folder of files, each named after
a fault: who removes a file has that fault, once.
"""

import os
import sys

import curio
import orjson
from attrs import asdict, define, field

from mangogauge.clock import SystemClock
from mangogauge.http import Headers, HTTPServer, ServerLimits

BODY_BYTES = 8_000_000
EVENT_SECONDS = 0.01
# From the second event of an answer to a crash within it.
CRASH_SECONDS = 0.2
QUEUE = 24
# How long an endpoint with a fault sends nothing within an answer.
SILENCE_SECONDS = {"mute": 3600, "pause": 2}


@define(eq=False)
class Arrival:
    """What one request said, and what became of it."""

    request_id = field()
    target = field()
    account = field()
    patience = field()
    last_event = field()
    key = field()
    body = field()
    state = field(default="waiting")
    # Elapsed time of the machine.
    at = field(factory=SystemClock().read_elapsed)


class EndpointServer:
    """An endpoint behind its port."""

    def __init__(self, name, slots, folder):
        self.folder = folder
        self.name = name
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self.arrivals = []
        self.faults = {}
        self.event_seconds = EVENT_SECONDS
        # Bytes that each event has beside its name.
        self.padding = 0
        # By which answers it says that it is leaving, if it is.
        self.leaving = ""
        # The limit that its answers name, as written; empty if none.
        self.limit = ""
        # Elapsed times of the machine at which requests came, refused ones too.
        self.request_times = []
        self.clock = SystemClock()
        self.freed = curio.Condition()
        self.server = HTTPServer(self.handle, ServerLimits(body_bytes=BODY_BYTES))

    async def handle(self, exchange):
        """Serve one request."""
        if exchange.path == "/control":
            await self._control(exchange)
            return
        self.request_times.append(self.clock.read_elapsed())
        fields = exchange.headers
        body = await exchange.read_body()
        request_id = fields.get("x-request-id", "")
        expected = fields.get("x-expect-instance", self.name)
        if expected != self.name:
            await self._refuse(exchange, 421, request_id)
            return
        if self.leaving == "a refusal":
            await self._refuse(exchange, 503, request_id)
            return
        if not request_id or self.waiting >= QUEUE:
            await self._refuse(exchange, 503 if request_id else 400, request_id)
            return
        arrival = Arrival(
            request_id,
            exchange.target,
            fields.get("x-tenant", ""),
            fields.get("x-deadline-ms"),
            fields.get("last-event-id"),
            fields.get("x-api-key"),
            body.decode("latin-1"),
        )
        self.arrivals.append(arrival)
        await self._run(exchange, arrival)

    async def _run(self, exchange, arrival):
        self.waiting += 1
        try:
            async with self.freed:
                while self.running >= self.slots:
                    await self.freed.wait()
                self.running += 1
        finally:
            self.waiting -= 1
        arrival.state = "running"
        try:
            await self._answer(exchange, arrival)
            arrival.state = "done"
        except BaseException:
            arrival.state = "cut"
            raise
        finally:
            self.running -= 1
            async with self.freed:
                await self.freed.notify_all()

    async def _answer(self, exchange, arrival):
        parts = exchange.headers.get("x-prompt-prefix", "")
        fault = self._take_fault(arrival.request_id, parts)
        if self.leaving == "a failure":
            fault = "500"
        headers = self._make_headers(arrival.request_id)
        if fault in ("500", "422"):
            await exchange.respond(int(fault), headers, b"no")
            return
        if fault == "crash":
            os._exit(1)
        if fault == "lost":
            await curio.sleep(EVENT_SECONDS)
            raise ConnectionAbortedError("the answer is lost")
        if fault == "other":
            headers.set("X-Request-Id", "some-other-request")
        if fault == "unstamped":
            headers.remove("X-Server-Stamp")
        headers.add("Content-Type", "text/event-stream")
        if fault == "text":
            await exchange.respond(200, headers, b"out of memory\n\nat step 3\n\n")
            return
        await exchange.start_response(200, headers)
        count = int(exchange.headers.get("x-token-count", "1,10").split(",")[1])
        first = int(arrival.last_event or 0) + 1
        if fault == "restart":
            first = 1
        for number in range(first, count + 1):
            if fault == "cut" and number == first + 3:
                await exchange.send_data(b"id: %d\ndata: ha" % number)
                raise ConnectionAbortedError("broken off")
            if fault in SILENCE_SECONDS and number == first + 3:
                await curio.sleep(SILENCE_SECONDS[fault])
            await curio.sleep(self.event_seconds)
            text = f"{arrival.request_id}-{number}" + "x" * self.padding
            await exchange.send_data(f"id: {number}\ndata: {text}\n\n".encode())
            if fault == "crash within" and number > first:
                await curio.sleep(CRASH_SECONDS)
                os._exit(1)
        await exchange.finish()

    def _take_fault(self, request_id, parts):
        """Return the fault of a request of that id and prompt; empty for none."""
        for word, fault in self.faults.items():
            if word in request_id or word in parts:
                return fault
        for file in sorted(os.listdir(self.folder)):
            try:
                os.unlink(os.path.join(self.folder, file))
            except FileNotFoundError:
                continue
            return file.partition("-")[2]
        return ""

    def _make_headers(self, request_id):
        fields = [("X-Server-Stamp", f"stamp-{self.name}")]
        return self._tell([*fields, ("X-Request-Id", request_id)])

    def _tell(self, fields):
        """Return an answer's headers, which may say how the endpoint is."""
        said = [("Server-Leaving", "1")] if self.leaving else []
        said += [("Server-Limit", self.limit)] if self.limit else []
        return Headers([*fields, *said])

    async def _refuse(self, exchange, status, request_id):
        headers = self._tell([("X-Not-Run", "1"), ("X-Request-Id", request_id)])
        await exchange.respond(status, headers, b"")

    async def _control(self, exchange):
        order = orjson.loads(await exchange.read_body() or b"{}")
        self.faults.update(order.get("faults", {}))
        self.padding = order.get("padding", self.padding)
        self.event_seconds = order.get("event_seconds", self.event_seconds)
        self.leaving = order.get("leaving", self.leaving)
        self.limit = order.get("limit", self.limit)
        rows = [asdict(row) for row in self.arrivals]
        value = {
            "arrivals": rows,
            "request_times": self.request_times,
            "running": self.running,
            "waiting": self.waiting,
        }
        headers = Headers([("Content-Type", "application/json")])
        await exchange.respond(200, headers, orjson.dumps(value))


def main(address, name, slots, folder, crashing=""):
    """Serve until killed, or until a request for the word `crashing` comes."""
    endpoint = EndpointServer(name, int(slots), folder)
    if crashing:
        endpoint.faults[crashing] = "crash"
    host, _, port = address.rpartition(":")
    endpoint.server.bind(host, int(port))
    print(orjson.dumps({"address": address}).decode(), flush=True)
    curio.run(endpoint.server.serve)


if __name__ == "__main__":
    main(*sys.argv[1:])
