"""The store over HTTP: a subset of the etcd v3 JSON gateway."""

import base64

import curio
import orjson
from returns.result import Failure, Success

from ..clock import SystemClock
from ..http import (
    ClientPool,
    Headers,
    HTTPConnectError,
    HTTPError,
)
from .base import (
    KeyValue,
    Lease,
    Store,
    StoreLostAnswerError,
    StoreRefusedError,
    StoreUnavailableError,
    TransactionResult,
    WatchEvent,
)
from .limits import StoreLimits

__all__ = ["GatewayStore"]

DEFAULT_TIMEOUT = 2.0
LIMITS = StoreLimits()
# What a lost answer means: a read has no effect that could be unknown.
READ_ERRORS = {"/v3/kv/range": StoreUnavailableError}
# From this status on the gateway itself may not know: a proposal that timed out, as
# while the leader is paused, may be committed later.
FIRST_UNCERTAIN_STATUS = 500
JSON_HEADERS = Headers([("Content-Type", "application/json")])


class GatewayStore(Store):
    """Client of the platform's store.

    Parameters
    ----------
    addresses : list of str
        ``host:port`` of each of the platform's front ends; tried in turn.
    timeout : float, optional
        Seconds until a call counts as lost.
    clock : Clock, optional

    References
    ----------
    The etcd documentation, "gRPC gateway": keys and values in base64, 64-bit
    numbers as strings.
    """

    def __init__(self, addresses, timeout=DEFAULT_TIMEOUT, clock=None):
        self._addresses = list(addresses)
        self._timeout = timeout
        self._clock = clock or SystemClock()
        self._pool = ClientPool(connect_timeout=timeout)
        self.call_count = 0

    async def close(self):
        """Close idle connections."""
        await self._pool.close()

    async def get(self, key):
        """Return ``Success(KeyValue or None)``."""
        answer = await self._call("/v3/kv/range", {"key": _encode(key)})
        return answer.map(_read_first)

    async def list_prefix(
        self, prefix, limit=0, start_after="", keys_only=False, min_mod_revision=0
    ):
        """Return ``Success(list of KeyValue)`` in order of keys."""
        start = start_after + "\0" if start_after else prefix
        request = {
            "key": _encode(start),
            "range_end": _encode(_end_of_prefix(prefix)),
            "limit": str(limit),
            "keys_only": keys_only,
            "min_mod_revision": str(min_mod_revision),
        }
        answer = await self._call("/v3/kv/range", request)
        return answer.map(_read_all)

    async def transact(self, transaction):
        """Return ``Success(TransactionResult)``."""
        excess = LIMITS.find_excess(transaction)
        if excess is not None:
            return Failure(excess)
        request = {
            "compare": [_encode_condition(c) for c in transaction.conditions],
            "success": [_encode_operation(o) for o in transaction.operations],
        }
        answer = await self._call("/v3/kv/txn", request)
        return answer.map(_read_transaction)

    async def grant_lease(self, seconds):
        """Return ``Success(Lease)``."""
        asked = self._clock.read_elapsed()
        answer = await self._call("/v3/lease/grant", {"TTL": str(round(seconds))})
        return answer.map(
            lambda body: Lease(int(body["ID"]), float(body["TTL"]), asked + seconds)
        )

    async def renew_lease(self, lease):
        """Return ``Success(Lease)``, or a refusal if it has lapsed."""
        asked = self._clock.read_elapsed()
        request = {"ID": str(lease.lease_id)}
        answer = await self._call("/v3/lease/keepalive", request)
        return answer.bind(lambda body: _read_renewal(body, lease, asked))

    async def revoke_lease(self, lease):
        """Return ``Success(None)``."""
        answer = await self._call("/v3/lease/revoke", {"ID": str(lease.lease_id)})
        return answer.map(lambda body: None)

    async def watch(self, prefix, start_revision=0):
        """Yield changes under `prefix` from `start_revision` on."""
        request = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _encode(_end_of_prefix(prefix)),
                "start_revision": str(start_revision),
            }
        }
        response = await self._open_watch(orjson.dumps(request))
        try:
            buffer = b""
            async for piece in response.iterate():
                *lines, buffer = (buffer + piece).split(b"\n")
                for line in lines:
                    for event in _read_watch_line(line):
                        yield event
            raise StoreUnavailableError("The watch ended.", step="watch")
        except HTTPError as error:
            raise StoreUnavailableError(
                error.message, step="watch", peer=error.peer
            ) from error
        finally:
            await response.close()

    async def _open_watch(self, body):
        try:
            self.call_count += 1
            async with curio.timeout_after(self._timeout):
                response = await self._request("/v3/watch", body)
        except (HTTPError, curio.TaskTimeout) as error:
            raise StoreUnavailableError(
                f"No watch: {error!r}.", step="watch", peer=self._addresses[0]
            ) from error
        if response.status != 200:
            await response.close()
            raise StoreRefusedError("The watch was refused.", step="watch")
        return response

    async def _call(self, path, request):
        peer = self._addresses[0]
        self.call_count += 1
        try:
            async with curio.timeout_after(self._timeout):
                response = await self._request(path, orjson.dumps(request))
                body = await response.read()
        except HTTPConnectError as error:
            self._rotate()
            return Failure(StoreUnavailableError(error.message, step=path, peer=peer))
        except (HTTPError, curio.TaskTimeout) as error:
            self._rotate()
            lost = READ_ERRORS.get(path, StoreLostAnswerError)
            return Failure(lost(repr(error), step=path, peer=peer))
        if response.status != 200:
            message = f"Status {response.status}: {body[:200]!r}."
            error = _find_error(path, response.status)
            return Failure(error(message, step=path, peer=peer))
        return Success(orjson.loads(body))

    async def _request(self, path, body):
        return await self._pool.request(
            self._addresses[0], "POST", path, JSON_HEADERS, body
        )

    def _rotate(self):
        self._addresses.append(self._addresses.pop(0))


