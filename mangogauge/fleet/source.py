"""Interface to the platform's entries: prefixes of the store and their encoding."""

from abc import ABC, abstractmethod

from attrs import field, frozen

__all__ = ["FleetSource", "OperatorEntry", "RetirementRequest"]


@frozen
class RetirementRequest:
    """Operators' request to drain a host, so that it can be removed.

    Parameters
    ----------
    host : str
    seconds : float
        Time limit for the drain.
    """

    host = field()
    seconds = field()


@frozen
class OperatorEntry:
    """The content of one entry written by operators.

    Parameters
    ----------
    configuration : Configuration or None
    retirement : RetirementRequest or None
    evacuation : str or None
        Data centre that is evacuated for as long as the entry exists.
    """

    configuration = field(default=None)
    retirement = field(default=None)
    evacuation = field(default=None)


class FleetSource(ABC):
    """Prefixes that hosts follow, and the decoding of their items.

    Attributes
    ----------
    operator_prefix, endpoints_prefix : str
        Prefixes of the operators' and the endpoints' entries.
    """

    operator_prefix = ""
    endpoints_prefix = ""

    @abstractmethod
    def read_operator_entry(self, item):
        """Decode an item of the operators' prefix.

        Returns
        -------
        OperatorEntry

        Raises
        ------
        ValueError
            If the item is invalid.
        """

    @abstractmethod
    def read_endpoint(self, item):
        """Return the `FleetEndpoint` of an item, or None if the item is invalid."""

    @abstractmethod
    def parse_endpoint_name(self, key):
        """Return the name of the endpoint whose entry has this key."""

    @abstractmethod
    def make_retirement_report(self, host, done):
        """Return the `Operation` that reports how far a host is drained."""
