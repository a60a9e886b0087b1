"""Schedules of a follower's reads."""

from abc import ABC, abstractmethod
from time import monotonic

import curio

from ..telemetry import get_logger
from ..ticks import round_up_to_tick, sleep_to_tick

__all__ = ["ReadSchedule", "SharedSchedule", "FixedDelaySchedule"]

# A copy that no host has confirmed for longer may miss entries whose leases expired
# while the store was lost to all hosts: leases of 2.5 s are renewed every 0.83 s.
OUTAGE_SECONDS = 1.6
# The same where this host's own read has failed as well.
FAILED_OUTAGE_SECONDS = 0.9
INITIAL_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.5
# A pause that ends later by more than this shows that the process was suspended.
SUSPENDED_SECONDS = 0.2
RETRY_GROWTH = 2.0

log = get_logger("schedule")


class ReadSchedule(ABC):
    """Decides when a follower reads again."""

    @abstractmethod
    async def wait(self):
        """Return when the next read is due."""

    def note_read(self, digest, asked_at, revision):
        """Record a successful read.

        Parameters
        ----------
        digest : str
            Digest of the copy.
        asked_at : float
            Elapsed time at which the read began.
        revision : int
            Revision of the store that the copy contains.
        """
        return None

    @abstractmethod
    async def wait_after_failure(self):
        """Return when a read has to be tried again after one that failed."""

    def is_after_outage(self, failed, asked_at=None):
        """Return whether entries may be missing because the store was lost.

        Called before what was read is recorded.

        Parameters
        ----------
        failed : bool
            Whether this host's last read of the newest state failed.
        asked_at : float, optional
            Elapsed time at which a read of the newest state began that ended now.
        """
        return failed

    def note_copy_missed(self):
        """Return whether to read the store's copy again later, since it is too old."""
        return False

    def find_newer(self):
        """Return the `NewerCopy` to read; None to read the newest state."""
        return None

    def note_newer_read(self, newer, digest, revision):
        """Record that the copy that `find_newer` returned, or a later one, was read.

        Parameters
        ----------
        newer : NewerCopy
        digest : str
            Digest of what was read.
        revision : int
            Revision of the store up to which it is complete.
        """
        return None


class FixedDelaySchedule(ReadSchedule):
    """Schedule with a fixed delay between two reads.

    Parameters
    ----------
    pause_seconds : float
    """

    def __init__(self, pause_seconds):
        self._pause_seconds = pause_seconds
        self._retry_seconds = INITIAL_RETRY_SECONDS

    async def wait(self):
        """Sleep for the delay."""
        self._retry_seconds = INITIAL_RETRY_SECONDS
        await sleep_to_tick(self._pause_seconds)

    async def wait_after_failure(self):
        """Sleep for longer after each failure in a row."""
        await curio.sleep(self._retry_seconds)
        longer = self._retry_seconds * RETRY_GROWTH
        self._retry_seconds = min(MAX_RETRY_SECONDS, longer)


class SharedSchedule(ReadSchedule):
    """Schedule shared by all hosts.

    A read is due when no host has read recently, or another has a newer copy.

    Parameters
    ----------
    freshness : SharedFreshness
    topic : str
        Prefix that is read; names the copy in reports.
    notify : async callable
        Called after a read, so that it is reported to the other hosts.
    backoff : ReadBackoff
        Pauses of all topics of this host.
    count_read : callable, optional
        Called with the topic and the outcome of each read: newest, copy or failed.
    **wait_options
        Further arguments of `SharedFreshness.measure_wait`.
    """

    def __init__(
        self,
        freshness,
        topic,
        notify,
        backoff,
        count_read=lambda topic, outcome: None,
        **wait_options,
    ):
        self._count_read = count_read
        self._freshness = freshness
        self._backoff = backoff
        self._wait_options = wait_options
        self.topic = topic
        self._notify = notify
        self._wake_event = curio.Event()
        self._notified = True
        self._suspended_seconds = 0.0

    async def wait(self):
        """Return when the next read is due, by the reports of all hosts."""
        if not self._notified:
            self._notified = True
            await self._notify()
        while True:
            seconds = self._freshness.measure_wait(self.topic, **self._wait_options)
            has_newer = self.find_newer() is not None
            seconds = max(seconds, self._backoff.measure_wait(has_newer))
            if seconds <= 0 and self._backoff.begin_read(has_newer):
                return
            await self._sleep(seconds)

    async def _sleep(self, seconds):
        """Sleep until woken, or for so long; note whether it took far longer."""
        self._wake_event.clear()
        began_at = monotonic()
        # Hosts read in turn, so this can't wait for a coarser tick.
        async with curio.ignore_after(round_up_to_tick(seconds)):
            await self._wake_event.wait()
        late = monotonic() - began_at - seconds
        if late > SUSPENDED_SECONDS:
            self._suspended_seconds += late

    async def wait_after_failure(self):
        """Return when a read is due and the pause after the failure has passed."""
        self._count_read(self.topic, "failed")
        self._backoff.note_failure(
            self._freshness.find_rank(self.topic), self._freshness.count_hosts()
        )
        await self.wait()

    def is_after_outage(self, failed, asked_at=None):
        """Return whether no host that this one hears has read for long.

        Notes
        -----
        While this process was suspended, others may have read.
        """
        gap = self._freshness.measure_gap(self.topic, asked_at)
        if gap == float("inf"):
            return failed
        longest = FAILED_OUTAGE_SECONDS if failed else OUTAGE_SECONDS
        return gap - self._suspended_seconds > longest

    def note_copy_missed(self):
        """Return whether to read the store's copy again later, since it is too old."""
        # The store has answered, so reads need no longer be rare.
        self._backoff.note_success()
        return self._freshness.note_copy_missed(self.topic)

    def find_newer(self):
        """Return the `NewerCopy` that another host has, or None."""
        return self._freshness.find_newer(self.topic)

    def note_newer_read(self, newer, digest, revision):
        """Record that the copy that another host has, or a later one, was read."""
        self._suspended_seconds = 0.0
        self._count_read(self.topic, "copy")
        self._backoff.note_success()
        self._freshness.note_newer_read(self.topic, newer, digest, revision)

    async def request_read(self):
        """Make the next read due at once."""
        self._freshness.request_read(self.topic)
        await self.wake()

    async def wake(self):
        """Check again whether a read is due."""
        await self._wake_event.set()

    def note_read(self, digest, asked_at, revision):
        """Record a read; this host's next report includes it."""
        log.info(
            "copy read",
            extra={
                "prefix": self.topic,
                "digest": digest,
                "age": self._freshness.measure_age(self.topic),
                "read_before": self._freshness.measure_read_age(self.topic),
            },
        )
        self._suspended_seconds = 0.0
        self._count_read(self.topic, "newest")
        self._backoff.note_success()
        self._freshness.note_read(self.topic, digest, asked_at, revision)
        self._notified = False
