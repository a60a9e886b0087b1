"""State of limited endpoints: a budget for each source of a limit.

An endpoint may have an announced limit and be cold at once. Either may end first, so
each has a budget of its own.
"""

import enum

from attrs import define, field

from .budget import RequestBudget, make_cold_budget

__all__ = ["LimitSource", "LimitedEndpoint", "LimitedEndpoints"]

# Time in which half of a peak of online requests at an endpoint is forgotten.
PEAK_HALF_LIFE_SECONDS = 10.0


class LimitSource(enum.Enum):
    """Why an endpoint takes a limited number of requests."""

    # Its answers name a limit.
    ANNOUNCED = "announced"
    # It has just started, or says that it is as if it had.
    COLD = "cold"


@define
class LimitedEndpoint:
    """Budgets of one endpoint process, all of which have to allow a request.

    Parameters
    ----------
    start_time_ms : int
        Identifies the process.

    Attributes
    ----------
    budgets : dict of LimitSource to RequestBudget
        At least one.
    may_take : bool
        Whether this host may send to the endpoint.
    competitors : int
        Hosts that may, this one included if it may.
    reporting : int
        Those of them that are reporting, this host included.
    share_due_at, draw_due_at : float
        Elapsed times from which the share of the rate and the draw are out of date.
    has_won : bool
        Whether the last draw allows this host a request.
    peak : float
        Slots that online requests have lately taken there at a time.
    peak_at : float
        Elapsed time of the peak.
    """

    start_time_ms = field()
    budgets = field(factory=dict)
    may_take = field(default=False)
    competitors = field(default=1)
    reporting = field(default=1)
    share_due_at = field(default=float("-inf"))
    draw_due_at = field(default=float("-inf"))
    has_won = field(default=False)
    peak = field(default=0.0)
    peak_at = field(default=0.0)

    @property
    def is_strict(self):
        """Whether any of its bounds leaves no room for what isn't known yet."""
        return LimitSource.COLD in self.budgets

    @property
    def is_paced(self):
        """Whether this host's part of the room is less than a request."""
        return any(budget.odds_factor < 1 for budget in self.budgets.values())

    @property
    def draw_seconds(self):
        """Interval at which this host draws lots for a request."""
        return max(budget.draw_seconds for budget in self.budgets.values())

    def add_budget(self, source, budget):
        """Add the budget of a source; the share and the draw are made anew."""
        self.budgets[source] = budget
        self.share_due_at = self.draw_due_at = float("-inf")
        self.has_won = False

    def set_group(self, names, own, is_reporting, now):
        """Note which hosts may send to the endpoint, and which of them report."""
        self.may_take = own in names
        self.competitors = len(names)
        self.reporting = sum(name == own or is_reporting(name) for name in names)
        for budget in self.budgets.values():
            budget.set_share(self.reporting / len(names), now)

    def has_room(self, spare, now):
        """Return whether a request may be sent that leaves room for `spare` more."""
        # Called for each limited endpoint at each choice; a loop costs less than `all`.
        for budget in self.budgets.values():
            least = max(0.0, spare) if budget.bounds.is_strict else spare
            if not budget.has_room(least, now):
                return False
        return True

    def is_unused(self, now):
        """Return whether room is lost unless a request is sent soon."""
        for budget in self.budgets.values():
            if not budget.is_unused(now):
                return False
        return True

    def has_item_room(self, now):
        """Return whether a batch item may be sent, which leaves room for requests."""
        return all(budget.has_item_room(now) for budget in self.budgets.values())

    def count_startable(self, seconds, now):
        """Return how many requests all hosts together may send within some seconds."""
        budgets = self.budgets.values()
        return min(budget.count_startable(seconds, now) for budget in budgets)

    def compute_odds(self, contenders, now):
        """Return this host's chance of one of the requests that there is room for."""
        budgets = self.budgets.values()
        rooms = [budget.measure_room(now) * budget.odds_factor for budget in budgets]
        return min(rooms) / contenders

    def charge(self, count, now):
        """Count requests that this host or others have sent."""
        for budget in self.budgets.values():
            budget.charge(count, now)

    def note_online(self, online, now):
        """Note how many online requests run there."""
        halvings = (now - self.peak_at) / PEAK_HALF_LIFE_SECONDS
        self.peak = max(online, self.peak * 0.5**halvings)
        self.peak_at = now


class LimitedEndpoints:
    """The endpoints on which any limit is in force, by name."""

    def __init__(self):
        self._endpoints = {}

    def __len__(self):
        return len(self._endpoints)

    def find(self, endpoint):
        """Return the `LimitedEndpoint` of a `FleetEndpoint`'s process, or None."""
        limited = self._endpoints.get(endpoint.name)
        if limited is None or limited.start_time_ms != endpoint.start_time_ms:
            return None
        return limited

    def list_cold(self):
        """Return the names of those that are cold, as a set."""
        return {
            name
            for name, limited in self._endpoints.items()
            if LimitSource.COLD in limited.budgets
        }

    def charge(self, name, count, now):
        """Count requests of other hosts to an endpoint, if it is limited."""
        if name in self._endpoints:
            self._endpoints[name].charge(count, now)

    def keep_only(self, names):
        """Remove all but some endpoints."""
        self._endpoints = {n: x for n, x in self._endpoints.items() if n in names}

    def set_announced(self, name, found, now):
        """Let an endpoint's budget follow its announced limit.

        Parameters
        ----------
        name : str
        found : (int, LimitStatement) or None
            Start of the process, and the statement that is in force.
        now : float
        """
        if found is None or not found[1].is_limit:
            self._remove_budget(name, LimitSource.ANNOUNCED)
            return
        start_time_ms, statement = found
        limited = self._find_or_add(name, start_time_ms)
        if limited is None:
            return
        budget = limited.budgets.get(LimitSource.ANNOUNCED)
        if budget is None:
            budget = RequestBudget(start_time_ms, now, statement.rate)
            limited.add_budget(LimitSource.ANNOUNCED, budget)
        else:
            budget.set_rate(statement.rate, now)

    def set_cold(self, change, bounds, now):
        """Let an endpoint's budget follow a `ColdChange`, by some `ColdBounds`."""
        self._remove_budget(change.name, LimitSource.COLD)
        if change.rate is None:
            return
        limited = self._find_or_add(change.name, change.start_time_ms)
        if limited is None:
            return
        allowed = bounds.allow(change.rate)
        budget = make_cold_budget(
            change.start_time_ms, now, change.rate, allowed, change.is_new
        )
        limited.add_budget(LimitSource.COLD, budget)

    def _find_or_add(self, name, start_time_ms):
        """Return the `LimitedEndpoint` of a process; None if a newer one is known."""
        limited = self._endpoints.get(name)
        if limited is None or limited.start_time_ms < start_time_ms:
            limited = self._endpoints[name] = LimitedEndpoint(start_time_ms)
        return limited if limited.start_time_ms == start_time_ms else None

    def _remove_budget(self, name, source):
        limited = self._endpoints.get(name)
        if limited is None:
            return
        limited.budgets.pop(source, None)
        if not limited.budgets:
            del self._endpoints[name]
