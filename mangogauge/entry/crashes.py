"""Tell an endpoint's crash from a connection that broke, and keep count of them.

The load this answers: requests that crash their endpoints, on days on which data
centres are cut off too. A cut may reset connections and refuse new ones, as a crash
does; but then no host of that data centre is heard either.
"""

import curio
import xxhash

from ..http import ClientConnection, HTTPConnectError
from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger

__all__ = ["CrashDetector"]

# How long a connection may take that tells whether the endpoint is still there.
PROBE_TIMEOUT_SECONDS = 0.2
# A process that ends closes its connections a moment before its listener.
LISTENER_CLOSE_SECONDS = 0.15
# Reports that were under way when the connection broke have come by then.
IN_FLIGHT_SECONDS = 0.05
# How long hosts of the endpoint's data centre may take to be heard again: each
# reports a few times within it.
CONFIRM_TIMEOUT_SECONDS = 0.75
CONFIRM_POLL_SECONDS = 0.02

log = get_logger("crashes")


class CrashDetector:
    """Counts the crashes of online requests, and refuses those that crash endpoints.

    Parameters
    ----------
    ledger : CrashLedger
    notify : async callable
        Called after a crash, which other hosts should hear of.
    clock : Clock
    heard_since : callable
        Given a data centre and an elapsed time, whether a host there has been heard
        since, or there is none that could be.
    """

    def __init__(self, ledger, notify, clock, heard_since):
        self._ledger = ledger
        self._notify = notify
        self._clock = clock
        self._heard_since = heard_since

    def check(self, call):
        """Raise `Refusal` if `call` has crashed too many endpoints."""
        if self.is_quarantined(call):
            raise Refusal(
                RefusalCode.QUARANTINED,
                "This request has crashed the endpoints that ran it.",
                step="check crashes",
            )

    def is_quarantined(self, call):
        """Return whether `call` has crashed too many endpoints."""
        if self._ledger.is_empty:
            return False
        return self._ledger.is_quarantined(_make_fingerprint(call))

    def note_answer(self, call):
        """Note that an endpoint ran `call` and lives."""
        if not self._ledger.is_empty:
            self._ledger.note_answer(_make_fingerprint(call))

    async def note_failure(self, call, endpoint, failure):
        """Find out whether a connection that broke was an endpoint's crash."""
        if failure.connection_broken:
            await curio.spawn(self._diagnose, call, endpoint, daemon=True)

    async def _diagnose(self, call, endpoint):
        broke_at = self._clock.read_elapsed()
        await curio.sleep(LISTENER_CLOSE_SECONDS)
        if not await _refuses_connections(endpoint):
            return
        if await self._is_data_centre_reporting(endpoint.data_centre, broke_at):
            await self._note_crash(call, endpoint)
            return
        log.warning(
            "endpoint refuses, but its data centre is silent: taken for a cut",
            extra={"request_id": call.request_id, "endpoint": endpoint.name},
        )

    async def _is_data_centre_reporting(self, data_centre, broke_at):
        """Return whether a host of a data centre is heard after a connection broke."""
        since = broke_at + IN_FLIGHT_SECONDS
        while not self._heard_since(data_centre, since):
            if self._clock.read_elapsed() >= broke_at + CONFIRM_TIMEOUT_SECONDS:
                return False
            await curio.sleep(CONFIRM_POLL_SECONDS)
        return True

    async def _note_crash(self, call, endpoint):
        fingerprint = _make_fingerprint(call)
        self._ledger.note_crash(fingerprint)
        log.warning(
            "endpoint crashed within a request",
            extra={
                "request_id": call.request_id,
                "endpoint": endpoint.name,
                "fingerprint": fingerprint,
                "condemned": self._ledger.is_quarantined(fingerprint),
            },
        )
        await self._notify()


async def _refuses_connections(endpoint):
    """Return whether nothing listens at the endpoint's address."""
    try:
        connection = await ClientConnection.open(
            endpoint.address, PROBE_TIMEOUT_SECONDS
        )
    except HTTPConnectError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    await connection.close()
    return False


def _make_fingerprint(call):
    digest = xxhash.xxh3_64()
    for part in (call.account.encode(), call.target.encode(), call.body):
        digest.update(part)
        digest.update(b"\0")
    return digest.hexdigest()
