"""Interface of the routers, which choose an endpoint for a call."""

from abc import ABC, abstractmethod

__all__ = ["Router"]


class Router(ABC):
    """Chooses endpoints and counts the attempts that run at each."""

    @abstractmethod
    def set_endpoints(self, endpoints):
        """Replace the endpoints by ``{name: Endpoint}``."""

    @abstractmethod
    def choose(self, call, excluded=(), allow_down=False):
        """Return an `Endpoint` of this data centre for `call`, or None.

        Parameters
        ----------
        call : Call
        excluded : collection of str
            Names of endpoints that were tried already.
        allow_down : bool, optional
            Whether endpoints that are reported down may be chosen.
        """

    @abstractmethod
    def begin(self, name):
        """Count an attempt that starts at the endpoint of this name."""

    @abstractmethod
    def end(self, name):
        """Stop counting an attempt that has ended, with or without success."""

    @abstractmethod
    def count_running(self, name):
        """Return how many attempts of this host run at an endpoint."""

    @abstractmethod
    def note_success(self, name):
        """Record that the endpoint answered."""

    @abstractmethod
    def note_failure(self, name, reached=True):
        """Record that an attempt failed because of the endpoint.

        Parameters
        ----------
        name : str
        reached : bool, optional
            Whether this host had connected to the endpoint.
        """

    @abstractmethod
    def is_unreached(self, name):
        """Return whether this host's latest try to connect to an endpoint failed."""

    @abstractmethod
    def note_slowness(self, name, slowness):
        """Record an answer's time, as a multiple of the typical one."""
