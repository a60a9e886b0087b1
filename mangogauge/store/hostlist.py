"""The platform's list of live and leaving hosts, which lags behind."""

import enum
from abc import ABC, abstractmethod
from pathlib import Path

import orjson
from attrs import field, frozen
from returns.result import Failure, Success

from .base import StoreUnavailableError

__all__ = ["FileHostList", "HostList", "HostListing", "ListedState"]


class ListedState(enum.Enum):
    """What the platform says of a host or endpoint."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@frozen
class HostListing:
    """One line of the list.

    Parameters
    ----------
    name : str
        Name of the host or endpoint.
    address : str
    data_centre : str
    state : ListedState
    """

    name = field()
    address = field()
    data_centre = field()
    state = field(converter=ListedState)


class HostList(ABC):
    """A source of `HostListing`; it may be seconds or minutes behind."""

    @abstractmethod
    async def read(self):
        """Return ``Success(list of HostListing)``."""


class FileHostList(HostList):
    """A list that the platform keeps up to date in a file of JSON lines."""

    def __init__(self, path):
        self._path = Path(path)

    async def read(self):
        """Return ``Success(list of HostListing)``."""
        try:
            lines = self._path.read_bytes().splitlines()
            rows = [orjson.loads(line) for line in lines if line.strip()]
            return Success([HostListing(**row) for row in rows])
        except (OSError, ValueError, TypeError) as error:
            return Failure(
                StoreUnavailableError(
                    repr(error), step="read host list", peer=str(self._path)
                )
            )
