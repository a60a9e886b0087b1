"""Requests that a limited endpoint may still get, as one host knows it."""

from collections import deque

from attrs import define, field, frozen

__all__ = ["ANNOUNCED_BOUNDS", "BudgetBounds", "RequestBudget", "make_cold_budget"]

# An endpoint whose limit is 0 still gets requests at this rate, since only an answer
# shows the end of the limit.
MIN_REQUESTS_PER_SECOND = 0.25


@frozen
class BudgetBounds:
    """What a budget allows beyond its rate.

    Parameters
    ----------
    burst_requests, burst_seconds : float
        Requests that may come at once after a pause: this many, and those of so many
        seconds.
    window_seconds : float
    window_share, window_requests : float
        Most requests in any window: this multiple of what the rate allows, and this
        many.
    draw_seconds : float
        Interval at which a host looks anew whether it may take what several hosts may
        want.
    is_strict : bool
        Whether the bound is so close that hosts which aren't heard, resumed streams
        and hosts that don't wait yet have no room beyond it.
    """

    burst_requests = field()
    burst_seconds = field()
    window_seconds = field()
    window_share = field()
    window_requests = field()
    draw_seconds = field()
    is_strict = field(default=False)


ANNOUNCED_BOUNDS = BudgetBounds(
    burst_requests=3.0,
    burst_seconds=3.0,
    window_seconds=4.0,
    window_share=1.4,
    window_requests=2.0,
    draw_seconds=0.02,
)
# Part of the requests allowed in a second beyond the rate that may come at once. The
# rest is for what hosts don't know of each other yet.
COLD_BURST_SHARE = 0.4
# Time within which nearly all hosts read an entry after the first one has.
LEARN_SECONDS = 0.5
# Longer than a host takes to hear of another one's request, delayed reads included.
COLD_DRAW_SECONDS = 0.06
# The same for a host that hears so few others that its part is less than a request.
ALONE_DRAW_SECONDS = 1.0
# Part of the room for bursts that batch items leave to requests.
ITEM_SPARE_SHARE = 0.5
# Part of a bucket that is full at the start: what was sent before isn't known.
INITIAL_LEVEL_SHARE = 0.5
# Bounds of what is worked off later: others' requests of long ago no longer matter.
MAX_DEBT_REQUESTS = 2.0
MAX_DEBT_SECONDS = 2.0


