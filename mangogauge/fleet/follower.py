"""Replicate the entries below a prefix of the platform's store."""

from abc import ABC, abstractmethod
from collections import deque

from returns.result import Failure

from ..store import Changes, StoreCompactedError, StoreError
from ..telemetry import get_logger

__all__ = ["Follower", "Listener"]

# Groups of changes that are kept to be sent to other hosts: the last ones and those
# before, in case that a datagram is lost.
RECENT_GROUPS = 2

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
    prefix : str
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
        self.prefix = prefix
        self._listener = listener
        self._schedule = schedule
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._reads_all = reads_all
        self._revision = None
        self._reachable = True
        # Pairs of a revision and the `Changes` that followed it, without a gap.
        self._recent = deque(maxlen=RECENT_GROUPS)
        self.confirmed_at = None

    @property
    def name(self):
        """Name for the log."""
        return f"Follower of {self.prefix}"

    @property
    def age(self):
        """Seconds since the copy was last confirmed; infinite before the first read."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock.read_elapsed() - self.confirmed_at

    @property
    def loaded(self):
        """Whether changes can be applied to what was read."""
        return self._revision is not None

    def list_recent_changes(self):
        """Return pairs of a revision and the `Changes` that followed it, in order."""
        return list(self._recent)

    def merge_changes(self, base, changes):
        """Apply changes that another host has read.

        Parameters
        ----------
        base : int
            Revision of the store that they follow.
        changes : Changes

        Returns
        -------
        bool
            Whether the copy now has all changes up to theirs; False if it lacks some
            that came before.
        """
        if self._revision is None or self._revision < base:
            return False
        self._note_reachable(self._clock.read_elapsed())
        if changes.revision > self._revision:
            self._apply_changes(changes)
        return True

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
            False if the newest state has to be read instead.

        Raises
        ------
        StoreError
            If the store didn't answer, so that it can't be asked for its newest state.

        Notes
        -----
        The read goes to a copy of the store, which costs less but may be outdated; its
        digest shows whether it is recent enough, or the revisions of its items.
        """
        snapshot = _unwrap(await self._feed.read_copy(self.prefix))
        digest = self._listener.digest_items(snapshot.items)
        revision = newer.report.revision
        if digest != newer.report.digest:
            revision = _find_later_revision(snapshot, revision)
            if revision is None:
                return self._schedule.note_copy_missed()
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
            answer = await self._feed.read_snapshot(self.prefix)
        else:
            wait_seconds = self._wait_seconds if self._reachable else 0.0
            answer = await self._feed.read_changes(
                self.prefix, self._revision, wait_seconds
            )
        read = _unwrap(answer)
        self._note_reachable(asked_at)
        if self._revision is None:
            self._listener.apply_snapshot(read.items)
            self._recent.clear()
            self._revision = None if self._reads_all else read.revision
        else:
            self._apply_changes(read)
        self.confirmed_at = asked_at
        self._schedule.note_read(self._listener.digest, asked_at, read.revision)

    def _apply_changes(self, changes):
        """Apply the changes that this copy doesn't have yet.

        Notes
        -----
        Another host's changes may have been merged during the read.
        """
        before = self._revision
        events = [e for e in changes.events if e.mod_revision > before]
        if events:
            self._listener.apply_changes(events)
        self._revision = max(before, changes.revision)
        self._recent.append((before, Changes(events, self._revision)))

    def _note_failure(self, error):
        if isinstance(error, StoreCompactedError):
            self._revision = None
            log.info(
                "history compacted, reading all entries again",
                extra={"prefix": self.prefix},
            )
            return
        if self._reachable:
            self._reachable = False
            log.warning(
                "store lost",
                extra={"prefix": self.prefix, "reason": str(error), "age": self.age},
            )

    def _note_reachable(self, asked_at=None):
        failed, self._reachable = not self._reachable, True
        if self._schedule.is_after_outage(failed, asked_at):
            self._listener.handle_store_regained()
        if failed:
            log.info("store regained", extra={"prefix": self.prefix, "age": self.age})


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
