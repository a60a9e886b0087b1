"""Choose the endpoint of an online request.

The load this answers: several hosts share engines that know no priorities and
admit in order of arrival. All hosts know within milliseconds what the others
run, so each takes the endpoint with the most free slots. Where none is free, it
takes the one with the fewest online requests, since there an item gives way;
where there are only online requests, one may queue only as far as its objective
allows. Endpoints of its own data centre come first as long as they are lightly
loaded: if the data centre is cut off, fewer requests are under way across the cut.

Where many hosts choose at the same time, by counts that don't yet show each other's
choices, all of them would take the same endpoint. So each takes the best of a few
drawn at random: the fewer, the more requests are under way that it can't know of.
"""

import math

from attrs import field, frozen

from ..sharing import estimate_report_delay

__all__ = ["EndpointChooser"]

# Requests that may wait at an endpoint beyond its slots: one slot in eight is
# freed soon enough to start well within the objective.
QUEUED_PER_SLOT = 0.125
# Requests of all kinds beyond which an endpoint gets no more, even if items are
# expected to give way.
MAX_REQUESTS_PER_SLOT = 1.5
# Load up to which an endpoint near by is taken though another has less.
LOCAL_LOAD_PER_SLOT = 0.6
# About how long a request holds its slot.
SLOT_HOLD_SECONDS = 0.5
# Least number of endpoints of which the best is taken.
MIN_SAMPLED = 2


class EndpointChooser:
    """Chooses by load, health and place.

    Parameters
    ----------
    directory : EndpointDirectory
    board : ReportTable
    health : EndpointHealth
    trust : EndpointTrust
    data_centre : str
        Of this host; among equals, an endpoint there is taken.
    random : random.Random
    """

    def __init__(self, directory, board, health, trust, data_centre, random):
        self._directory = directory
        self._board = board
        self._health = health
        self._trust = trust
        self._data_centre = data_centre
        self._random = random

    def choose(self, service, excluded=(), may_repeat=False):
        """Return a `FleetEndpoint` with room for an online request, or None.

        Parameters
        ----------
        service : str
        excluded : collection of str
            Endpoints that were tried already.
        may_repeat : bool, optional
            Whether another endpoint may run it if this one fails.
        """
        trial = self._choose_trial(service, excluded, may_repeat)
        if trial is not None:
            return trial
        candidates = self._list_candidates(service, excluded)
        if not candidates:
            return None
        unreported = self._estimate_unreported(candidates)
        preferred = _list_preferred(candidates, unreported)
        with_grades = [(self._compute_grade(c, preferred), c) for c in candidates]
        best = min(grade for grade, _ in with_grades)
        best_candidates = [c for grade, c in with_grades if grade == best]
        # About one request that isn't known of chooses among the same ones.
        size = max(MIN_SAMPLED, math.ceil(len(candidates) / max(1.0, unreported)))
        sampled = self._random.sample(best_candidates, min(len(best_candidates), size))
        return min(sampled, key=self._rank).endpoint

    def list_usable(self, service, excluded=(), trials=False):
        """Return the endpoints that may get requests, loaded ones included.

        Parameters
        ----------
        service : str
        excluded : collection of str
        trials : bool, optional
            Whether ejected ones that do answer, or may be tried, are among them.
        """
        healthy = self._list_healthy(service, excluded)
        accepts = self._trust.accepts_items if trials else self._trust.accepts_requests
        return [e for e in healthy if accepts(e.name)] or healthy

    def _list_candidates(self, service, excluded):
        """Return those with room: ejected ones only where no other has any."""
        healthy = self._list_healthy(service, excluded)
        trusted = [
            e for e in healthy if self._trust.accepts_requests(e.name)
        ] or healthy
        candidates = self._measure_with_room(trusted)
        if not candidates and len(trusted) < len(healthy):
            fallbacks = [e for e in healthy if self._trust.is_fallback(e.name)]
            candidates = self._measure_with_room(fallbacks)
        return candidates

    def _measure_with_room(self, endpoints):
        candidates = [self._measure(endpoint) for endpoint in endpoints]
        return [candidate for candidate in candidates if candidate.has_room]

    def _list_healthy(self, service, excluded):
        available = [
            endpoint
            for endpoint in self._directory.list_endpoints()
            if endpoint.service == service
            and not self._directory.is_leaving(endpoint)
            and endpoint.name not in excluded
        ]
        healthy = [e for e in available if not self._is_unhealthy(e.name)]
        # If all of them seem unsound, the fault may be this host's own view.
        return healthy or available

    def is_trusted(self, endpoint):
        """Return whether an endpoint gets work beside trials."""
        return self._trust.accepts_requests(endpoint.name)

    def count_slots(self, service):
        """Return the slots of all endpoints that may get requests."""
        return sum(endpoint.slots for endpoint in self.list_usable(service))

    def _choose_trial(self, service, excluded, may_repeat):
        """Return an endpoint that a request may try, or None."""
        if not self._trust.trials:
            return None
        for endpoint in self._list_healthy(service, excluded):
            if self._trust.is_ready_for_trial(endpoint.name, may_repeat):
                self._trust.begin_trial(endpoint.name)
                return endpoint
        return None

    def _is_unhealthy(self, name):
        return self._health.is_unhealthy(name) or self._board.is_reported_unhealthy(
            name
        )

    def _measure(self, endpoint):
        load = self._board.measure(endpoint.name)
        is_local = endpoint.data_centre == self._data_centre
        cost = self._trust.get_cost(endpoint.name)
        return _Candidate(endpoint, load, is_local, cost)

    def _estimate_unreported(self, candidates):
        """Return how many requests other hosts have sent that aren't known of yet.

        Notes
        -----
        They are to what runs as the age of a report is to the time that a request
        holds its slot.
        """
        running = sum(candidate.load.online for candidate in candidates)
        return (
            running
            * estimate_report_delay(self._board.count_reports())
            / SLOT_HOLD_SECONDS
        )

    def _compute_grade(self, candidate, preferred):
        """Return what comes before load: the lower, the sooner an endpoint is taken."""
        name = candidate.endpoint.name
        return (
            self._health.is_unverified(name),
            candidate.is_full,
            name not in preferred,
        )

    def _rank(self, candidate):
        return candidate.ratio, not candidate.is_local, self._random.random()


