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
WORTHWHILE_SECONDS = 1.0
# Least time for an item that would be late otherwise: enough for its prompt and some
# events.
LEAST_SECONDS = 0.3
# Allowance for the next trough to be used by other items first.
DUE_MARGIN_SECONDS = 1.0


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
    """

    reason = field()
    seconds = field()


class StartPolicy:
    """Finds the endpoints whose free slots last long enough for an item.

    Valid for one round of decisions: the forecast's answers are kept.

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

    def find(self, item, endpoints):
        """Return ``(reason, endpoints)`` for the first rule that any of them meets.

        Parameters
        ----------
        item : OwnedItem
        endpoints : list of FleetEndpoint
            With free slots.

        Returns
        -------
        (StartReason, list of FleetEndpoint)
            The reason is None if the list is empty.
        """
        if self._outlook is None:
            return StartReason.NO_FORECAST, endpoints
        for rule in self._list_rules(item, endpoints):
            lasting = [e for e in endpoints if self._lasts(e, rule.seconds)]
            if lasting:
                return rule.reason, lasting
        return None, []

    def _list_rules(self, item, endpoints):
        remaining = item.estimate_remaining_seconds(self._pace)
        rules = [_Rule(StartReason.RUNS_TO_END, remaining)]
        if remaining > WORTHWHILE_SECONDS:
            rules.append(_Rule(StartReason.MAKES_PROGRESS, WORTHWHILE_SECONDS))
        if self._is_due_soon(item, remaining, endpoints):
            rules.append(_Rule(StartReason.DUE_SOON, min(remaining, LEAST_SECONDS)))
        return rules

    def _is_due_soon(self, item, remaining, endpoints):
        """Return whether an item would be late if it waited for the next trough."""
        periods = (self._outlook.get_period(e.service) for e in endpoints)
        wait = max((p for p in periods if p is not None), default=0.0)
        slack = item.job.manifest.due_at - self._now - remaining
        return slack < wait + DUE_MARGIN_SECONDS

    def _lasts(self, endpoint, seconds):
        """Return whether a slot is expected to be free for some seconds."""
        key = (endpoint.name, math.ceil(seconds * 10))
        if key not in self._lasting:
            count = self._outlook.count_lasting_slots(endpoint, seconds)
            self._lasting[key] = count is None or count > 0
        return self._lasting[key]
