"""Read which versions there are now, where this host's copy may lack one."""

import curio
from returns.result import Failure

from ..telemetry import get_logger
from .origins import StreamOrigin

__all__ = ["VersionConfirmation"]

# Longest time that a request waits for a read.
MAX_WAIT_SECONDS = 0.5
# Least time between the beginnings of two reads, and after one that failed.
MIN_READ_INTERVAL_SECONDS = 0.1
RETRY_SECONDS = 0.5

log = get_logger("streams")


class VersionConfirmation:
    """Reads the endpoints' entries for requests; concurrent ones share a read.

    Parameters
    ----------
    feed : ChangeFeed
    prefix : str
        Prefix of the endpoints' entries.
    decode : callable
        Turns a `KeyValue` into a `FleetEndpoint`, or None if it is not valid.
    add_endpoints : callable
        Takes the `FleetEndpoint` objects of a read that is newer than this host's
        copy, so that streams can go on at them before the copy is read again.
    history : VersionHistory
    version_record : VersionRecord
    clock : Clock
    """

    def __init__(
        self, feed, prefix, decode, add_endpoints, history, version_record, clock
    ):
        self._feed = feed
        self._prefix = prefix
        self._decode = decode
        self._add_endpoints = add_endpoints
        self._history = history
        self._version_record = version_record
        self._clock = clock
        self._done = None
        self._failed = False
        self._started_at = self._next_at = float("-inf")

    async def confirm(self):
        """Wait for a read, for a limited time, if the history isn't current.

        Notes
        -----
        Returns at once if a read has just failed, or has been waited for so long.
        """
        if not self._history.is_current():
            await self._join_read()

    async def confirm_since(self, moment):
        """Wait, for a limited time, for a read that began after an elapsed time.

        Notes
        -----
        A read that is under way may have begun before. Returns at once if a read has
        just failed, or has been waited for so long.
        """
        async with curio.ignore_after(MAX_WAIT_SECONDS):
            while not (self._history.is_known_since(moment) or self._is_hopeless()):
                seconds_left = self._next_at - self._clock.read_elapsed()
                if self._done is None and seconds_left > 0:
                    await curio.sleep(seconds_left)
                await self._join_read()

    def _is_hopeless(self):
        """Return whether a read has just failed, or gets no answer."""
        now = self._clock.read_elapsed()
        if self._done is None:
            return self._failed and now < self._next_at
        return self._compute_wait_left(now) <= 0

    def _compute_wait_left(self, now):
        """Return for how many seconds the read under way may still be waited for."""
        return self._started_at + MAX_WAIT_SECONDS - now

    async def _join_read(self):
        """Wait for a read for a limited time, unless the last was a moment ago."""
        now = self._clock.read_elapsed()
        if self._done is None:
            if now < self._next_at:
                return
            self._done = curio.Event()
            self._started_at = now
            await curio.spawn(self._read, daemon=True)
        seconds_left = self._compute_wait_left(now)
        if seconds_left > 0:
            async with curio.ignore_after(seconds_left):
                await self._done.wait()

    async def _read(self):
        asked_at = self._started_at
        pause_seconds = RETRY_SECONDS
        try:
            answer = await self._feed.read_snapshot(self._prefix)
            answered = not isinstance(answer, Failure)
            log.info(
                "versions read for a request",
                extra={"answered": answered, "age": self._history.measure_age()},
            )
            if answered:
                pause_seconds = MIN_READ_INTERVAL_SECONDS
                await self._note(answer.unwrap().items, asked_at)
        finally:
            self._failed = pause_seconds == RETRY_SECONDS
            self._next_at = asked_at + pause_seconds
            done, self._done = self._done, None
            await done.set()

    async def _note(self, items, asked_at):
        endpoints = list(filter(None, map(self._decode, items)))
        if self._history.is_copy_older(asked_at):
            self._add_endpoints(endpoints)
        origins = [StreamOrigin.of(endpoint) for endpoint in endpoints]
        self._history.note_read(origins, asked_at)
        if not self._history.complete:
            await self._version_record.read()
