"""Where a host may run batch items."""

from abc import ABC, abstractmethod

__all__ = ["HostRoom", "Room"]


class Room(ABC):
    """Gives out places in which items run."""

    @abstractmethod
    def take(self, call):
        """Return the endpoint's name for an item, "" for any; None if full."""

    @abstractmethod
    def give(self, endpoint):
        """Take back what `take` returned."""


class HostRoom(Room):
    """A fixed number of items for the host, at any endpoint.

    Parameters
    ----------
    limit : int, optional
    """

    def __init__(self, limit=0):
        self._limit = limit
        self._running = 0

    def set_limit(self, limit):
        """Take another limit."""
        self._limit = limit

    def take(self, call):
        """Return "" while there is room."""
        if self._running >= self._limit:
            return None
        self._running += 1
        return ""

    def give(self, endpoint):
        """Count one item less."""
        self._running -= 1
