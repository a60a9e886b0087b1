"""Number of batch items that an endpoint may run beside online requests.

Online traffic may rise to several times its minimum within seconds, and endpoints run
requests in order of arrival. Items use all free slots; when online requests arrive,
items are preempted and resume later where they stopped. A request that finds an
endpoint full waits for this no longer than a report between hosts takes, which is well
within its objective.

At a peak each new online request preempts an item, and each that ends frees a slot for
a moment. An item started in that slot would be preempted by the next request: the work
on its prompt would be lost, and the request would wait for the preemption. So after a
preemption no item is started for a while. Items that run keep their slots as long as
the endpoint isn't overfull: what an item loses by an interruption is certain, and a
request that finds the endpoint full waits no longer than for any other preemption.
"""

from functools import lru_cache

import xxhash

__all__ = ["BatchRoom"]

# Time for which an endpoint gets no new items after a preemption.
PREEMPTION_PAUSE_SECONDS = 0.5
# Pairs of an endpoint and a host whose hashes are cached.
MAX_CACHED_HASHES = 16_384


class BatchRoom:
    """Slots for this host's items at endpoints.

    Parameters
    ----------
    report_table : ReportTable
    clock : Clock
    get_slowdown : callable, optional
        Returns the factor by which work takes longer than usual at an endpoint,
        given its name.

    Notes
    -----
    Several hosts see the same free slots at the same time. At each endpoint a hash
    ranks the hosts that have items waiting, and each host leaves as many slots free
    as there are hosts ranked before it. So one item from each host never overfills
    the endpoint. Preemptions are divided without coordination too: all hosts compute
    the same shares from the same counts.
    """

    def __init__(self, report_table, clock, get_slowdown=lambda name: 1.0):
        self._get_slowdown = get_slowdown
        self._report_table = report_table
        self._clock = clock
        self._paused_until = {}

    def count_free_slots(self, endpoint):
        """Return how many free slots this host may fill with items."""
        if self._is_paused(endpoint):
            return 0
        load = self._report_table.measure(endpoint.name)
        free = endpoint.slots - load.total
        if free <= 0:
            return 0
        free = int(free / self._get_slowdown(endpoint.name))
        return free - self._compute_rank(endpoint)

    def count_excess_items(self, endpoint):
        """Return how many of this host's items must be preempted.

        If the endpoint is overfull, it gets no new items for a while.
        """
        loads = self._report_table.list_loads(endpoint.name)
        items = {host: load.batch for host, load in loads.items() if load.batch}
        total = sum(load.total for load in loads.values())
        if total > endpoint.slots and items:
            self._pause(endpoint)
        excess = min(total - endpoint.slots, sum(items.values()))
        own_excess = 0
        for _ in range(excess):
            host = max(items, key=lambda name: (items[name], name))
            items[host] -= 1
            own_excess += host == self._report_table.host
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
        own = _hash_pair(endpoint.name, self._report_table.host)
        others = self._report_table.list_hosts_with_items()
        return sum(_hash_pair(endpoint.name, host) > own for host in others)


@lru_cache(MAX_CACHED_HASHES)
def _hash_pair(endpoint, host):
    return xxhash.xxh3_64_intdigest(f"{endpoint}/{host}".encode())
