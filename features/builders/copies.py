"""Hosts that keep copies and tell each other of them, by reports that take time."""

import heapq
import itertools
import random

from attrs import define, field

from mangogauge.clock import ManualClock
from mangogauge.sharing import SharedFreshness
from mangogauge.sharing.copies import read_copies, write_copies

__all__ = ["CopyPlay"]

TOPIC = "orders"
INTERVAL_SECONDS = 0.7
LOOK_SECONDS = 0.01


@define(eq=False)
class _Host:
    """One host, and the version that it has read."""

    freshness = field()
    version = field(default=0)


class CopyPlay:
    """Plays hosts without a network, event by event.

    Parameters
    ----------
    count : int
        Number of hosts.
    pause, transit : float
        Mean seconds between two reports of a host, and until a report is heard.
    seed : int, optional

    Attributes
    ----------
    reads : list of float
        When any host read the topic.
    store_away : bool
        Whether reads find no store.
    """

    def __init__(self, count, pause, transit, seed=1):
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._pause = pause
        self._transit = transit
        self._events = []
        self._order = itertools.count()
        self.reads = []
        self.store_away = False
        self._version = 1
        self.hosts = [
            _Host(
                SharedFreshness(
                    self._clock,
                    random.Random(seed + index),
                    INTERVAL_SECONDS,
                    lambda: count,
                    f"h{index}",
                )
            )
            for index in range(count)
        ]
        for host in self.hosts:
            self._schedule(self._draw(LOOK_SECONDS), self._look, host)
            self._schedule(self._draw(pause), self._report, host)

    @property
    def now(self):
        """Seconds since the play began."""
        return self._clock.read_elapsed()

    def change(self):
        """Let operators write a new version."""
        self._version += 1

    def live(self, seconds):
        """Play for a while."""
        until = self.now + seconds
        while self._events[0][0] <= until:
            at, _, act, arguments = heapq.heappop(self._events)
            self._clock.advance(at - self.now)
            act(*arguments)
        self._clock.advance(until - self.now)

    def list_stale(self):
        """Return the hosts that don't have the newest version."""
        return [host for host in self.hosts if host.version != self._version]

    def list_ages(self):
        """Return how old each host takes its copy to be, in seconds."""
        return [host.freshness.measure_age(TOPIC) for host in self.hosts]

    def find_longest_pause(self, since):
        """Return the longest time without a read of any host."""
        times = [since, *(at for at in self.reads if at > since), self.now]
        return max(after - before for before, after in itertools.pairwise(times))

    def _schedule(self, seconds, act, *arguments):
        entry = (self.now + seconds, next(self._order), act, arguments)
        heapq.heappush(self._events, entry)

    def _draw(self, mean):
        return mean * (0.5 + self._random.random())

    def _look(self, host):
        """Read the topic if that is due."""
        self._schedule(LOOK_SECONDS, self._look, host)
        if self.store_away or not host.freshness.is_due(TOPIC):
            return
        self.reads.append(self.now)
        host.version = self._version
        host.freshness.note_read(TOPIC, str(host.version), self.now, host.version)

    def _report(self, sender):
        self._schedule(self._draw(self._pause), self._report, sender)
        copies = read_copies(write_copies(sender.freshness.make_report()))
        for host in self.hosts:
            if host is not sender:
                self._schedule(
                    self._draw(self._transit), host.freshness.merge_report, copies
                )
