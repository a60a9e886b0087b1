"""Client of the platform's key-value store."""

import base64
from urllib.parse import urlencode

import curio
import orjson
from attrs import field, frozen
from returns.result import Failure, Success

from ..clock import SystemClock
from ..http import HTTPConnectError, HTTPError
from ..store import (
    ChangeFeed,
    Changes,
    KeyValue,
    Lease,
    Snapshot,
    Store,
    StoreCompactedError,
    StoreLimits,
    StoreLostAnswerError,
    StoreRefusedError,
    StoreUnavailableError,
    TransactionResult,
    WatchEvent,
)

__all__ = ["TRANSACTION_ENTRIES", "PlatformStore"]

DEFAULT_TIMEOUT = 1.2
# Conditions and operations of one transaction.
TRANSACTION_ENTRIES = 32
# Part of a lease that one renewal may take, so that another can follow in time.
RENEWAL_SHARE = 0.35
# Nothing was done: the store is too busy, or away.
UNAVAILABLE_STATUSES = frozenset({429, 503})
OK, NOT_FOUND, GONE, CONDITION_FAILED = 200, 404, 410, 412
READ = "GET"
# A read that the store may answer from a copy costs a tenth.
FROM_COPY = {"serializable": 1}


class PlatformStore(Store, ChangeFeed):
    """Client of the store.

    Parameters
    ----------
    transport : StoreTransport
    timeout : float, optional
        Seconds until a call counts as lost.
    clock : Clock, optional
    on_call : callable, optional
        Called with the path and the status of each call; 0 where none came.
    limits : StoreLimits, optional
        A transaction beyond them is refused without a call.
    """

    def __init__(
        self,
        transport,
        timeout=DEFAULT_TIMEOUT,
        clock=None,
        on_call=None,
        limits=None,
    ):
        self._transport = transport
        self._timeout = timeout
        self._clock = clock or SystemClock()
        self._on_call = on_call or (lambda path, status: None)
        self._limits = limits or StoreLimits(entries=TRANSACTION_ENTRIES)

    async def close(self):
        """Close idle connections."""
        await self._transport.close()

    async def get(self, key):
        """Return ``Success(KeyValue or None)``."""
        return await self._get({"key": key})

    async def get_constant(self, key):
        """Return ``Success(KeyValue or None)`` of a key that is written only once."""
        found = await self._get({"key": key, **FROM_COPY})
        if isinstance(found, Failure) or found.unwrap() is not None:
            return found
        return await self.get(key)

    async def _get(self, parameters):
        query = urlencode(parameters)
        answer = await self._call(READ, f"/api/kv-key?{query}", {OK, NOT_FOUND})
        return answer.map(
            lambda a: None if a.status == NOT_FOUND else _read_item(a.body)
        )

    async def list_prefix(
        self, prefix, limit=0, start_after="", keys_only=False, min_mod_revision=0
    ):
        """Return ``Success(list of KeyValue)`` in order of keys."""
        answer = await self.read_snapshot(prefix, start_after)
        items = answer.map(
            lambda s: [i for i in s.items if i.mod_revision >= min_mod_revision]
        )
        return items.map(lambda found: found[:limit] if limit else found)

    async def read_snapshot(self, prefix, start_after=""):
        """Return ``Success(Snapshot)``."""
        return await self._read_pages({"prefix": prefix}, start_after)

    async def read_copy(self, prefix, start_after=""):
        """Return ``Success(Snapshot)`` that may be seconds old."""
        return await self._read_pages({"prefix": prefix, **FROM_COPY}, start_after)

    async def _read_pages(self, parameters, start_after):
        items, revision, pages = [], None, 0
        while True:
            query = dict(parameters)
            if start_after:
                query["after"] = start_after
            answer = await self._call(READ, f"/api/kv-range?{urlencode(query)}", {OK})
            if isinstance(answer, Failure):
                return answer
            body = answer.unwrap().body
            # Pages are of different moments: all that changed after the first
            # has to be read from the history.
            revision = body["as_of"] if revision is None else revision
            items += [_read_item(item) for item in body["items"]]
            pages += 1
            if not body["truncated"]:
                return Success(Snapshot(items, revision, pages))
            start_after = items[-1].key

    async def read_changes(self, prefix, revision, wait_seconds):
        """Return ``Success(Changes)`` that followed `revision`."""
        query = {
            "prefix": prefix,
            "after": revision,
            "wait_ms": int(wait_seconds * 1000),
        }
        answer = await self._call(
            READ,
            f"/api/kv-watch?{urlencode(query)}",
            {OK, GONE},
            timeout=self._timeout + wait_seconds,
        )
        return answer.bind(_read_changes)

    async def transact(self, transaction):
        """Return ``Success(TransactionResult)``."""
        excess = self._limits.find_excess(transaction)
        if excess is not None:
            return Failure(excess)
        operations = transaction.operations
        body = {
            "expect": [
                {"key": c.key, "rev": c.mod_revision} for c in transaction.conditions
            ],
            "puts": [_encode_put(o) for o in operations if o.value is not None],
            "delete": [o.key for o in operations if o.value is None],
        }
        answer = await self._call(
            "POST", "/api/kv-txn", {OK, CONDITION_FAILED, NOT_FOUND}, body
        )
        return answer.bind(_read_transaction)

    async def grant_lease(self, seconds):
        """Return ``Success(Lease)``."""
        asked = self._clock.read_elapsed()
        body = {"ttl_ms": int(seconds * 1000)}
        answer = await self._call("POST", "/api/kv-lease", {OK}, body)
        return answer.map(lambda a: _make_lease(a.body["lease"], a.body, asked))

    async def renew_lease(self, lease):
        """Return ``Success(Lease)``, or a refusal if it has lapsed."""
        asked = self._clock.read_elapsed()
        path = f"/api/kv-keep/{lease.lease_id}"
        seconds = lease.seconds * RENEWAL_SHARE
        answer = await self._call("POST", path, {OK, NOT_FOUND}, timeout=seconds)
        return answer.bind(lambda a: _read_renewal(a, lease, asked))

    async def revoke_lease(self, lease):
        """Return ``Success(None)``; keys that hang on the lease are deleted."""
        path = f"/api/kv-lease-end/{lease.lease_id}"
        answer = await self._call("DELETE", path, {OK, NOT_FOUND})
        return answer.map(lambda a: None)

    def watch(self, prefix, start_revision=0):
        """Return an asynchronous iterator of `WatchEvent`."""
        return self._watch(prefix, start_revision)

    async def _watch(self, prefix, start_revision):
        revision = start_revision - 1
        while True:
            answer = await self.read_changes(prefix, revision, self._timeout)
            if isinstance(answer, Failure):
                raise answer.failure()
            for event in answer.unwrap().events:
                yield event
            revision = answer.unwrap().revision

    async def _call(self, method, path, expected, body=None, timeout=None):
        """Return ``Success(_Answer)`` with one of the `expected` statuses."""
        step = _name_call(path)
        data = b"" if body is None else orjson.dumps(body)
        try:
            response = await self._transport.request(
                method, path, data, timeout or self._timeout
            )
        except HTTPConnectError as error:
            self._on_call(step, 0)
            return self._fail(StoreUnavailableError, error.message, step)
        except (HTTPError, curio.TaskTimeout) as error:
            self._on_call(step, 0)
            # A read has no effect that could be unknown.
            lost = StoreUnavailableError if method == READ else StoreLostAnswerError
            return self._fail(lost, repr(error), step)
        status, read = response.status, response.body
        self._on_call(step, status)
        if status in expected:
            return self._decode(method, status, read, step)
        message = f"status {status}: {read[:200]!r}"
        if status in UNAVAILABLE_STATUSES or method == READ:
            return self._fail(StoreUnavailableError, message, step)
        if status >= 500:
            return self._fail(StoreLostAnswerError, message, step)
        return self._fail(StoreRefusedError, message, step)

    def _decode(self, method, status, read, step):
        """Return the `_Answer` of a body, or a failure if it can't be read."""
        try:
            body = orjson.loads(read) if read else {}
        except ValueError as error:
            message = f"The answer can't be read: {error}."
            unread = StoreUnavailableError if method == READ else StoreLostAnswerError
            return self._fail(unread, message, step)
        return Success(_Answer(status, body))

    def _fail(self, error, message, step):
        return Failure(error(message, step=step, peer="store"))


