"""Keep a copy of everything below a prefix of the platform's store."""

from abc import ABC, abstractmethod

import curio
from returns.result import Failure

from ..store import StoreCompactedError
from ..telemetry import get_logger

__all__ = ["Follower", "Listener"]

INITIAL_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.5
RETRY_GROWTH = 2.0

log = get_logger("follower")


class Listener(ABC):
    """Is told what a `Follower` reads."""

    @property
    def digest(self):
        """Same for copies that mean the same; empty if nobody compares them."""
        return ""

    def digest_items(self, items):
        """Return what `digest` would be after `apply_snapshot`; empty if unknown."""
        return ""

    @abstractmethod
    def apply_snapshot(self, items):
        """Replace all that was known by these `KeyValue` objects."""

    @abstractmethod
    def apply_changes(self, events):
        """Take in `WatchEvent` objects, in order."""

    @abstractmethod
    def handle_store_regained(self):
        """The store answers again; called before what it says is taken in."""


class Follower:
    """Reads a prefix and then its changes, for as long as it runs.

    Parameters
    ----------
    feed : ChangeFeed
    prefix : str
    listener : Listener
    schedule : ReadSchedule
    clock : Clock
    wait_seconds : float, optional
        How long a read waits at the store for a change; while the store is lost it
        doesn't, so that its return is noticed soon.
    reads_all : bool, optional
        Read everything each time; what changes is few, and must not depend on
        the store's history.

    Attributes
    ----------
    confirmed_at : float or None
        Elapsed time at which this host's copy was last read; None until it was.
    """

    def __init__(
        self,
        feed,
        prefix,
        listener,
        schedule,
        clock,
        wait_seconds=0.0,
        reads_all=False,
    ):
        self._feed = feed
        self._prefix = prefix
        self._listener = listener
        self._schedule = schedule
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._reads_all = reads_all
        self._revision = None
        self._reachable = True
        self._retry_seconds = INITIAL_RETRY_SECONDS
        self.confirmed_at = None

    @property
    def name(self):
        """What it follows, for the log."""
        return f"Follower of {self._prefix}"

    @property
    def age(self):
        """Seconds since this host's copy was last read."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock.read_elapsed() - self.confirmed_at

    async def run(self):
        """Follow until cancelled."""
        while True:
            asked_at = self._clock.read_elapsed()
            if await self._read_expected_copy():
                await self._schedule.wait()
                continue
            revision = await self._read_newest()
            if revision is not None:
                self.confirmed_at = asked_at
                self._retry_seconds = INITIAL_RETRY_SECONDS
                self._schedule.note_read(self._listener.digest, asked_at, revision)
                await self._schedule.wait()
            else:
                await curio.sleep(self._retry_seconds)
                longer = self._retry_seconds * RETRY_GROWTH
                self._retry_seconds = min(MAX_RETRY_SECONDS, longer)

    async def _read_expected_copy(self):
        """Read what another host has read already, if there is such; return whether.

        Notes
        -----
        A copy of the store, which may be old but costs less, will do: it shows by its
        digest whether it is new enough.
        """
        expected = self._schedule.find_newer()
        if expected is None:
            return False
        answer = await self._feed.read_copy(self._prefix)
        if isinstance(answer, Failure):
            return False
        items = answer.unwrap().items
        if self._listener.digest_items(items) != expected.report.digest:
            return False
        if self._schedule.find_newer() is None:
            # This host's own copy was confirmed meanwhile, or has become too old.
            return False
        self._note_reachable()
        self._listener.apply_snapshot(items)
        self._schedule.note_newer_read(expected)
        return True

    async def _read_newest(self):
        """Read the prefix or its changes; return up to which revision, or None."""
        if self._revision is None:
            answer = await self._feed.read_snapshot(self._prefix)
        else:
            wait_seconds = self._wait_seconds if self._reachable else 0.0
            answer = await self._feed.read_changes(
                self._prefix, self._revision, wait_seconds
            )
        if isinstance(answer, Failure):
            self._note_failure(answer.failure())
            return None
        self._note_reachable()
        read = answer.unwrap()
        if self._revision is None:
            self._listener.apply_snapshot(read.items)
        elif read.events:
            self._listener.apply_changes(read.events)
        self._revision = None if self._reads_all else read.revision
        return read.revision

    def _note_failure(self, error):
        if isinstance(error, StoreCompactedError):
            self._revision = None
            log.info(
                "history dropped, reading all again", extra={"prefix": self._prefix}
            )
            return
        if self._reachable:
            self._reachable = False
            log.warning(
                "store lost",
                extra={"prefix": self._prefix, "reason": str(error), "age": self.age},
            )

    def _note_reachable(self):
        if not self._reachable:
            self._reachable = True
            self._listener.handle_store_regained()
            log.info("store regained", extra={"prefix": self._prefix, "age": self.age})
