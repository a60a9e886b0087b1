"""Checks a caller's key, and cuts its exchange if the key is withdrawn."""

from contextlib import asynccontextmanager

from ..keys import KeyWithdrawnCancel
from ..refusals import Refusal, RefusalCode

__all__ = ["Doorkeeper"]

RETRY_AFTER_STALE = 10.0
SCHEME = "bearer"


class Doorkeeper:
    """Lets exchanges in by key.

    Parameters
    ----------
    ring : KeyRing
    key_tasks : KeyTaskTracker
    trust : KeyTrust
    """

    def __init__(self, ring, key_tasks, trust):
        self._ring = ring
        self._key_tasks = key_tasks
        self._trust = trust

    @asynccontextmanager
    async def hold(self, exchange):
        """Yield the `KeyRecord` of the caller's key, while it is good.

        Raises
        ------
        Refusal
            If the key is missing, unknown or withdrawn, or is withdrawn
            before any of the answer has been sent.
        ConnectionAbortedError
            If the key is withdrawn within the answer.
        """
        record = self._authenticate(exchange)
        try:
            async with self._key_tasks.track(record.key_hash):
                yield record
        except KeyWithdrawnCancel:
            if exchange.response_started:
                raise ConnectionAbortedError("The key was withdrawn.") from None
            raise Refusal(
                RefusalCode.KEY_WITHDRAWN,
                "The key was withdrawn while the request was served.",
                executed="unknown",
                step="run",
            ) from None

    def _authenticate(self, exchange):
        scheme, _, key = exchange.headers.get("authorization", "").partition(" ")
        if scheme.lower() != SCHEME or not key.strip():
            raise Refusal(
                RefusalCode.KEY_MISSING, "A key is needed: Authorization: Bearer KEY."
            )
        if not self._trust.is_valid:
            raise Refusal(
                RefusalCode.KEYS_STALE,
                "This host has not heard of changes of keys for too long.",
                retry_after=RETRY_AFTER_STALE,
                step="check key",
            )
        record = self._ring.find(key.strip())
        if record is None:
            raise Refusal(RefusalCode.KEY_UNKNOWN, "This key does not work.")
        if record.withdrawn_at:
            raise Refusal(RefusalCode.KEY_WITHDRAWN, "This key has been withdrawn.")
        return record
