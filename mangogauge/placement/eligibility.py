"""Whether work may go to an endpoint now.

An endpoint may be leaving, its data centre may be evacuated, or the work may be
restricted to regions that its data centre isn't in. All code that sends work asks the
same object, so that no path to an endpoint is left out. There is no fallback to an
ineligible endpoint, even if no other is left.

The question is asked for each endpoint at each choice, at hundreds of endpoints and
hundreds of requests a second.
"""

import enum
from collections import Counter
from functools import lru_cache

from attrs import field, frozen

from ..telemetry import get_logger

__all__ = [
    "ANYWHERE",
    "Eligibility",
    "IneligibilityReason",
    "WorkScope",
    "describe_reasons",
]

# Pairs of restrictions whose intersection is cached.
MAX_CACHED_SCOPES = 4_096

log = get_logger("eligibility")


class IneligibilityReason(enum.Enum):
    """Why work may not go to an endpoint; the value is named in logs."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    REGION = "region"


@frozen
class WorkScope:
    """Regions in which some work may run.

    Parameters
    ----------
    allowed_regions : frozenset of str, or None
        None if it may run in any; if empty, it may run nowhere.
    """

    allowed_regions = field(default=None)

    @classmethod
    def of(cls, route, account=None):
        """Return the scope of the requests of a route and a client account.

        Parameters
        ----------
        route : PrefixRoute
        account : Account, optional
            None if the route needs no key.
        """
        return _intersect(
            route.allowed_regions, None if account is None else account.allowed_regions
        )

    @property
    def is_restricted(self):
        """Whether there are regions in which the work may not run."""
        return self.allowed_regions is not None

    def includes(self, other):
        """Return whether this work may run wherever that of another scope may."""
        if self.allowed_regions is None:
            return True
        return other.is_restricted and other.allowed_regions <= self.allowed_regions


ANYWHERE = WorkScope()


class Eligibility:
    """Decides whether work may go to an endpoint.

    Parameters
    ----------
    directory : EndpointDirectory
        Tells which endpoints are leaving.
    regions : dict of str to str, optional
        Region of each data centre.

    Attributes
    ----------
    evacuated : frozenset of str
        Data centres that are evacuated, by the newest copy of the operators' entries.
    """

    def __init__(self, directory, regions=None):
        self._directory = directory
        self._regions = dict(regions or {})
        self.evacuated = frozenset()

    def apply_evacuations(self, data_centres):
        """Replace the set of evacuated data centres, and log what has changed.

        Parameters
        ----------
        data_centres : frozenset of str
        """
        if data_centres == self.evacuated:
            return
        for name in sorted(data_centres - self.evacuated):
            log.warning("data centre evacuated", extra={"evacuated": name})
        for name in sorted(self.evacuated - data_centres):
            log.warning("evacuation revoked", extra={"evacuated": name})
        self.evacuated = data_centres

    def is_eligible(self, endpoint, scope=ANYWHERE):
        """Return whether work may go to an endpoint.

        Parameters
        ----------
        endpoint : FleetEndpoint
        scope : WorkScope, optional
        """
        data_centre = endpoint.data_centre
        if data_centre in self.evacuated:
            return False
        allowed = scope.allowed_regions
        if allowed is not None and self._regions.get(data_centre) not in allowed:
            return False
        return not self._directory.is_leaving(endpoint)

    def make_exclusion_test(self, scope=ANYWHERE):
        """Return a callable that tells whether an endpoint is ineligible now.

        Parameters
        ----------
        scope : WorkScope, optional

        Notes
        -----
        For use within one choice, over all endpoints of a service. Without
        evacuations and regions it costs no more than the question for those that are
        leaving.
        """
        if not self.evacuated and not scope.is_restricted:
            return self._directory.is_leaving
        return lambda endpoint: not self.is_eligible(endpoint, scope)

    def find_reason(self, endpoint, scope=ANYWHERE):
        """Return the `IneligibilityReason` of an endpoint, None if it is eligible.

        Parameters
        ----------
        endpoint : FleetEndpoint
        scope : WorkScope, optional
        """
        if self._directory.is_leaving(endpoint):
            return IneligibilityReason.LEAVING
        if endpoint.data_centre in self.evacuated:
            return IneligibilityReason.EVACUATED
        if not self.is_eligible(endpoint, scope):
            return IneligibilityReason.REGION
        return None

    def find_current_reason(self, endpoint, scope=ANYWHERE):
        """Return as `find_reason`, by the endpoint's entry as it is now.

        Parameters
        ----------
        endpoint : FleetEndpoint
            As it was when it was chosen. If its entry has been removed since, it
            counts as leaving.
        scope : WorkScope, optional
        """
        current = self._directory.get(endpoint.name)
        if current is None:
            return IneligibilityReason.LEAVING
        return self.find_reason(current, scope)

    def count_reasons(self, endpoints, scope=ANYWHERE):
        """Return ``{IneligibilityReason: int}`` of the endpoints that are ineligible.

        Parameters
        ----------
        endpoints : iterable of FleetEndpoint
        scope : WorkScope, optional
        """
        is_ineligible = self.make_exclusion_test(scope)
        ineligible = filter(is_ineligible, endpoints)
        return Counter(self.find_reason(endpoint, scope) for endpoint in ineligible)

    def is_evacuated(self, endpoint):
        """Return whether an endpoint is in an evacuated data centre."""
        return endpoint.data_centre in self.evacuated

    def may_carry(self, data_centre, scope):
        """Return whether a host of a data centre may carry the body of some work.

        Parameters
        ----------
        data_centre : str
        scope : WorkScope
        """
        allowed = scope.allowed_regions
        return allowed is None or self._regions.get(data_centre) in allowed

    def is_same_region(self, data_centre, other):
        """Return whether two data centres are known to be in one region."""
        if data_centre == other:
            return True
        region = self._regions.get(data_centre)
        return region is not None and region == self._regions.get(other)


def describe_reasons(reasons):
    """Return counts of reasons as text, for example ``8 evacuated, 4 region``.

    Parameters
    ----------
    reasons : dict of IneligibilityReason to int
    """
    counts = sorted((reason.value, count) for reason, count in reasons.items())
    return ", ".join(f"{count} {name}" for name, count in counts)


@lru_cache(MAX_CACHED_SCOPES)
def _intersect(first, second):
    """Return the `WorkScope` of two sets of regions, either of which may be None."""
    if first is None or second is None:
        both = first if second is None else second
    else:
        both = first & second
    return ANYWHERE if both is None else WorkScope(both)
