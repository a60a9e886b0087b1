"""Where a host reads the fleet from: prefixes of the store and their contents."""

from abc import ABC, abstractmethod

from attrs import field, frozen

__all__ = ["FleetSource", "OrdersRead", "RetirementOrder"]


@frozen
class RetirementOrder:
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
class OrdersRead:
    """What one item of the operators' prefix says.

    Parameters
    ----------
    configuration : Configuration or None
    retirement : RetirementOrder or None
    """

    configuration = field(default=None)
    retirement = field(default=None)


class FleetSource(ABC):
    """Prefixes that hosts follow, and how their items are read.

    Attributes
    ----------
    orders_prefix, endpoints_prefix : str
    """

    orders_prefix = ""
    endpoints_prefix = ""

    @abstractmethod
    def read_orders(self, item):
        """Return the `OrdersRead` of an item; raise ValueError if it has none."""

    @abstractmethod
    def read_endpoint(self, item):
        """Return the `FleetEndpoint` of an item, or None if it has none to use."""

    @abstractmethod
    def name_endpoint(self, key):
        """Return the name of the endpoint that has a key."""

    @abstractmethod
    def report_retirement(self, host, done):
        """Return the `Operation` that tells operators how far a host is emptied."""
