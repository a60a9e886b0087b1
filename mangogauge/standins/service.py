"""Stand-in for a plain service that takes bookings.

It counts every run of every call, so that a test can tell whether a call that
may not be repeated ran more than once.
"""

from collections import Counter

import curio
from attrs import define, field

from ..http import Headers, HTTPServer
from .answers import read_json, send_json

__all__ = ["Service", "ServiceOptions"]

FLOOD_HEADER = "x-flood-bytes"
FLOOD_PIECE_BYTES = 65_536


@define
class ServiceOptions:
    """What the service does at present.

    Parameters
    ----------
    delay : float
        Seconds a call takes.
    drop_answers : int
        How many further calls run but are not answered; -1 for all.
    error_status : int
        Refuse calls with this status without running them; 0 for none.
    hanging : bool
        Whether calls run, and are then not answered until told otherwise.
    """

    delay = field(default=0.0)
    drop_answers = field(default=0)
    error_status = field(default=0)
    hanging = field(default=False)


class Service:
    """A service behind an HTTP port."""

    def __init__(self):
        self.options = ServiceOptions()
        self.runs = Counter()
        self.seen_headers = set()
        self.flooded_bytes = 0
        self.server = HTTPServer(self.handle)

    async def handle(self, exchange):
        """Serve one call."""
        if exchange.path == "/control":
            await self._control(exchange)
            return
        if FLOOD_HEADER in exchange.headers:
            await self._flood(exchange, int(exchange.headers.get(FLOOD_HEADER)))
            return
        if exchange.path == "/load":
            await send_json(exchange, 200, {"running": 0, "waiting": 0, "slots": 64})
            return
        body = await exchange.read_body()
        if self.options.error_status:
            await send_json(exchange, self.options.error_status, {"error": "refused"})
            return
        reference = exchange.headers.get("x-reference", exchange.target)
        self.runs[f"{exchange.method} {reference}"] += 1
        self.seen_headers.update(name.lower() for name, _ in exchange.headers)
        if self.options.delay:
            await curio.sleep(self.options.delay)
        while self.options.hanging:
            await curio.sleep(0.02)
        if self.options.drop_answers:
            self.options.drop_answers -= self.options.drop_answers > 0
            raise ConnectionAbortedError("The answer is dropped.")
        headers = Headers([("Content-Type", "application/octet-stream")])
        headers.add("X-Target", exchange.target)
        headers.add("X-Method", exchange.method)
        await exchange.respond(200, headers, body or reference.encode())

    async def _flood(self, exchange, size):
        """Answer with `size` bytes as fast as they are taken."""
        headers = Headers([("Content-Length", str(size))])
        await exchange.start_response(200, headers)
        while size > 0:
            piece = bytes(min(size, FLOOD_PIECE_BYTES))
            await exchange.send_data(piece)
            self.flooded_bytes += len(piece)
            size -= len(piece)
        await exchange.finish()

    async def _control(self, exchange):
        for name, value in (await read_json(exchange)).items():
            setattr(self.options, name, value)
        answer = {
            "runs": dict(self.runs),
            "headers": sorted(self.seen_headers),
            "flooded_bytes": self.flooded_bytes,
        }
        await send_json(exchange, 200, answer)
