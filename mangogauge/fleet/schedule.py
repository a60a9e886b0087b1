"""Schedules of a follower's reads."""

from abc import ABC, abstractmethod

import curio

from ..telemetry import get_logger
from ..ticks import measure_to_tick, sleep_to_tick

__all__ = ["ReadSchedule", "SharedSchedule", "FixedDelaySchedule"]

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

    def find_newer(self):
        """Return the `NewerCopy` to read; None to read the newest state."""
        return None

    def note_newer_read(self, newer):
        """Record that the copy that `find_newer` returned was read."""
        return None


class FixedDelaySchedule(ReadSchedule):
    """Schedule with a fixed delay between two reads.

    Parameters
    ----------
    pause_seconds : float
    """

    def __init__(self, pause_seconds):
        self._pause_seconds = pause_seconds

    async def wait(self):
        """Sleep for the delay."""
        await sleep_to_tick(self._pause_seconds)


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
    **wait_options
        Further arguments of `SharedFreshness.measure_wait`.
    """

    def __init__(self, freshness, topic, notify, **wait_options):
        self._freshness = freshness
        self._wait_options = wait_options
        self.topic = topic
        self._notify = notify
        self._wake_event = curio.Event()
        self._notified = True

    async def wait(self):
        """Return when the next read is due, by the reports of all hosts."""
        if not self._notified:
            self._notified = True
            await self._notify()
        while True:
            seconds = self._freshness.measure_wait(self.topic, **self._wait_options)
            if seconds <= 0:
                return
            self._wake_event.clear()
            async with curio.ignore_after(measure_to_tick(seconds)):
                await self._wake_event.wait()

    def find_newer(self):
        """Return the `NewerCopy` that another host has, or None."""
        return self._freshness.find_newer(self.topic)

    def note_newer_read(self, newer):
        """Record that the copy that another host has was read."""
        self._freshness.note_newer_read(self.topic, newer)

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
        self._freshness.note_read(self.topic, digest, asked_at, revision)
        self._notified = False
