"""Choice of the endpoint of an online request.

Several hosts share engines that have no priorities and admit requests in order of
arrival. Each host gets the others' counts within milliseconds, so it chooses the
endpoint with the most free slots. If no slot is free, it chooses the endpoint with
the fewest online requests, where a batch item will be preempted. If only online
requests run there, a request may queue only as long as its objective allows.
Endpoints of the host's own data centre are preferred while they are lightly loaded,
so that fewer requests are lost if the data centre is cut off. Dozens of hosts hear of
other data centres by summaries only. What runs there may have doubled since in a
burst, so then local endpoints are preferred as long as they have a free slot.

When many hosts choose at the same time, their counts don't yet include each other's
choices, and all of them would choose the same endpoint. So each host chooses the
best of a random sample, which is the smaller, the more requests are unreported.
"""

import math

from attrs import field, frozen

from ..backpressure import Work
from ..sharing import estimate_report_delay
from .eligibility import ANYWHERE, Eligibility

__all__ = ["EndpointChooser"]

# Requests that may queue at an endpoint beyond its slots: one slot in eight
# becomes free soon enough for a request to start well within its objective.
QUEUED_PER_SLOT = 0.125
# Limit of requests and items together, which holds even if items are about to be
# preempted.
MAX_REQUESTS_PER_SLOT = 1.5
# Load up to which a local endpoint is preferred to a less loaded remote one, by
# whether other data centres' loads come as summaries.
LOCAL_LOAD_PER_SLOT = {False: 0.6, True: 1.0}
# Approximate time for which a request holds its slot.
SLOT_HOLD_SECONDS = 0.5
# Minimum size of the random sample.
MIN_SAMPLED = 2