@frozen
class _Candidate:
    """An endpoint, and what runs there as far as is known.

    Parameters
    ----------
    endpoint : FleetEndpoint
    load : EndpointLoad
    is_near : bool
        Whether it is in this host's data centre.
    cost : float
        What a request costs there: 1, or more if it is slow or growing back.
    """

    endpoint = field()
    load = field()
    is_local = field()
    cost = field()

    @property
    def has_room(self):
        """Whether an online request may be sent there."""
        if self.load.total >= self.endpoint.slots * MAX_REQUESTS_PER_SLOT:
            return False
        return self.load.online < self.endpoint.slots * (1 + QUEUED_PER_SLOT)

    @property
    def is_full(self):
        """Whether all its slots are taken."""
        return self.load.total >= self.endpoint.slots

    @property
    def ratio(self):
        """The part of the slots that would be taken, of those that matter, by cost."""
        counted = self.load.online if self.is_full else self.load.total
        return (counted + 1) / self.endpoint.slots * self.cost


def _list_preferred(candidates, unreported):
    """Return the names of endpoints near by that are lightly loaded.

    Notes
    -----
    None if they are fewer than the requests of this data centre that aren't known
    of: all of those would go to the few that are left.
    """
    local = [candidate for candidate in candidates if candidate.is_local]
    lightly_loaded = [c.endpoint.name for c in local if c.ratio <= LOCAL_LOAD_PER_SLOT]
    is_insufficient = unreported * len(local) / len(candidates) > len(lightly_loaded)
    return () if is_insufficient else frozenset(lightly_loaded)
