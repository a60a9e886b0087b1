"""Where a host reads the fleet from: prefixes of the store and their contents."""

from abc import ABC, abstractmethod

from attrs import field, frozen

__all__ = ["FleetSource", "OperatorEntry", "RetirementRequest"]


@frozen
class RetirementRequest:
    """Operators ask for a host to be emptied, so that it can be taken away.

    Parameters
    ----------
    host : str
    seconds : float
        Time that it may take.
    """

    host = field()
    seconds = field()


@frozen
class OperatorEntry:
    """What one item of the operators' prefix says.

    Parameters
    ----------
    configuration : Configuration or None
    retirement : RetirementRequest or None
    """

    configuration = field(default=None)
    retirement = field(default=None)


class FleetSource(ABC):
    """Prefixes that hosts follow, and how their items are read.

    Attributes
    ----------
    operator_prefix, endpoints_prefix : str
    """

    operator_prefix = ""
    endpoints_prefix = ""

    @abstractmethod
    def read_operator_entry(self, item):
        """Return the `OperatorEntry` of an item; raise ValueError if it has none."""

    @abstractmethod
    def read_endpoint(self, item):
        """Return the `FleetEndpoint` of an item, or None if it has none to use."""

    @abstractmethod
    def parse_endpoint_name(self, key):
        """Return the name of the endpoint that has a key."""

    @abstractmethod
    def make_retirement_report(self, host, done):
        """Return the `Operation` that tells operators how far a host is emptied."""
