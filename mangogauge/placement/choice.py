"""Choose the endpoint of an online request.

The load this answers: several hosts share engines that know no priorities and
admit in order of arrival. All hosts know within milliseconds what the others
run, so each takes the endpoint with the most free slots. Where none is free, it
takes the one with the fewest online requests, since there an item gives way;
where there are only online requests, one may queue only as far as its objective
allows. Endpoints of its own data centre come first as long as they are lightly
loaded: if the data centre is cut off, fewer requests are under way across the cut.
"""

__all__ = ["EndpointChooser"]

# Requests that may wait at an endpoint beyond its slots: one slot in eight is
# freed soon enough to start well within the objective.
QUEUED_PER_SLOT = 0.125
# Requests of all kinds beyond which an endpoint gets no more, even if items are
# expected to give way.
CROWDED_PER_SLOT = 1.5
# Load up to which an endpoint near by is taken though another has less.
NEAR_PER_SLOT = 0.6


class EndpointChooser:
    """Chooses by load, health and place.

    Parameters
    ----------
    directory : EndpointDirectory
    board : LoadBoard
    health : EndpointHealth
    data_centre : str
        Of this host; among equals, an endpoint there is taken.
    random : random.Random
    """

    def __init__(self, directory, board, health, data_centre, random):
        self._directory = directory
        self._board = board
        self._health = health
        self._data_centre = data_centre
        self._random = random

    def choose(self, service, excluded=()):
        """Return a `FleetEndpoint` with room for an online request, or None.

        Parameters
        ----------
        service : str
        excluded : collection of str
            Endpoints that were tried already.
        """
        usable = self.list_usable(service, excluded)
        usable = [endpoint for endpoint in usable if self._has_room(endpoint)]
        return min(usable, key=self._rank, default=None)

    def list_usable(self, service, excluded=()):
        """Return the endpoints that may get requests, loaded ones included."""
        staying = [
            endpoint
            for endpoint in self._directory.list_endpoints()
            if endpoint.service == service
            and not endpoint.leaving
            and endpoint.name not in excluded
        ]
        sound = [e for e in staying if not self._is_shunned(e.name)]
        # If all of them seem unsound, the fault may be this host's own view.
        return sound or staying

    def count_slots(self, service):
        """Return the slots of all endpoints that may get requests."""
        return sum(endpoint.slots for endpoint in self.list_usable(service))

    def _is_shunned(self, name):
        return self._health.is_shunned(name) or self._board.is_shunned(name)

    def _has_room(self, endpoint):
        load = self._board.measure(endpoint.name)
        if load.total >= endpoint.slots * CROWDED_PER_SLOT:
            return False
        return load.online < endpoint.slots * (1 + QUEUED_PER_SLOT)

    def _rank(self, endpoint):
        load = self._board.measure(endpoint.name)
        is_full = load.total >= endpoint.slots
        counted = load.online if is_full else load.total
        ratio = (counted + 1) / endpoint.slots
        is_near = endpoint.data_centre == self._data_centre
        is_preferred = is_near and ratio <= NEAR_PER_SLOT
        is_doubtful = self._health.is_doubtful(endpoint.name)
        return (
            is_doubtful,
            is_full,
            not is_preferred,
            ratio,
            not is_near,
            self._random.random(),
        )
