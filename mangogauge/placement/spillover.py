"""Whether a request leaves its data centre for an endpoint of another one.

Load that this handles: a data centre whose callers need more than its own endpoints,
for a moment or for good, while dozens of hosts see the same room elsewhere.

The hosts of a data centre don't see each other's latest choices. So the decision isn't
whether to send requests elsewhere, but which share of them: those that don't find a
free slot locally, and would wait there for longer than elsewhere and on the way. It is
bounded by the room elsewhere, of which each data centre counts only its part. As slots
become free locally the share falls to 0.
"""

import math

from attrs import define, field

__all__ = ["Spillover"]

# Approximate time for which a request holds its slot at an endpoint of typical rate.
SLOT_HOLD_SECONDS = 0.5
# Mean time by which counts of another data centre that come as summaries are older
# than those of this one.
SUMMARY_DELAY_SECONDS = 0.2

# Standard deviations of a Poisson number that are added to the expected requests. Free
# slots are spread over endpoints, of which some are chosen more often than others.
MARGIN_DEVIATIONS = 4


@define
class _Pool:
    """Endpoints of one side: this data centre, or all others.

    Attributes
    ----------
    known_free : int
        Slots that are free by the counts.
    unknown : float
        Variance of the number of requests that run there, because of the counts' age.
    per_second : float
        Slots that become free in a second when all are in use.
    """

    running = field(default=0)
    known_free = field(default=0)
    unknown = field(default=0.0)
    per_second = field(default=0.0)

    def add(self, candidate, age):
        """Add a candidate whose counts are `age` seconds old."""
        slots, load = candidate.endpoint.slots, candidate.load
        hold = SLOT_HOLD_SECONDS * candidate.rate_cost
        self.running += load.online
        self.known_free += max(0, slots - load.total)
        # That of a Poisson number of requests that began since.
        self.unknown += load.online * min(1.0, age / hold)
        self.per_second += slots / hold

    @property
    def free(self):
        """Slots that are free, less those that may have been taken since."""
        return max(0.0, self.known_free - math.sqrt(self.unknown))

    def estimate_wait(self, requests):
        """Return the mean seconds that the last of some requests waits for a slot."""
        if not self.per_second:
            return math.inf
        return max(0.0, requests - self.free) / self.per_second


class Spillover:
    """Decides which side's endpoints are preferred for a request.

    Parameters
    ----------
    way_seconds : float
        What the way to another data centre costs: a request stays local as long as it
        waits no longer than this beyond the wait elsewhere.
    random : random.Random

    Attributes
    ----------
    share : float
        Share of requests that the last decision sent to other data centres.
    """

    def __init__(self, way_seconds, random):
        self._way_seconds = way_seconds
        self._random = random
        self.share = 0.0

    def list_preferred(self, candidates, age, has_summaries):
        """Return the names of the endpoints that are preferred, as a frozenset.

        Parameters
        ----------
        candidates : list
            Endpoints with room, with ``endpoint``, ``load``, ``is_local`` and
            ``rate_cost``.
        age : float
            Mean age in seconds of the counts of this data centre's hosts.
        has_summaries : bool
            Whether counts of other data centres come as summaries.
        """
        self.share = self._compute_share(candidates, age, has_summaries)
        is_local = self._random.random() >= self.share
        return frozenset(c.endpoint.name for c in candidates if c.is_local is is_local)

    def _compute_share(self, candidates, age, has_summaries):
        local, remote = _Pool(), _Pool()
        remote_age = age + SUMMARY_DELAY_SECONDS if has_summaries else age
        for candidate in candidates:
            pool = local if candidate.is_local else remote
            # What began locally since is counted as contending.
            pool.add(candidate, 0.0 if candidate.is_local else remote_age)
        if not local.per_second:
            return 1.0
        if not remote.per_second:
            return 0.0
        # Requests of this data centre that its hosts haven't told each other of yet.
        expected = max(1.0, local.running * age / SLOT_HOLD_SECONDS)
        # In a rise of demand there are more than the running ones suggest.
        contending = expected + MARGIN_DEVIATIONS * math.sqrt(expected)
        room = self._count_usable_room(candidates, remote)
        excess = contending - local.free
        if excess <= 0:
            return 0.0
        sent = min(excess, room)
        gain = local.estimate_wait(contending) - remote.estimate_wait(sent)
        if gain <= self._way_seconds:
            return 0.0
        # Those that wait locally for no longer than the way costs stay.
        staying = self._way_seconds * local.per_second
        return min(max(0.0, excess - staying), sent) / contending

    def _count_usable_room(self, candidates, remote):
        """Return the part of other data centres' free slots that is left to this one.

        Notes
        -----
        Room of a data centre is used by all others, which see it at the same time.
        """
        places = {c.endpoint.data_centre for c in candidates if not c.is_local}
        return remote.free / max(1, len(places))