@define
class RequestBudget:
    """Leaky bucket of all hosts' requests to one endpoint process.

    It starts half full, since nobody knows what was sent before the limit was heard of.
    What it allows after a pause is bounded in any window of its bounds too.

    Parameters
    ----------
    start_time_ms : int
        Identifies the process.
    now : float
        Elapsed time at which the limit was heard of.
    rate : float
        Requests a second that the endpoint takes from all hosts.
    bounds : BudgetBounds, optional
    initial_share : float, optional
        Part of the bucket that is full at the start; above 1 for a debt.

    Attributes
    ----------
    share : float
        Part of the rate that may be used: that of the hosts that are heard.
    """

    start_time_ms = field()
    _updated_at = field(alias="now")
    _rate = field(
        alias="rate", converter=lambda rate: max(rate, MIN_REQUESTS_PER_SECOND)
    )
    bounds = field(default=ANNOUNCED_BOUNDS)
    initial_share = field(default=INITIAL_LEVEL_SHARE)
    share = field(default=1.0, init=False)
    _level = field(init=False)
    # Requests that may come at once after a pause, from the hosts that are heard.
    _burst = field(init=False)
    _capacity = field(init=False)
    # Pairs of a time and how many requests were sent, within the window.
    _recent = field(factory=deque, init=False)
    _recent_count = field(default=0, init=False)

    def __attrs_post_init__(self):
        self._resize()
        self._level = self.initial_share * self._capacity

    @property
    def odds_factor(self):
        """Part of the usual odds of a draw: below 1 if the room is part of a request.

        Notes
        -----
        Hosts that hear nobody each have a part of the bucket. They can only send whole
        requests, so all of them would exceed it together.
        """
        return min(1.0, self._burst) if self.bounds.is_strict else 1.0

    @property
    def draw_seconds(self):
        """Interval at which a host draws lots for a request."""
        return self.bounds.draw_seconds if self.odds_factor == 1 else ALONE_DRAW_SECONDS

    def set_share(self, share, now):
        """Use only a part of the rate from now on."""
        self._update(now)
        self.share = share
        self._resize()

    def set_rate(self, rate, now):
        """Put another limit in force."""
        self._update(now)
        self._rate = max(rate, MIN_REQUESTS_PER_SECOND)
        self._resize()
        self._level = min(self._level, self._most)

    def measure_room(self, now):
        """Return how many requests may be sent at once; negative for a debt."""
        self._update(now)
        recent, bounds = self._recent, self.bounds
        while recent and recent[0][0] <= now - bounds.window_seconds:
            self._recent_count -= recent.popleft()[1]
        window_rate = bounds.window_share * self._rate
        window = bounds.window_requests + bounds.window_seconds * window_rate
        return min(self._capacity - self._level, window - self._recent_count)

    def has_room(self, spare, now):
        """Return whether a request may be sent that leaves room for `spare` more."""
        return 1.0 + spare <= self.measure_room(now)

    def is_unused(self, now):
        """Return whether room is lost unless a request is sent soon."""
        self._update(now)
        return self._level <= 0.0

    def has_item_room(self, now):
        """Return whether a batch item may be sent, which leaves room for requests."""
        if not self.has_room(1.0, now):
            return False
        return self._level <= (self._capacity - 1.0) * (1.0 - ITEM_SPARE_SHARE)

    def count_startable(self, seconds, now):
        """Return how many requests all hosts together may send within some seconds."""
        room = max(0.0, self.measure_room(now))
        return room + seconds * self._rate * self.share

    def charge(self, count, now):
        """Count requests that this host or others have sent."""
        self._update(now)
        self._level = min(self._level + count, self._most)
        self._recent.append((now, count))
        self._recent_count += count

    def _resize(self):
        bounds = self.bounds
        burst = bounds.burst_requests + bounds.burst_seconds * self._rate
        self._burst = burst * self.share if bounds.is_strict else burst
        self._capacity = max(1.0, self._burst)

    @property
    def _most(self):
        debt = max(MAX_DEBT_REQUESTS, MAX_DEBT_SECONDS * self._rate)
        return self._capacity + debt

    def _update(self, now):
        leaked = (now - self._updated_at) * self._rate * self.share
        self._level = max(0.0, self._level - leaked)
        self._updated_at = now


def make_cold_budget(start_time_ms, now, rate, allowed, is_new):
    """Return the `RequestBudget` of an endpoint that is cold.

    Parameters
    ----------
    start_time_ms : int
    now : float
    rate : float
        Requests a second that it takes.
    allowed : float
        Most requests in any one second.
    is_new : bool
        Whether the process has just started, so that nobody has sent anything to it.
        Otherwise hosts that have not learned of it yet still send to it as before, so
        hosts that have send nothing for about `LEARN_SECONDS`.
    """
    burst = max(1.0, COLD_BURST_SHARE * (allowed - rate))
    planned = min(rate, max(MIN_REQUESTS_PER_SECOND, allowed - 2 * burst))
    bounds = BudgetBounds(
        burst_requests=burst,
        burst_seconds=0.0,
        window_seconds=1.0,
        window_share=1.0,
        window_requests=burst,
        draw_seconds=COLD_DRAW_SECONDS,
        is_strict=True,
    )
    initial = INITIAL_LEVEL_SHARE
    if not is_new:
        initial = (burst + LEARN_SECONDS * planned) / burst
    return RequestBudget(start_time_ms, now, planned, bounds, initial)
