"""Carry single calls to the platform's store."""

from abc import ABC, abstractmethod

import curio
from attrs import field, frozen

from ..http import ClientLimits, ClientPool, Headers

__all__ = ["DirectTransport", "StoreAnswer", "StoreTransport"]

# A page of items is about a megabyte; one value may be as large, and both are
# encoded as text.
ANSWER_BYTES = 8_388_608
JSON_HEADERS = Headers([("Content-Type", "application/json")])


@frozen
class StoreAnswer:
    """The answer to one call.

    Parameters
    ----------
    status : int
    body : bytes
    """

    status = field()
    body = field()


class StoreTransport(ABC):
    """Carries calls to the store."""

    @abstractmethod
    async def request(self, method, target, body, seconds):
        """Make one call and return its `StoreAnswer`.

        Parameters
        ----------
        method, target : str
            The request line.
        body : bytes
        seconds : float
            How long to wait for the answer.

        Raises
        ------
        HTTPConnectError
            If the call was not sent.
        HTTPError, curio.TaskTimeout
            If it may have taken effect.
        """

    @abstractmethod
    async def close(self):
        """Close idle connections."""


class DirectTransport(StoreTransport):
    """Carries calls to an address.

    Parameters
    ----------
    address : str
        ``host:port``.
    connect_seconds : float
    """

    def __init__(self, address, connect_seconds):
        self.address = address
        limits = ClientLimits(body_bytes=ANSWER_BYTES)
        self._pool = ClientPool(connect_seconds, limits=limits)

    async def request(self, method, target, body, seconds):
        """Make one call; see `StoreTransport`.

        Notes
        -----
        Where one connection has gone silent, those that are idle may have too: the
        next call makes a new one.
        """
        try:
            async with curio.timeout_after(seconds):
                response = await self._pool.request(
                    self.address, method, target, JSON_HEADERS, body
                )
                return StoreAnswer(response.status, await response.read())
        except curio.TaskTimeout:
            await self._pool.close()
            raise

    async def close(self):
        """Close idle connections."""
        await self._pool.close()