class EndpointChooser:
    """Chooses endpoints by load, health, trust and data centre.

    Parameters
    ----------
    directory : EndpointDirectory
    report_table : ReportTable
    health : EndpointHealth
    trust : EndpointTrust
    data_centre : str
        Data centre of this host; its endpoints win ties.
    random : random.Random
    limiter : EndpointLimiter, optional
        None if endpoints announce no limits.
    eligibility : Eligibility, optional
        By default only endpoints that are leaving are ineligible.
    spillover : Spillover, optional
        By default local endpoints are preferred up to a fixed load.
    """

    def __init__(
        self,
        directory,
        report_table,
        health,
        trust,
        data_centre,
        random,
        limiter=None,
        eligibility=None,
        spillover=None,
    ):
        self._directory = directory
        self._report_table = report_table
        self._health = health
        self._trust = trust
        self._data_centre = data_centre
        self._random = random
        self._limiter = limiter
        self._eligibility = eligibility or Eligibility(directory)
        self._spillover = spillover

    def choose(
        self, service, excluded=(), may_repeat=False, software=None, scope=ANYWHERE
    ):
        """Return a `FleetEndpoint` with room for an online request, or None.

        Parameters
        ----------
        service : str
        excluded : collection of str
            Names of endpoints that were tried already.
        may_repeat : bool, optional
            Whether the request may be retried at another endpoint.
        software : str, optional
            The only software version at which the request may run.
        scope : WorkScope, optional
        """
        healthy = self._list_healthy(service, excluded, software, scope)
        work = _classify(software)
        trial = self._choose_trial(healthy, may_repeat, work)
        if trial is not None:
            return trial
        candidates = self._list_candidates(healthy, work)
        if not candidates:
            return None
        unreported = self._estimate_unreported(candidates)
        preferred = self._list_preferred(candidates, unreported)
        with_grades = [(self._compute_grade(c, preferred), c) for c in candidates]
        best = min(grade for grade, _ in with_grades)
        best_candidates = [c for grade, c in with_grades if grade == best]
        # Sized so that about one unreported request falls on each sample.
        size = max(MIN_SAMPLED, math.ceil(len(candidates) / max(1.0, unreported)))
        sampled = self._random.sample(best_candidates, min(len(best_candidates), size))
        return min(sampled, key=self._rank).endpoint

    def list_usable(
        self, service, excluded=(), trials=False, software=None, scope=ANYWHERE
    ):
        """Return the endpoints that accept requests, whatever their load.

        If none does, these are all healthy ones; ineligible ones are never included.

        Parameters
        ----------
        service : str
        excluded : collection of str
        trials : bool, optional
            Whether to include ejected endpoints that respond or are due for a
            trial.
        software : str, optional
            The only software version that is usable.
        scope : WorkScope, optional
        """
        healthy = self._list_healthy(service, excluded, software, scope)
        accepts = self._trust.accepts_items if trials else self._trust.accepts_requests
        return [e for e in healthy if accepts(e.name)] or healthy

    def _list_candidates(self, healthy, work):
        """Return the endpoints with room; ejected ones only if no other has room."""
        trusted = [
            e for e in healthy if self._trust.accepts_requests(e.name)
        ] or healthy
        candidates = self._measure_with_room(trusted, work)
        if not candidates and len(trusted) < len(healthy):
            fallbacks = [e for e in healthy if self._trust.is_fallback(e.name)]
            candidates = self._measure_with_room(fallbacks, work)
        return candidates

    def _measure_with_room(self, endpoints, work):
        accepting = self.list_accepting(endpoints, work)
        candidates = [self._measure(endpoint) for endpoint in accepting]
        return [candidate for candidate in candidates if candidate.has_room]

    def _list_healthy(self, service, excluded, software, scope):
        is_ineligible = self._eligibility.make_exclusion_test(scope)
        available = [
            endpoint
            for endpoint in self._directory.list_endpoints()
            if endpoint.service == service
            and not is_ineligible(endpoint)
            and endpoint.name not in excluded
            and software in (None, endpoint.software)
        ]
        healthy = [e for e in available if not self._is_unhealthy(e.name)]
        # If all seem unhealthy, this host's own network may be at fault.
        return healthy or available

    def is_trusted(self, endpoint):
        """Return whether an endpoint accepts work other than trials."""
        return self._trust.accepts_requests(endpoint.name)

    def count_ineligible(self, service, scope=ANYWHERE):
        """Return ``{IneligibilityReason: int}`` of a service's endpoints."""
        endpoints = self._directory.list_endpoints()
        of_service = [e for e in endpoints if e.service == service]
        return self._eligibility.count_reasons(of_service, scope)

    def count_slots(self, service, software=None, scope=ANYWHERE):
        """Return the total slots of the endpoints that accept requests."""
        usable = self.list_usable(service, software=software, scope=scope)
        return sum(endpoint.slots for endpoint in usable)

    def list_accepting(self, endpoints, work):
        """Return the endpoints whose limits allow some `Work` of this host now."""
        if not self._has_limits:
            return endpoints
        return [e for e in endpoints if self._limiter.accepts(e, work)]

    def take(self, endpoint):
        """Count work that is sent to an endpoint against its limit, if it has one."""
        if self._has_limits:
            self._limiter.take(endpoint)

    def measure_open_share(self, service, hold_seconds, software=None, scope=ANYWHERE):
        """Return the share of the slots that the endpoints' limits let requests use.

        Parameters
        ----------
        service : str
        hold_seconds : float
            Time for which a request holds a slot.
        software : str, optional
            The only software version at which requests may run.
        scope : WorkScope, optional
        """
        if not self._has_limits:
            return 1.0
        usable = self.list_usable(service, software=software, scope=scope)
        slots = sum(endpoint.slots for endpoint in usable)
        estimate = self._limiter.estimate_slots
        return sum(estimate(e, hold_seconds) for e in usable) / max(1, slots)

    def has_cold(self, service, software=None):
        """Return whether an endpoint that accepts requests is cold."""
        if not self._has_limits:
            return False
        usable = self.list_usable(service, software=software)
        return any(self._limiter.is_cold(endpoint) for endpoint in usable)

    @property
    def _has_limits(self):
        return self._limiter is not None and self._limiter.has_limits

    def _choose_trial(self, healthy, may_repeat, work):
        """Return an endpoint for which the request is a trial, or None."""
        if not self._trust.trials:
            return None
        for endpoint in self.list_accepting(healthy, work):
            if self._trust.is_ready_for_trial(endpoint.name, may_repeat):
                self._trust.begin_trial(endpoint.name)
                return endpoint
        return None

    def _is_unhealthy(self, name):
        return self._health.is_unhealthy(
            name
        ) or self._report_table.is_reported_unhealthy(name)

    def _measure(self, endpoint):
        load = self._report_table.measure(endpoint.name)
        is_local = endpoint.data_centre == self._data_centre
        cost = self._trust.get_cost(endpoint.name)
        rate_cost = self._trust.get_rate_cost(endpoint.name)
        return _Candidate(endpoint, load, is_local, cost, rate_cost)

    def _estimate_unreported(self, candidates):
        """Return how many requests of other hosts aren't reported yet.

        Notes
        -----
        Their ratio to the running requests is that of a report's age to the time
        for which a request holds its slot.
        """
        running = sum(candidate.load.online for candidate in candidates)
        return (
            running
            * estimate_report_delay(self._report_table.count_reports())
            / SLOT_HOLD_SECONDS
        )

    def _list_preferred(self, candidates, unreported):
        """Return the names of the endpoints that are preferred by their place."""
        has_summaries = self._report_table.has_summaries
        if self._spillover is None:
            max_load = LOCAL_LOAD_PER_SLOT[has_summaries]
            return _list_preferred(candidates, unreported, max_load)
        age = estimate_report_delay(self._report_table.count_reports())
        return self._spillover.list_preferred(candidates, age, has_summaries)

    def _compute_grade(self, candidate, preferred):
        """Return the criteria that precede load; the lowest grade is preferred."""
        name = candidate.endpoint.name
        by_place = name not in preferred
        by_load = candidate.is_full
        return (
            self._health.is_unverified(name),
            self._has_limits and self._limiter.is_saving(candidate.endpoint),
            # A spillover decision has compared the waits for a slot already.
            *((by_load, by_place) if self._spillover is None else (by_place, by_load)),
        )

    def _rank(self, candidate):
        return (
            candidate.ratio,
            self._health.paths.is_tunnelled(candidate.endpoint.name),
            not candidate.is_local,
            self._random.random(),
        )


