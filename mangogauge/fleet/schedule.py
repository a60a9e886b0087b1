"""When a follower reads again."""

from abc import ABC, abstractmethod

import curio

from ..telemetry import get_logger
from ..ticks import measure_to_tick, sleep_to_tick

__all__ = ["ReadSchedule", "SharedSchedule", "FixedDelaySchedule"]

log = get_logger("schedule")


class ReadSchedule(ABC):
    """Decides how long a follower waits between two reads."""

    @abstractmethod
    async def wait(self):
        """Return when it is time to read."""

    def note_read(self, digest, asked_at, revision):
        """Note a read that succeeded.

        Parameters
        ----------
        digest : str
            Of the copy.
        asked_at : float
            Elapsed time at which the store was asked.
        revision : int
            Of the store, up to which the copy is whole.
        """
        return None

    def find_newer(self):
        """Return the `NewerCopy` that is to be read; None for the newest state."""
        return None

    def note_newer_read(self, expected):
        """Note that the copy that `find_newer` returned was read."""
        return None


class FixedDelaySchedule(ReadSchedule):
    """Reads again after the same pause each time.

    Parameters
    ----------
    pause_seconds : float
    """

    def __init__(self, pause_seconds):
        self._pause_seconds = pause_seconds

    async def wait(self):
        """Pause."""
        await sleep_to_tick(self._pause_seconds)


class SharedSchedule(ReadSchedule):
    """Reads when no host has lately, or when another has a newer copy.

    Parameters
    ----------
    freshness : SharedFreshness
    topic : str
    notify : async callable
        Called after a read, which other hosts should hear of.
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
        """Return when the copy is due."""
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

    def note_newer_read(self, expected):
        """Note that the copy that another host has was read."""
        self._freshness.note_newer_read(self.topic, expected)

    async def request_read(self):
        """Let the copy be read again at once."""
        self._freshness.request_read(self.topic)
        await self.wake()

    async def wake(self):
        """Look again whether the copy is due."""
        await self._wake_event.set()

    def note_read(self, digest, asked_at, revision):
        """Note a read for this host and, with its next report, for all."""
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
