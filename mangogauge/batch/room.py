"""Where a host may run batch items, and how many.

Engines know no priorities, and their load reports lag. So batch work keeps out
of the way by itself: it fills what online requests leave, gives way at once
when they come, and comes back a little at a time.
"""

import math
from abc import ABC, abstractmethod
from collections import Counter, deque

from attrs import define, field, frozen

__all__ = ["FixedRoom", "LoadReport", "Room", "RoomLimits", "SpareRoom"]

HISTORY_SECONDS = 10.0
REPORT_LIFE_SECONDS = 3.0
# Items that a host runs at an endpoint which another host fills.
FOREIGN_LIMIT = 2
# Slower than load reports lag, so that what comes of it is seen on the way.
RAMP_PART_PER_SECOND = 0.25
AVOID_SECONDS = 0.5
AVOID_DOUBLINGS = 5


class Room(ABC):
    """Gives out places in which items run."""

    @abstractmethod
    def take(self, call):
        """Return the name of the endpoint for an item, or None."""

    @abstractmethod
    def give(self, endpoint):
        """Take back what `take` returned."""

    @abstractmethod
    def has_place(self, call):
        """Return whether any endpoint could ever run an item."""

    @abstractmethod
    def fills_place(self, call):
        """Return whether this host fills an endpoint that could run an item."""

    @abstractmethod
    def list_handed_over(self):
        """Return names of endpoints whose items are left to other hosts."""

    @abstractmethod
    def is_handed_over(self, call):
        """Return whether only other hosts can run an item now."""

    @abstractmethod
    def note_outcome(self, endpoint, worked):
        """Take in whether an endpoint ran an item."""

    @abstractmethod
    def decide(self):
        """Return how many items are too many now: ``{endpoint name: int}``."""


@frozen
class RoomLimits:
    """Bounds of the room.

    Parameters
    ----------
    concurrency : int
        Items of the host at once.
    spare_share : float
        Part of an endpoint's slots that batch and online work fill together.
    load_lag : float
        Age of load reports in seconds.
    fixed_items : int
        Items at each endpoint, for room that is fixed.
    """

    concurrency = field()
    spare_share = field(default=0.9)
    load_lag = field(default=1.0)
    fixed_items = field(default=8)


@frozen
class LoadReport:
    """What an endpoint says of itself.

    Parameters
    ----------
    running, waiting : int
    at : float
        Elapsed time when it came.
    """

    running = field()
    waiting = field()
    at = field()


@define
class _Place:
    """One endpoint as this host sees it."""

    endpoint = field()
    assigned = field(default=False)
    handed_over = field(default=False)
    batch = field(default=0)
    online = field(default=0)
    limit = field(default=0.0)
    decided_at = field(default=0.0)
    report = field(default=None)
    failures = field(default=0)
    avoided_until = field(default=0.0)
    history = field(factory=deque)

    def take_part(self, assigned, handed_over):
        """Take this host's part in it; see `SpareRoom.set_endpoints`."""
        if assigned and not self.assigned:
            # Items of the host that filled it before may still run.
            self.limit = min(self.limit, FOREIGN_LIMIT)
        if self.handed_over and not handed_over:
            self.failures, self.avoided_until = 0, 0.0
        self.assigned, self.handed_over = assigned, handed_over

    def note(self, now):
        """Keep what this host ran, to compare with a report that lags."""
        self.history.append((now, self.batch, self.online))
        while self.history[0][0] < now - HISTORY_SECONDS:
            self.history.popleft()

    def read_most(self, since):
        """Return the most that this host ran at once since a past time."""
        return max(
            (batch + online for at, batch, online in self.history if at >= since),
            default=0,
        )


