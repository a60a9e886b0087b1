"""Tell an endpoint's crash from a connection that broke, and keep count of them."""

import curio
import xxhash

from ..http import ClientConnection, HTTPConnectError
from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger

__all__ = ["CrashWatch"]

# How long a connection may take that tells whether the endpoint is still there.
PROBE_SECONDS = 0.2
# A process that ends closes its connections a moment before its listener.
SETTLE_SECONDS = 0.15

log = get_logger("crashes")


class CrashWatch:
    """Counts the crashes of requests, and refuses those that crash endpoints.

    Parameters
    ----------
    ledger : CrashLedger
    notify : async callable
        Called after a crash, which other hosts should hear of.
    """

    def __init__(self, ledger, notify):
        self._ledger = ledger
        self._notify = notify

    def check(self, call):
        """Raise `Refusal` if `call` has crashed too many endpoints."""
        if self.is_condemned(call):
            raise Refusal(
                RefusalCode.QUARANTINED,
                "This request has crashed the endpoints that ran it.",
                step="check crashes",
            )

    def is_condemned(self, call):
        """Return whether `call` has crashed too many endpoints."""
        if self._ledger.is_empty:
            return False
        return self._ledger.is_condemned(_make_fingerprint(call))

    def note_answer(self, call):
        """Note that an endpoint ran `call` and lives."""
        if not self._ledger.is_empty:
            self._ledger.note_answer(_make_fingerprint(call))

    async def note_failure(self, call, endpoint, failure):
        """Find out whether a connection that broke was an endpoint's crash."""
        if failure.broken:
            await curio.spawn(self._examine, call, endpoint, daemon=True)

    async def _examine(self, call, endpoint):
        await curio.sleep(SETTLE_SECONDS)
        try:
            connection = await ClientConnection.open(endpoint.address, PROBE_SECONDS)
        except HTTPConnectError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                await self._note_crash(call, endpoint)
            return
        await connection.close()

    async def _note_crash(self, call, endpoint):
        fingerprint = _make_fingerprint(call)
        self._ledger.note_crash(fingerprint)
        log.warning(
            "endpoint crashed within a request",
            extra={
                "request_id": call.request_id,
                "endpoint": endpoint.name,
                "fingerprint": fingerprint,
                "condemned": self._ledger.is_condemned(fingerprint),
            },
        )
        await self._notify()


def _make_fingerprint(call):
    digest = xxhash.xxh3_64()
    for part in (call.account.encode(), call.target.encode(), call.body):
        digest.update(part)
        digest.update(b"\0")
    return digest.hexdigest()
