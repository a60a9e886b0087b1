"""Decide whether an item is worth starting in a slot that is free now.

Online demand alternates every few seconds, and an item takes about as long as a trough
lasts. What an interrupted item has received is kept, but its prompt and events are
read again, and the request that takes its slot waits for the interruption.
"""

import enum
import math

from attrs import field, frozen

__all__ = ["StartPolicy", "StartReason"]

# A run this long is worth the start of another one.
WORTHWHILE_SECONDS = 0.6
# Least time for an item that would be late otherwise: enough for its prompt and some
# events.
LEAST_SECONDS = 0.5
# Allowance for the next trough to be used by other items first.
DUE_MARGIN_SECONDS = 1.0
# Times that are equal to this precision share an answer of the forecast.
STEPS_PER_SECOND = 10


class StartReason(enum.Enum):
    """Why an item may start."""

    NO_FORECAST = "no forecast"
    RUNS_TO_END = "free until its end"
    MAKES_PROGRESS = "free for long enough"
    DUE_SOON = "due soon"


@frozen
class _Rule:
    """How long a slot has to be free for an item.

    Parameters
    ----------
    reason : StartReason
    seconds : float
    with_margin : bool, optional
        Whether it has to be free also if demand exceeds the forecast by its error.
    """

    reason = field()
    seconds = field()
    with_margin = field(default=True)


ANY_SLOT = _Rule(StartReason.NO_FORECAST, 0.0)


class StartPolicy:
    """Finds an endpoint whose free slot lasts long enough for an item.

    Valid for one round of decisions: the forecast's answers are kept, since hundreds
    of items may wait.

    Parameters
    ----------
    outlook : SlotOutlook or None
        None if items start in any free slot.
    pace : ItemPace
    now : float
        Seconds since the Unix epoch.
    """

    def __init__(self, outlook, pace, now):
        self._outlook = outlook
        self._pace = pace
        self._now = now
        self._lasting = {}
        self._limits = {}

    def find(self, item, services, scope, free, is_suitable):
        """Return the reason and the endpoint of the first rule that any meets.

        Parameters
        ----------
        item : OwnedItem
        services : tuple of str
        scope : WorkScope
        free : list of FleetEndpoint
            Endpoints of these services in this scope with free slots, most free slots
            last.
        is_suitable : callable
            Returns whether the item may run at an endpoint.

        Returns
        -------
        (StartReason, FleetEndpoint)
            Both are None if there is none.
        """
        for rule in self._list_rules(item, services):
            for endpoint in reversed(self._list_lasting(rule, (services, scope), free)):
                if is_suitable(endpoint):
                    return rule.reason, endpoint
        return None, None

    def take(self, endpoint):
        """Leave out an endpoint from now on."""
        for endpoints in self._lasting.values():
            if endpoint in endpoints:
                endpoints.remove(endpoint)

    def _list_rules(self, item, services):
        if self._outlook is None:
            return [ANY_SLOT]
        remaining = item.estimate_remaining_seconds(self._pace)
        rules = [_Rule(StartReason.RUNS_TO_END, remaining)]
        if remaining > WORTHWHILE_SECONDS:
            rules.append(_Rule(StartReason.MAKES_PROGRESS, WORTHWHILE_SECONDS))
        if self._is_due_soon(item, remaining, services):
            seconds = min(remaining, LEAST_SECONDS)
            rules.append(_Rule(StartReason.DUE_SOON, seconds, with_margin=False))
        return rules

    def _is_due_soon(self, item, remaining, services):
        """Return whether an item would be late if it waited for the next trough."""
        periods = [self._outlook.get_period(service) or 0.0 for service in services]
        slack = item.job.manifest.due_at - self._now - remaining
        return slack < max(periods, default=0.0) + DUE_MARGIN_SECONDS

    def _list_lasting(self, rule, place, free):
        """Return the endpoints whose free slots last as a rule demands."""
        key = (place, math.ceil(rule.seconds * STEPS_PER_SECOND), rule.with_margin)
        if key not in self._lasting:
            self._lasting[key] = [e for e in free if self._lasts(e, rule)]
        return self._lasting[key]

    def _lasts(self, endpoint, rule):
        if self._outlook is None:
            return True
        if endpoint.name not in self._limits:
            limit = self._outlook.find_demand_limit(endpoint)
            self._limits[endpoint.name] = limit
        peak = self._outlook.predict_peak(
            endpoint.service, rule.seconds, rule.with_margin
        )
        return peak <= self._limits[endpoint.name]