class SpareRoom(Room):
    """Room that online requests leave at each endpoint.

    Parameters
    ----------
    clock : Clock
    limits : RoomLimits
    """

    def __init__(self, clock, limits):
        self._clock = clock
        self.limits = limits
        self._places = {}

    @property
    def batch_count(self):
        """Number of items that run now."""
        return sum(place.batch for place in self._places.values())

    def set_endpoints(self, endpoints, assigned, handed_over=()):
        """Take the endpoints.

        Parameters
        ----------
        endpoints : dict of str to Endpoint
        assigned : collection of str
            Names of those that this host, rather than another, fills.
        handed_over : collection of str, optional
            Names of those at which it starts nothing, since it can't connect and
            another host does.
        """
        for name, endpoint in endpoints.items():
            place = self._places.setdefault(name, _Place(endpoint))
            place.endpoint = endpoint
            place.take_part(name in assigned, name in handed_over)
        for name in set(self._places) - set(endpoints):
            if not self._places[name].batch:
                del self._places[name]

    def list_assigned(self):
        """Return the endpoints that this host fills."""
        return [p.endpoint for p in self._places.values() if p.assigned]

    def note_report(self, name, running, waiting):
        """Take an endpoint's load report."""
        if name in self._places:
            now = self._clock.read_elapsed()
            self._places[name].report = LoadReport(running, waiting, now)

    def note_running(self, name, total):
        """Take the number of all attempts of this host at an endpoint."""
        place = self._places.get(name)
        if place is not None:
            place.online = max(0, total - place.batch)

    def take(self, call):
        """Return the emptiest endpoint that may run one more item."""
        if self.batch_count >= self.limits.concurrency:
            return None
        now = self._clock.read_elapsed()
        suited = [
            place
            for place in self._places.values()
            if call.suits(place.endpoint) and place.avoided_until <= now
            if not place.handed_over
        ]
        candidates = [p for p in suited if p.assigned] or suited
        free = [p for p in candidates if p.batch < self._get_limit(p)]
        if not free:
            return None
        place = min(free, key=lambda p: p.batch / p.endpoint.slots)
        place.batch += 1
        return place.endpoint.name

    def has_place(self, call):
        """Return whether an endpoint suits, full or not."""
        return any(call.suits(place.endpoint) for place in self._places.values())

    def fills_place(self, call):
        """Return whether an endpoint that this host fills suits."""
        return any(
            place.assigned and call.suits(place.endpoint)
            for place in self._places.values()
        )

    def list_handed_over(self):
        """Return names of endpoints at which this host starts nothing."""
        return {name for name, place in self._places.items() if place.handed_over}

    def is_handed_over(self, call):
        """Return whether all endpoints that suit are left to other hosts."""
        suited = [p for p in self._places.values() if call.suits(p.endpoint)]
        return bool(suited) and all(place.handed_over for place in suited)

    def give(self, endpoint):
        """Count one item less at an endpoint."""
        self._places[endpoint].batch -= 1

    def note_outcome(self, endpoint, worked):
        """Keep away for a while from an endpoint that fails."""
        place = self._places[endpoint]
        place.failures = 0 if worked else place.failures + 1
        if not worked:
            pause = AVOID_SECONDS * 2 ** min(place.failures - 1, AVOID_DOUBLINGS)
            place.avoided_until = self._clock.read_elapsed() + pause

    def decide(self):
        """Set each endpoint's limit anew; return what is over it."""
        now = self._clock.read_elapsed()
        excess = {}
        for name, place in self._places.items():
            place.note(now)
            allowed = self._compute_allowed(place, now)
            place.limit = min(allowed, place.limit + self._compute_step(place, now))
            if place.batch > self._get_limit(place):
                excess[name] = place.batch - self._get_limit(place)
        return excess

    def _compute_step(self, place, now):
        """Return how much an endpoint's limit may have grown since last time."""
        since, place.decided_at = now - place.decided_at, now
        return place.endpoint.slots * RAMP_PART_PER_SECOND * min(since, 1.0)

    def _get_limit(self, place):
        limit = math.floor(place.limit)
        return limit if place.assigned else min(limit, FOREIGN_LIMIT)

    def _compute_allowed(self, place, now):
        fill = math.floor(place.endpoint.slots * self.limits.spare_share)
        others = self._estimate_others(place, now)
        reserve = max((online for _, _, online in place.history), default=0)
        return max(0, fill - max(place.online, reserve) - others)

    def _estimate_others(self, place, now):
        """Return what other hosts run at an endpoint.

        Notes
        -----
        The report tells what ran a while ago, this host's own part included,
        and how long ago is not known. The most that this host ran since is
        taken off, so that its own burst isn't counted twice.
        """
        report = place.report
        if not place.assigned:
            return 0
        if report is None or now - report.at > REPORT_LIFE_SECONDS:
            return 0
        own = place.read_most(report.at - self.limits.load_lag)
        return max(0, report.running + report.waiting - own)


class FixedRoom(Room):
    """A fixed number of items at each endpoint; a baseline for comparison.

    Parameters
    ----------
    limits : RoomLimits
    """

    def __init__(self, limits):
        self.limits = limits
        self._endpoints = {}
        self._handed_over = {}
        self._running = Counter()

    def set_endpoints(self, endpoints, assigned, handed_over=()):
        """Take the endpoints that this host fills."""
        self._handed_over = {n: e for n, e in endpoints.items() if n in handed_over}
        self._endpoints = {n: e for n, e in endpoints.items() if n in assigned}

    def list_assigned(self):
        """Return nothing: no load reports are needed."""
        return []

    def note_running(self, name, total):
        """Go on as before."""

    def take(self, call):
        """Return the emptiest endpoint below the limit."""
        suited = [n for n, e in self._endpoints.items() if call.suits(e)]
        free = [n for n in suited if self._running[n] < self.limits.fixed_items]
        if not free or self._running.total() >= self.limits.concurrency:
            return None
        name = min(free, key=lambda n: self._running[n])
        self._running[name] += 1
        return name

    def has_place(self, call):
        """Return whether an endpoint of this host suits, full or not."""
        return any(map(call.suits, self._endpoints.values()))

    def fills_place(self, call):
        """Return whether an endpoint of this host suits."""
        return self.has_place(call)

    def list_handed_over(self):
        """Return names of endpoints that other hosts fill for this one."""
        return set(self._handed_over)

    def is_handed_over(self, call):
        """Return whether only endpoints that were handed to others suit."""
        is_elsewhere = any(map(call.suits, self._handed_over.values()))
        return is_elsewhere and not self.has_place(call)

    def give(self, endpoint):
        """Count one item less."""
        self._running[endpoint] -= 1

    def note_outcome(self, endpoint, worked):
        """Go on as before."""

    def decide(self):
        """Return nothing: a fixed room never gives way."""
        return {}
