"""How many batch items an endpoint may run beside online requests.

The load this answers: online traffic that rises to several times its least
within seconds, at endpoints that run whatever came first. Items take all that is
free; as online requests come, items are broken off, to go on later where they
stopped. A request that finds an endpoint full waits for that no longer
than a report between hosts takes, well within its objective.

At a peak each online request that comes displaces an item, and each that ends frees a
slot for a moment. An item that took it would only be broken off by the next one: its
prompt would be read in vain, and the request would wait for it. So where items had to
give way, none is started for a while, and one slot is kept free for the next request.
"""

from functools import lru_cache

import xxhash

__all__ = ["BatchRoom"]

# How long an endpoint gets no further items after some had to give way there.
PREEMPTION_PAUSE_SECONDS = 0.5
# Slots that are kept free there.
SPARE_SLOTS = 1
# Pairs of an endpoint and a host whose weights are kept.
MAX_CACHED_HASHES = 16_384


class BatchRoom:
    """Room for this host's items at endpoints.

    Parameters
    ----------
    board : ReportTable
    clock : Clock
    get_slowdown : callable, optional
        Returns how many times as long as usual an item takes at an endpoint, by
        its name.

    Notes
    -----
    Several hosts see the same free slots at the same time. Each has a rank at
    each endpoint, by a hash, among the hosts that have items waiting, and leaves
    as many slots free as there are hosts before it; so one item from each of
    them never overfills the endpoint. What has to give way is shared in the same
    way: all hosts compute the same shares from the same counts.
    """

    def __init__(self, board, clock, get_slowdown=lambda name: 1.0):
        self._get_slowdown = get_slowdown
        self._board = board
        self._clock = clock
        self._paused_until = {}

    def count_free_slots(self, endpoint):
        """Return how many slots there are for this host's next items."""
        if self._is_paused(endpoint):
            return 0
        load = self._board.measure(endpoint.name)
        free = endpoint.slots - load.total
        if free <= 0:
            return 0
        free = int(free / self._get_slowdown(endpoint.name))
        return free - self._compute_rank(endpoint)

    def count_excess_items(self, endpoint):
        """Return how many of this host's items have to give way."""
        loads = self._board.list_loads(endpoint.name)
        items = {host: load.batch for host, load in loads.items() if load.batch}
        total = sum(load.total for load in loads.values())
        spare = SPARE_SLOTS if self._is_paused(endpoint) else 0
        if total > endpoint.slots and items:
            self._pause(endpoint)
        excess = min(total + spare - endpoint.slots, sum(items.values()))
        own_excess = 0
        for _ in range(excess):
            host = max(items, key=lambda name: (items[name], name))
            items[host] -= 1
            own_excess += host == self._board.host
        return own_excess

    def _pause(self, endpoint):
        until = self._clock.read_elapsed() + PREEMPTION_PAUSE_SECONDS
        self._paused_until[endpoint.name] = until

    def _is_paused(self, endpoint):
        until = self._paused_until.get(endpoint.name)
        if until is None:
            return False
        if self._clock.read_elapsed() < until:
            return True
        del self._paused_until[endpoint.name]
        return False

    def _compute_rank(self, endpoint):
        own = _hash_pair(endpoint.name, self._board.host)
        others = self._board.list_hosts_with_items()
        return sum(_hash_pair(endpoint.name, host) > own for host in others)


@lru_cache(MAX_CACHED_HASHES)
def _hash_pair(endpoint, host):
    return xxhash.xxh3_64_intdigest(f"{endpoint}/{host}".encode())
