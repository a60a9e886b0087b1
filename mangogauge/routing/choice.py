"""Choosing an endpoint."""

from abc import ABC, abstractmethod
from collections import Counter

__all__ = ["LeastLoadedRouter", "Router"]


class Router(ABC):
    """Chooses endpoints and keeps count of what runs there."""

    @abstractmethod
    def set_endpoints(self, endpoints):
        """Take the endpoints: ``{name: Endpoint}``."""

    @abstractmethod
    def choose(self, call, excluded=()):
        """Return an `Endpoint` for `call`, or None.

        Parameters
        ----------
        call : Call
        excluded : collection of str
            Names of endpoints that were tried already.
        """

    @abstractmethod
    def begin(self, name):
        """Note that an attempt starts at the endpoint of this name."""

    @abstractmethod
    def end(self, name, progress=None):
        """Note that an attempt ended; `progress` tells how it failed, if so."""


class LeastLoadedRouter(Router):
    """Takes the endpoint with the fewest attempts of this host for its slots.

    Parameters
    ----------
    data_centre : str
        Endpoints there go before others.
    random : random.Random
        Breaks ties.
    """

    def __init__(self, data_centre, random):
        self._data_centre = data_centre
        self._random = random
        self._endpoints = {}
        self._running = Counter()

    def set_endpoints(self, endpoints):
        """Take the endpoints."""
        self._endpoints = dict(endpoints)

    def choose(self, call, excluded=()):
        """Return the least loaded endpoint, or None."""
        candidates = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.name not in excluded and call.suits(endpoint)
        ]
        if not candidates:
            return None
        return min(candidates, key=self._rank)

    def begin(self, name):
        """Note that an attempt starts."""
        self._running[name] += 1

    def end(self, name, progress=None):
        """Note that an attempt ended."""
        self._running[name] -= 1

    def _rank(self, endpoint):
        return (
            endpoint.data_centre != self._data_centre,
            self._running[endpoint.name] / endpoint.slots,
            self._random.random(),
        )
