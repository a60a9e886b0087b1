"""Simulation of hosts that report their copies to each other with a delay."""

import heapq
import itertools
import random

from attrs import define, field

from mangogauge.clock import ManualClock
from mangogauge.sharing import ReadOrder, SharedFreshness
from mangogauge.sharing.copies import read_copies, write_copies

__all__ = ["CopySimulation", "make_order"]

TOPIC = "orders"
INTERVAL_SECONDS = 0.7
POLL_SECONDS = 0.01


def make_order(index, count):
    """Return the `ReadOrder` of one of several hosts that all hear each other."""
    others = [f"h{other}" for other in range(count) if other != index]
    return ReadOrder(f"h{index}", lambda: others)


@define(eq=False)
class _Host:
    """One host, and the version that it has read."""

    freshness = field()
    version = field(default=0)


class CopySimulation:
    """Simulates hosts without a network, event by event.

    Parameters
    ----------
    count : int
        Number of hosts.
    interval, transit : float
        Mean seconds between two reports of a host, and until a report is received.
    seed : int, optional

    Attributes
    ----------
    reads : list of float
        Times in seconds at which any host read the topic.
    store_unavailable : bool
        Whether reads fail.
    """

    def __init__(self, count, interval, transit, seed=1):
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._interval = interval
        self._transit = transit
        self._events = []
        self._order = itertools.count()
        self.reads = []
        self.store_unavailable = False
        self._version = 1
        self.hosts = [
            _Host(
                SharedFreshness(
                    self._clock,
                    INTERVAL_SECONDS,
                    make_order(index, count),
                    f"h{index}",
                )
            )
            for index in range(count)
        ]
        for host in self.hosts:
            self._schedule(self._draw(POLL_SECONDS), self._read_if_due, host)
            self._schedule(self._draw(interval), self._report, host)

    @property
    def now(self):
        """Seconds since the simulation began."""
        return self._clock.read_elapsed()

    def change(self):
        """Write a new version, as operators do."""
        self._version += 1

    def run(self, seconds):
        """Run the simulation for some seconds."""
        until = self.now + seconds
        while self._events[0][0] <= until:
            at, _, action, arguments = heapq.heappop(self._events)
            self._clock.advance(at - self.now)
            action(*arguments)
        self._clock.advance(until - self.now)

    def list_stale(self):
        """Return the hosts that don't have the newest version."""
        return [host for host in self.hosts if host.version != self._version]

    def list_ages(self):
        """Return the age of each host's copy, in seconds."""
        return [host.freshness.measure_age(TOPIC) for host in self.hosts]

    def find_longest_gap(self, since):
        """Return the longest time without a read of any host."""
        times = [since, *(at for at in self.reads if at > since), self.now]
        return max(after - before for before, after in itertools.pairwise(times))

    def _schedule(self, seconds, action, *arguments):
        entry = (self.now + seconds, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def _draw(self, mean):
        return mean * (0.5 + self._random.random())

    def _read_if_due(self, host):
        """Read the topic if it is due."""
        self._schedule(POLL_SECONDS, self._read_if_due, host)
        if self.store_unavailable or not host.freshness.is_due(TOPIC):
            return
        self.reads.append(self.now)
        host.version = self._version
        host.freshness.note_read(TOPIC, str(host.version), self.now, host.version)

    def _report(self, sender):
        self._schedule(self._draw(self._interval), self._report, sender)
        copies = read_copies(write_copies(sender.freshness.make_report()))
        for host in self.hosts:
            if host is not sender:
                self._schedule(
                    self._draw(self._transit), host.freshness.merge_report, copies
                )
