"""Requests that a limited endpoint may still get, as one host knows it."""

from collections import deque

from attrs import define, field

__all__ = ["RequestBudget"]

# Rate at which an endpoint is asked that takes nothing: else the end of its limit would
# never be heard.
MIN_RATE = 0.25
# Requests that may come at once after a pause: this many, and those of so many seconds.
BURST_REQUESTS = 3.0
BURST_SECONDS = 3.0
# Most requests in any window: this many, and this multiple of what the limit allows.
WINDOW_SECONDS = 4.0
WINDOW_SHARE = 1.4
WINDOW_REQUESTS = 2.0
# Part of the room for bursts that batch items leave to requests.
ITEM_SPARE_SHARE = 0.5
# Where a bucket starts.
INITIAL_LEVEL_SHARE = 0.5
# Bounds of what is worked off later: others' requests of long ago no longer matter.
MAX_DEBT_REQUESTS = 2.0
MAX_DEBT_SECONDS = 2.0


@define
class RequestBudget:
    """Leaky bucket of all hosts' requests to one endpoint process.

    It starts half full, since nobody knows what was sent before the limit was heard of.
    What it allows after a pause is bounded in any window of `WINDOW_SECONDS` too.

    Parameters
    ----------
    start_time_ms : int
        Identifies the process.
    now : float
        Elapsed time at which the limit was heard of.
    rate : float
        Requests a second that the endpoint takes from all hosts.

    Attributes
    ----------
    share : float
        Part of the rate that may be used: that of the hosts that are heard.
    competitors : int
        Hosts that may send to the endpoint, this one included if it may.
    may_take : bool
        Whether this host may.
    """

    start_time_ms = field()
    _updated_at = field(alias="now")
    _rate = field(alias="rate", converter=lambda rate: max(rate, MIN_RATE))
    share = field(default=1.0, init=False)
    competitors = field(default=1, init=False)
    may_take = field(default=False, init=False)
    _capacity = field(init=False)
    _level = field(init=False)
    # Pairs of a time and how many requests were sent, within the window.
    _recent = field(factory=deque, init=False)
    _recent_count = field(default=0, init=False)

    def __attrs_post_init__(self):
        self._capacity = BURST_REQUESTS + BURST_SECONDS * self._rate
        self._level = INITIAL_LEVEL_SHARE * self._capacity

    def set_share(self, share, now):
        """Use only a part of the rate from now on."""
        self._update(now)
        self.share = share

    def set_rate(self, rate, now):
        """Put another limit in force."""
        self._update(now)
        self._rate = max(rate, MIN_RATE)
        self._capacity = BURST_REQUESTS + BURST_SECONDS * self._rate
        self._level = min(self._level, self._most)

    def measure_room(self, now):
        """Return how many requests may be sent at once; negative for a debt."""
        self._update(now)
        recent = self._recent
        while recent and recent[0][0] <= now - WINDOW_SECONDS:
            self._recent_count -= recent.popleft()[1]
        window = WINDOW_REQUESTS + WINDOW_SECONDS * WINDOW_SHARE * self._rate
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

    @property
    def _most(self):
        debt = max(MAX_DEBT_REQUESTS, MAX_DEBT_SECONDS * self._rate)
        return self._capacity + debt

    def _update(self, now):
        leaked = (now - self._updated_at) * self._rate * self.share
        self._level = max(0.0, self._level - leaked)
        self._updated_at = now
