"""Keep a copy of everything below a prefix of the platform's store."""

from abc import ABC, abstractmethod

import curio
from attrs import field, frozen
from returns.result import Failure

from ..store import StoreCompactedError
from ..telemetry import get_logger

__all__ = ["FollowPace", "Follower", "Listener"]

FIRST_RETRY_SECONDS = 0.05
LONGEST_RETRY_SECONDS = 0.5
RETRY_GROWTH = 2.0

log = get_logger("follower")


class Listener(ABC):
    """Is told what a `Follower` reads."""

    @abstractmethod
    def take_snapshot(self, items):
        """Replace all that was known by these `KeyValue` objects."""

    @abstractmethod
    def take_changes(self, events):
        """Take in `WatchEvent` objects, in order."""

    @abstractmethod
    def note_regained(self):
        """The store answers again; called before what it says is taken in."""


@frozen
class FollowPace:
    """How often a prefix is read.

    Parameters
    ----------
    wait_seconds : float
        How long one call waits at the store for a change.
    pause_seconds : float
        Least time between two calls; where changes come all the time, it
        bounds the number of calls, and how old the copy may be.
    """

    wait_seconds = field()
    pause_seconds = field(default=0.0)


class Follower:
    """Reads a prefix and then its changes, for as long as it runs.

    Parameters
    ----------
    feed : ChangeFeed
    prefix : str
    listener : Listener
    pace : FollowPace
    clock : Clock

    Attributes
    ----------
    confirmed_at : float or None
        Elapsed time at which the copy was last known to be whole; None until
        it was first read.
    """

    def __init__(self, feed, prefix, listener, pace, clock):
        self._feed = feed
        self._prefix = prefix
        self._listener = listener
        self._pace = pace
        self._clock = clock
        self._revision = None
        self._reachable = True
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._woken = curio.Event()
        self.confirmed_at = None

    @property
    def age(self):
        """Seconds since the copy was last known to be whole."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock.read_elapsed() - self.confirmed_at

    async def run(self):
        """Follow until cancelled."""
        while True:
            asked_at = self._clock.read_elapsed()
            if await self._step():
                self.confirmed_at = asked_at
                self._retry_seconds = FIRST_RETRY_SECONDS
                await self._pause(asked_at)
            else:
                await curio.sleep(self._retry_seconds)
                longer = self._retry_seconds * RETRY_GROWTH
                self._retry_seconds = min(LONGEST_RETRY_SECONDS, longer)

    async def wake(self):
        """Read again now rather than after the pause."""
        await self._woken.set()

    async def _pause(self, asked_at):
        left = asked_at + self._pace.pause_seconds - self._clock.read_elapsed()
        if left > 0:
            async with curio.ignore_after(left):
                await self._woken.wait()
        self._woken.clear()

    async def _step(self):
        """Read the prefix or its changes; return whether the store answered."""
        if self._revision is None:
            answer = await self._feed.read_snapshot(self._prefix)
        else:
            answer = await self._feed.read_changes(
                self._prefix, self._revision, self._pace.wait_seconds
            )
        if isinstance(answer, Failure):
            self._note_failure(answer.failure())
            return False
        self._note_answer()
        read = answer.unwrap()
        if self._revision is None:
            self._listener.take_snapshot(read.items)
        elif read.events:
            self._listener.take_changes(read.events)
        self._revision = read.revision
        return True

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

    def _note_answer(self):
        if not self._reachable:
            self._reachable = True
            self._listener.note_regained()
            log.info("store regained", extra={"prefix": self._prefix, "age": self.age})