@frozen
class _Answer:
    """Status and body of one call."""

    status = field()
    body = field()


def _name_call(path):
    """Return one name for each kind of call: without its query or a lease's id."""
    bare, _, query = path.partition("?")
    name = "/".join(bare.split("/")[:3])
    return f"{name} (copy)" if urlencode(FROM_COPY) in query else name


def _read_item(value):
    return KeyValue(
        value["key"],
        base64.b64decode(value["value"]),
        value.get("create_rev", 0),
        value["rev"],
        value.get("lease", 0),
    )


def _read_changes(answer):
    if answer.status == GONE:
        return Failure(StoreCompactedError("The history is gone.", step="watch"))
    events = [_read_event(event) for event in answer.body["events"]]
    return Success(Changes(events, answer.body["as_of"]))


def _read_event(value):
    gone = value.get("tombstone", False)
    data = None if gone else base64.b64decode(value["value"])
    return WatchEvent(value["key"], data, value["rev"])


def _encode_put(operation):
    return {
        "key": operation.key,
        "value": base64.b64encode(operation.value).decode("ascii"),
        "lease": operation.lease,
    }


def _read_transaction(answer):
    if answer.status == NOT_FOUND:
        return Failure(StoreRefusedError("The lease has lapsed.", step="transact"))
    if answer.status == CONDITION_FAILED:
        current = [_read_item(i) for i in answer.body["items"] if "value" in i]
        return Success(TransactionResult(False, 0, current))
    return Success(TransactionResult(True, answer.body["rev"]))


def _make_lease(lease_id, body, asked):
    seconds = body["ttl_ms"] / 1000
    return Lease(lease_id, seconds, asked + seconds)


def _read_renewal(answer, lease, asked):
    if answer.status == NOT_FOUND:
        return Failure(StoreRefusedError("The lease has lapsed.", step="renew lease"))
    return Success(_make_lease(lease.lease_id, answer.body, asked))
