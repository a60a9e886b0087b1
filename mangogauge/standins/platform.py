"""Stand-in for the platform's store: a subset of the etcd v3 JSON gateway.

It can be told to go down, be slow, lose answers after a write took effect,
expire all leases, and cap calls; it counts calls by purpose.
"""

import base64
from collections import Counter

import curio
import orjson
from attrs import define, field, fields

from ..clock import SystemClock
from ..http import Headers, HTTPRequestError, HTTPServer, ServerLimits
from ..store.base import Condition, Operation, Transaction
from ..store.keyspace import Keyspace
from .answers import read_json, send_json

__all__ = ["PlatformFaults", "PlatformServer"]

WATCH_INTERVAL = 0.02
MEGABYTE = 1_048_576


@define
class PlatformFaults:
    """What the stand-in does wrong at present.

    Parameters
    ----------
    down : bool
        Close connections without an answer, before anything takes effect.
    delay : float
        Seconds to wait before each call.
    lose_answers : int
        How many further writes take effect but are not answered; -1 for all.
    lost_status : int
        Status by which these are answered all the same; 0 to close the connection.
    writes_per_second, reads_per_second : float
        Calls above these are refused; 0 for no cap.
    """

    down = field(default=False)
    delay = field(default=0.0)
    lose_answers = field(default=0)
    lost_status = field(default=0)
    writes_per_second = field(default=0.0)
    reads_per_second = field(default=0.0)


