"""Replicate the entries below a prefix of the platform's store."""

from abc import ABC, abstractmethod

from returns.result import Failure

from ..store import StoreCompactedError, StoreError
from ..telemetry import get_logger

__all__ = ["Follower", "Listener"]

log = get_logger("follower")


class Listener(ABC):
    """Receives what a `Follower` reads."""

    @property
    def digest(self):
        """Digest of the copy, equal for equal copies; empty if they aren't compared."""
        return ""

    def digest_items(self, items):
        """Return what `digest` would be after `apply_snapshot`; empty if unknown."""
        return ""

    @abstractmethod
    def apply_snapshot(self, items):
        """Replace the whole copy by these `KeyValue` objects."""

    @abstractmethod
    def apply_changes(self, events):
        """Apply `WatchEvent` objects in order."""

    @abstractmethod
    def handle_store_regained(self):
        """Handle the return of the store; called before its data is applied."""


class Follower:
    """Reads a prefix and then its changes until it is cancelled.

    Parameters
    ----------
    feed : ChangeFeed
    prefix : str
    listener : Listener
    schedule : ReadSchedule
    clock : Clock
    wait_seconds : float, optional
        How long a read waits at the store for a change. While the store is lost,
        reads don't wait, so that its return is noticed soon.
    reads_all : bool, optional
        Read all entries each time, where they are few and the copy must not depend on
        the store's history.

    Attributes
    ----------
    confirmed_at : float or None
        Elapsed time at which the last successful read of the newest state began; None
        before it.
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
        self.confirmed_at = None

    @property
    def name(self):
        """Name for the log."""
        return f"Follower of {self._prefix}"

    @property
    def age(self):
        """Seconds since the copy was last confirmed; infinite before the first read."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock.read_elapsed() - self.confirmed_at

    async def run(self):
        """Follow until cancelled."""
        while True:
            asked_at = self._clock.read_elapsed()
            newer = self._schedule.find_newer()
            try:
                if newer is None or not await self._read_newer_copy(newer):
                    await self._read_newest(asked_at)
            except StoreError as error:
                self._note_failure(error)
                await self._schedule.wait_after_failure()
            else:
                await self._schedule.wait()

    async def _read_newer_copy(self, newer):
        """Read the newer copy that another host has reported.

        Returns
        -------
        bool
            Whether a copy was read and applied.

        Raises
        ------
        StoreError
            If the store didn't answer, so that it can't be asked for its newest state.

        Notes
        -----
        The read goes to a copy of the store, which costs less but may be outdated; its
        digest shows whether it is recent enough, or the revisions of its items.
        """
        snapshot = _unwrap(await self._feed.read_copy(self._prefix))
        digest = self._listener.digest_items(snapshot.items)
        revision = newer.report.revision
        if digest != newer.report.digest:
            revision = _find_later_revision(snapshot, revision)
            if revision is None:
                return False
        if self._schedule.find_newer() is None:
            # This host's copy was confirmed meanwhile, or is now too old for this.
            return False
        self._note_reachable()
        self._listener.apply_snapshot(snapshot.items)
        self._schedule.note_newer_read(newer, digest, revision)
        return True

    async def _read_newest(self, asked_at):
        """Read the prefix or its changes."""
        if self._revision is None:
            answer = await self._feed.read_snapshot(self._prefix)
        else:
            wait_seconds = self._wait_seconds if self._reachable else 0.0
            answer = await self._feed.read_changes(
                self._prefix, self._revision, wait_seconds
            )
        read = _unwrap(answer)
        self._note_reachable()
        if self._revision is None:
            self._listener.apply_snapshot(read.items)
        elif read.events:
            self._listener.apply_changes(read.events)
        self._revision = None if self._reads_all else read.revision
        self.confirmed_at = asked_at
        self._schedule.note_read(self._listener.digest, asked_at, read.revision)

    def _note_failure(self, error):
        if isinstance(error, StoreCompactedError):
            self._revision = None
            log.info(
                "history compacted, reading all entries again",
                extra={"prefix": self._prefix},
            )
            return
        if self._reachable:
            self._reachable = False
            log.warning(
                "store lost",
                extra={"prefix": self._prefix, "reason": str(error), "age": self.age},
            )

    def _note_reachable(self):
        failed, self._reachable = not self._reachable, True
        if self._schedule.is_after_outage(failed):
            self._listener.handle_store_regained()
        if failed:
            log.info("store regained", extra={"prefix": self._prefix, "age": self.age})


def _unwrap(answer):
    """Return the value of an answer, or raise the error of a failure."""
    if isinstance(answer, Failure):
        raise answer.failure()
    return answer.unwrap()


def _find_later_revision(snapshot, revision):
    """Return the revision of an item that was written after `revision`, or None.

    Notes
    -----
    A copy with such an item has all changes up to it. Pages may come from different
    copies, so that one page shows nothing of the others.
    """
    latest = max((item.mod_revision for item in snapshot.items), default=0)
    return latest if snapshot.pages == 1 and latest > revision else None