@frozen
class _Candidate:
    """An endpoint and its known load.

    Parameters
    ----------
    endpoint : FleetEndpoint
    load : EndpointLoad
    is_local : bool
        Whether it is in this host's data centre.
    cost : float
        Relative cost of a request there: 1, or more if it is slow or in slow start.
    rate_cost : float
        Factor, at least 1, by which a request always takes longer there.
    """

    endpoint = field()
    load = field()
    is_local = field()
    cost = field()
    rate_cost = field()

    @property
    def has_room(self):
        """Whether an online request may be sent there."""
        if self.load.total >= self.endpoint.slots * MAX_REQUESTS_PER_SLOT:
            return False
        return self.load.online < self.endpoint.slots + self._queued

    @property
    def _queued(self):
        """Number of requests that may queue there.

        Notes
        -----
        Slots of a slower endpoint become free less often, so fewer requests may queue.
        """
        queued = self.endpoint.slots * QUEUED_PER_SLOT / self.rate_cost
        return math.floor(queued) if self.rate_cost > 1 else queued

    @property
    def is_full(self):
        """Whether all its slots are in use."""
        return self.load.total >= self.endpoint.slots

    @property
    def ratio(self):
        """Share of the slots in use with one more request, times the cost.

        If the endpoint is full, only online requests count, since batch items are
        preempted, and a request waits for as long as the endpoint is slower. While
        slots are free, equal loads give endpoints shares of the requests that follow
        their rates, since requests hold a slot for longer where it is slower. A lower
        load there would fill the faster endpoints in a rise of demand.
        """
        if not self.is_full:
            return (self.load.total + 1) / self.endpoint.slots * self.cost
        cost = max(self.cost, self.rate_cost)
        return (self.load.online + 1) / self.endpoint.slots * cost


def _classify(software):
    """Return the `Work` of a request; one that resumes runs at one version only."""
    return Work.ONLINE if software is None else Work.RESUMED


def _list_preferred(candidates, unreported, max_load):
    """Return the names of local endpoints loaded up to `max_load` per slot.

    Notes
    -----
    Empty if they are fewer than the unreported requests of this data centre, which
    would all go to these few endpoints.
    """
    local = [candidate for candidate in candidates if candidate.is_local]
    lightly_loaded = [c.endpoint.name for c in local if c.ratio <= max_load]
    is_insufficient = unreported * len(local) / len(candidates) > len(lightly_loaded)
    return () if is_insufficient else frozenset(lightly_loaded)