class PlatformServer:
    """The store behind an HTTP port.

    Parameters
    ----------
    clock : Clock, optional
    """

    def __init__(self, clock=None):
        self._clock = clock or SystemClock()
        self.keyspace = Keyspace(self._clock)
        self.faults = PlatformFaults()
        self.counts = Counter()
        self.bytes = Counter()
        self._recent = {"read": [], "write": []}
        self._handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._transact,
            "/v3/lease/grant": self._grant_lease,
            "/v3/lease/keepalive": self._renew_lease,
            "/v3/lease/revoke": self._revoke_lease,
            "/v3/watch": self._watch,
            "/control": self._control,
        }
        limits = ServerLimits(body_bytes=4 * MEGABYTE)
        self.server = HTTPServer(self.handle, limits)

    async def handle(self, exchange):
        """Serve one call."""
        handler = self._handlers.get(exchange.path)
        if handler is None:
            await send_json(exchange, 404, {"error": "not found"})
            return
        request = await read_json(exchange)
        if exchange.path != "/control":
            if self.faults.down:
                raise ConnectionAbortedError("The stand-in is down.")
            if self.faults.delay:
                await curio.sleep(self.faults.delay)
        await handler(exchange, request)

    async def _range(self, exchange, request):
        start = _decode(request["key"])
        if not await self._admit(exchange, "read", start):
            return
        if "range_end" in request:
            end = _decode(request["range_end"])
            limit = int(request.get("limit", 0))
            since = int(request.get("min_mod_revision", 0))
            items = self.keyspace.get_range(start, end, limit, since)
        else:
            item = self.keyspace.get(start)
            items = [item] if item else []
        keys_only = request.get("keys_only", False)
        kvs = [_encode_item(item, keys_only) for item in items]
        self.bytes["read"] += sum(len(item.value) for item in items)
        await send_json(exchange, 200, {"header": self._header(), "kvs": kvs})

    async def _transact(self, exchange, request):
        transaction = _read_transaction(request)
        purpose = transaction.operations[0].key if transaction.operations else ""
        if not await self._admit(exchange, "write", purpose):
            return
        for operation in transaction.operations:
            size = len(operation.value or b"")
            if size > MEGABYTE:
                await send_json(exchange, 400, {"error": "request is too large"})
                return
            self.bytes["write"] += size
        try:
            result = self.keyspace.transact(transaction)
        except KeyError as error:
            await send_json(exchange, 400, {"error": str(error)})
            return
        self._lose_answer()
        answer = {"header": self._header(), "succeeded": result.succeeded}
        await send_json(exchange, 200, answer)

    async def _grant_lease(self, exchange, request):
        if not await self._admit(exchange, "write", "lease/grant"):
            return
        seconds = int(request["TTL"])
        lease_id = self.keyspace.grant_lease(seconds)
        self._lose_answer()
        await send_json(exchange, 200, {"ID": str(lease_id), "TTL": str(seconds)})

    async def _renew_lease(self, exchange, request):
        if not await self._admit(exchange, "write", "lease/keepalive"):
            return
        seconds = self.keyspace.renew_lease(int(request["ID"]))
        self._lose_answer()
        result = {"ID": request["ID"], "TTL": str(seconds)}
        await send_json(exchange, 200, {"result": result})

    async def _revoke_lease(self, exchange, request):
        if not await self._admit(exchange, "write", "lease/revoke"):
            return
        found = self.keyspace.revoke_lease(int(request["ID"]))
        self._lose_answer()
        await send_json(exchange, 200 if found else 404, {"header": self._header()})

    async def _watch(self, exchange, request):
        create = request["create_request"]
        start, end = _decode(create["key"]), _decode(create["range_end"])
        if not await self._admit(exchange, "read", start):
            return
        following = int(create.get("start_revision", 0)) or self.keyspace.revision + 1
        headers = Headers(
            [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        )
        await exchange.start_response(200, headers)
        created = {"result": {"header": self._header(), "created": True}}
        await exchange.send_data(orjson.dumps(created) + b"\n")
        while not self.faults.down:
            self.keyspace.expire_leases()
            events = self.keyspace.read_history(start, end, following)
            following = self.keyspace.revision + 1
            if events:
                line = {"result": {"events": [_encode_event(e) for e in events]}}
                await exchange.send_data(orjson.dumps(line) + b"\n")
            await curio.sleep(WATCH_INTERVAL)
        raise ConnectionAbortedError("The stand-in is down.")

    async def _control(self, exchange, request):
        if request.pop("expire_leases", False):
            self.keyspace.expire_leases(everything=True)
        if request.pop("reset_counts", False):
            self.counts.clear()
            self.bytes.clear()
        known = {attribute.name for attribute in fields(PlatformFaults)}
        for name, value in request.items():
            if name not in known:
                await send_json(exchange, 400, {"error": f"unknown: {name}"})
                return
            setattr(self.faults, name, value)
        answer = {
            "counts": dict(self.counts),
            "bytes": dict(self.bytes),
            "revision": self.keyspace.revision,
        }
        await send_json(exchange, 200, answer)

    async def _admit(self, exchange, kind, key):
        purpose = "/".join(key.split("/")[:2])
        self.counts[kind] += 1
        self.counts[f"{kind}:{purpose}"] += 1
        cap = getattr(self.faults, f"{kind}s_per_second")
        now = self._clock.read_elapsed()
        recent = [t for t in self._recent[kind] if t > now - 1] if cap else []
        if cap and len(recent) >= cap:
            self.counts[f"{kind} refused"] += 1
            await send_json(exchange, 429, {"error": "too many requests"})
            return False
        self._recent[kind] = [*recent, now] if cap else []
        return True

    def _lose_answer(self):
        if self.faults.lose_answers:
            self.faults.lose_answers -= self.faults.lose_answers > 0
            if self.faults.lost_status:
                raise HTTPRequestError(self.faults.lost_status, "Request timed out.")
            raise ConnectionAbortedError("The answer is lost.")

    def _header(self):
        return {"revision": str(self.keyspace.revision)}


def _decode(text):
    return base64.b64decode(text).decode()


def _encode(data):
    return base64.b64encode(data).decode("ascii")


def _encode_item(item, keys_only=False):
    encoded = {
        "key": _encode(item.key.encode()),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease),
    }
    if not keys_only:
        encoded["value"] = _encode(item.value)
    return encoded


def _encode_event(event):
    item = {
        "key": _encode(event.key.encode()),
        "mod_revision": str(event.mod_revision),
    }
    if event.value is None:
        return {"type": "DELETE", "kv": item}
    item["value"] = _encode(event.value)
    return {"kv": item}


def _read_transaction(request):
    conditions = [
        Condition(_decode(c["key"]), int(c["mod_revision"]))
        for c in request.get("compare", [])
    ]
    return Transaction(conditions, map(_read_operation, request.get("success", [])))


def _read_operation(operation):
    if "request_delete_range" in operation:
        return Operation(_decode(operation["request_delete_range"]["key"]))
    put = operation["request_put"]
    value = base64.b64decode(put.get("value", ""))
    return Operation(_decode(put["key"]), value, int(put.get("lease", 0)))
