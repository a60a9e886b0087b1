"""Choosing an endpoint: the interface of routers."""

from abc import ABC, abstractmethod

__all__ = ["Router"]


class Router(ABC):
    """Chooses endpoints and keeps count of what runs there."""

    @abstractmethod
    def set_endpoints(self, endpoints):
        """Take the endpoints: ``{name: Endpoint}``."""

    @abstractmethod
    def choose(self, call, excluded=(), allow_down=False):
        """Return an `Endpoint` of this data centre for `call`, or None.

        Parameters
        ----------
        call : Call
        excluded : collection of str
            Names of endpoints that were tried already.
        allow_down : bool, optional
            Whether an endpoint that is thought to be down is better than none.
        """

    @abstractmethod
    def begin(self, name):
        """Note that an attempt starts at the endpoint of this name."""

    @abstractmethod
    def end(self, name):
        """Note that an attempt ended there, however it did."""

    @abstractmethod
    def count_running(self, name):
        """Return how many attempts of this host run there."""

    @abstractmethod
    def note_success(self, name):
        """Note that the endpoint answered."""

    @abstractmethod
    def note_failure(self, name):
        """Note that the endpoint failed an attempt by its own fault."""

    @abstractmethod
    def note_slowness(self, name, slowness):
        """Note an answer's time, as a multiple of what is usual."""