def _find_error(path, status):
    """Return the class of error that a status other than 200 stands for."""
    if status < FIRST_UNCERTAIN_STATUS:
        return StoreRefusedError
    return READ_ERRORS.get(path, StoreLostAnswerError)


def _encode(key):
    return base64.b64encode(key.encode()).decode("ascii")


def _end_of_prefix(prefix):
    # The least key after all that start with the prefix.
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _encode_condition(condition):
    return {
        "key": _encode(condition.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(condition.mod_revision),
    }


def _encode_operation(operation):
    if operation.value is None:
        return {"request_delete_range": {"key": _encode(operation.key)}}
    put = {
        "key": _encode(operation.key),
        "value": base64.b64encode(operation.value).decode("ascii"),
    }
    if operation.lease:
        put["lease"] = str(operation.lease)
    return {"request_put": put}


def _read_key_value(item):
    return KeyValue(
        key=base64.b64decode(item["key"]).decode(),
        value=base64.b64decode(item.get("value", "")),
        create_revision=int(item.get("create_revision", 0)),
        mod_revision=int(item.get("mod_revision", 0)),
        lease=int(item.get("lease", 0)),
    )


def _read_all(body):
    return [_read_key_value(item) for item in body.get("kvs", [])]


def _read_first(body):
    found = _read_all(body)
    return found[0] if found else None


def _read_transaction(body):
    return TransactionResult(
        succeeded=body.get("succeeded", False),
        revision=int(body["header"]["revision"]),
    )


def _read_renewal(body, lease, asked):
    seconds = float(body.get("result", {}).get("TTL", 0))
    if seconds <= 0:
        return Failure(StoreRefusedError("The lease has lapsed.", step="renew lease"))
    return Success(Lease(lease.lease_id, seconds, asked + seconds))


def _read_watch_line(line):
    if not line.strip():
        return
    result = orjson.loads(line).get("result", {})
    for event in result.get("events", []):
        item = _read_key_value(event["kv"])
        deleted = event.get("type") == "DELETE"
        yield WatchEvent(item.key, None if deleted else item.value, item.mod_revision)
