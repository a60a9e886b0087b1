"""Stand-in for the platform's store: ``python -m ...store ADDRESS``."""

import base64
import sys
from collections import Counter
from copy import deepcopy
from urllib.parse import parse_qs

import curio
import orjson
from attrs import define, field

from mangogauge.clock import SystemClock
from mangogauge.http import Headers, HTTPServer, ServerLimits
from mangogauge.store import Condition, Operation, Transaction
from mangogauge.store.keyspace import Keyspace

JSON = Headers([("Content-Type", "application/json")])
WATCH_SECONDS = 0.01
BODY_BYTES = 8_000_000
PAGE_ITEMS = 5
BLOCK_BYTES = 65_536
VALUE_BYTES = 1_048_576
TRANSACTION_ENTRIES = 32


@define
class StoreFaults:
    """What the store does wrong: status for all calls, lost and late writes, no end.

    Each answer takes `delay` seconds more.

    Watches that wait, or come, while it is stuck get no answer any more.
    """

    status = field(default=0)
    silent = field(default=False)
    lose_writes = field(default=0)
    deaf = field(default=False)
    stuck = field(default=False)
    endless = field(default=False)
    delay = field(default=0.0)


class StoreServer:
    """The store behind its port."""

    def __init__(self):
        self.keyspace = Keyspace(SystemClock())
        self.faults = StoreFaults()
        self.counts = Counter()
        self.compacted = 0
        # What reads see that a copy may answer; None for the newest state.
        self.copy = None
        self.server = HTTPServer(self.handle, ServerLimits(body_bytes=BODY_BYTES))
        self._handlers = {
            "kv-key": self._get,
            "kv-range": self._list,
            "kv-watch": self._watch,
            "kv-txn": self._transact,
            "kv-lease": self._grant,
            "kv-keep": self._renew,
            "kv-lease-end": self._end,
        }

    async def handle(self, exchange):
        """Serve one call."""
        if exchange.path == "/control":
            await self._control(exchange)
            return
        name, _, argument = exchange.path.removeprefix("/api/").partition("/")
        self.counts[name] += 1
        if self.faults.silent:
            await curio.sleep(3600)
        if self.faults.endless:
            await send_without_end(exchange)
        if self.faults.status:
            await send(exchange, self.faults.status, {"error": "away"})
            return
        if self.faults.delay:
            await curio.sleep(self.faults.delay)
        query = {k: v[0] for k, v in parse_qs(exchange.query).items()}
        data = await exchange.read_body()
        body = orjson.loads(data) if data else {}
        status, value = await self._handlers[name](argument, query, body)
        if exchange.method == "POST" and self.faults.lose_writes:
            self.faults.lose_writes -= 1
            raise ConnectionAbortedError("the answer is lost")
        await send(exchange, status, value)

    async def _control(self, exchange):
        order = orjson.loads(await exchange.read_body() or b"{}")
        if order.pop("compact", False):
            self.compacted = self.keyspace.revision
        if order.pop("freeze_copy", False):
            self.copy = deepcopy(self.keyspace)
        if order.pop("lapse", False):
            self.keyspace.expire_leases(everything=True)
        for key, text in order.pop("put", {}).items():
            operation = Operation(key, text.encode())
            self.keyspace.transact(Transaction((), (operation,)))
        for key in order.pop("delete", ()):
            self.keyspace.transact(Transaction((), (Operation(key),)))
        for name, value in order.items():
            setattr(self.faults, name, value)
        items = self.keyspace.get_range("", "\x7f")
        keys = {item.key: base64.b64encode(item.value).decode() for item in items}
        await send(exchange, 200, {"counts": self.counts, "items": keys})

    def _choose_keyspace(self, query):
        """Return the state that a read sees: an old one if it may be a copy."""
        self.counts["copies"] += "serializable" in query
        return self.copy if "serializable" in query and self.copy else self.keyspace

    async def _get(self, argument, query, body):
        item = self._choose_keyspace(query).get(query["key"])
        if item is None:
            return 404, {}
        return 200, {**encode(item), "as_of": self.keyspace.revision}

    async def _list(self, argument, query, body):
        prefix = query["prefix"]
        start = query["after"] + "\0" if "after" in query else prefix
        keyspace = self._choose_keyspace(query)
        found = keyspace.get_range(start, end_of(prefix), PAGE_ITEMS + 1)
        page = [encode(item) for item in found[:PAGE_ITEMS]]
        truncated = len(found) > PAGE_ITEMS
        revision = self.keyspace.revision
        return 200, {"items": page, "truncated": truncated, "as_of": revision}

    async def _watch(self, argument, query, body):
        after = int(query["after"])
        clock = SystemClock()
        until = clock.read_elapsed() + int(query["wait_ms"]) / 1000
        while True:
            if self.faults.stuck:
                await curio.sleep(3600)
            if after < self.compacted:
                return 410, {}
            self.keyspace.expire_leases()
            prefix = query["prefix"]
            events = self.keyspace.read_history(prefix, end_of(prefix), after + 1)
            if self.faults.deaf:
                events = []
            if events or clock.read_elapsed() >= until:
                rows = [encode_event(event) for event in events]
                return 200, {"events": rows, "as_of": self.keyspace.revision}
            await curio.sleep(WATCH_SECONDS)

    async def _transact(self, argument, query, body):
        conditions = [Condition(row["key"], row["rev"]) for row in body["expect"]]
        puts = [
            Operation(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
            for p in body["puts"]
        ]
        deletes = [Operation(key) for key in body.get("delete", [])]
        operations = puts + deletes
        if any(len(o.value) > VALUE_BYTES for o in puts) or (
            len(conditions) + len(operations) > TRANSACTION_ENTRIES
        ):
            self.counts["refused"] += 1
            return 400, {"error": "too large"}
        try:
            done = self.keyspace.transact(Transaction(conditions, operations))
        except KeyError:
            return 404, {}
        if done.succeeded:
            return 200, {"rev": done.revision}
        return 412, {"items": [encode(item) for item in done.current]}

    async def _grant(self, argument, query, body):
        lease = self.keyspace.grant_lease(body["ttl_ms"] / 1000)
        return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}

    async def _renew(self, argument, query, body):
        seconds = self.keyspace.renew_lease(int(argument))
        return (200, {"ttl_ms": int(seconds * 1000)}) if seconds else (404, {})

    async def _end(self, argument, query, body):
        return (200 if self.keyspace.revoke_lease(int(argument)) else 404), {}


async def send_without_end(exchange):
    """Send an answer's body until the caller closes."""
    await exchange.start_response(200, JSON)
    while True:
        await exchange.send_data(b" " * BLOCK_BYTES)


def encode(item):
    """Return an item as the store shows it."""
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "rev": item.mod_revision,
        "create_rev": item.create_revision,
        "lease": item.lease,
    }


def encode_event(event):
    """Return a change as the store shows it."""
    if event.value is None:
        return {"key": event.key, "rev": event.mod_revision, "tombstone": True}
    value = base64.b64encode(event.value).decode()
    return {"key": event.key, "value": value, "rev": event.mod_revision}


def end_of(prefix):
    """Return the least key after all that start with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


async def send(exchange, status, value):
    """Answer with a JSON body."""
    await exchange.respond(status, JSON, orjson.dumps(value))


def main(address):
    """Serve until killed."""
    store = StoreServer()
    host, _, port = address.rpartition(":")
    store.server.bind(host, int(port))
    print(orjson.dumps({"address": address}).decode(), flush=True)
    curio.run(store.server.serve)


if __name__ == "__main__":
    main(sys.argv[1])
