"""How many batch items an endpoint may run beside online requests.

The load this answers: online traffic that rises to several times its least
within seconds, at endpoints that run whatever came first. Items take what is
free but for a reserve; as online requests come, the newest items are broken
off, to go on later where they stopped.
"""

__all__ = ["BatchRoom"]

# Slots of an endpoint that items leave free, so that the next online requests
# start at once.
RESERVED_SLOTS = 1
# With so many free slots left, nothing need be broken off.
LEAST_FREE_SLOTS = 0


class BatchRoom:
    """Room for items at endpoints.

    Parameters
    ----------
    board : LoadBoard
    """

    def __init__(self, board):
        self._board = board

    def measure_free(self, endpoint):
        """Return how many more items the endpoint may run."""
        load = self._board.measure(endpoint.name)
        return endpoint.slots - RESERVED_SLOTS - load.total

    def measure_excess(self, endpoint):
        """Return how many items there, of all hosts, have to give way."""
        load = self._board.measure(endpoint.name)
        over = load.total + LEAST_FREE_SLOTS - endpoint.slots
        return max(0, min(load.batch, over))

    def measure_own_excess(self, endpoint):
        """Return how many of this host's own items have to give way.

        Notes
        -----
        Hosts that run items there share the excess by what each runs, rounded
        up, so that it is met even if one of them acts late.
        """
        excess = self.measure_excess(endpoint)
        own = self._board.get_own(endpoint.name).batch
        if not excess or not own:
            return 0
        total = self._board.measure(endpoint.name).batch
        return min(own, -(-excess * own // total))
