"""Requests to endpoints, by whichever path leads there."""

from functools import partial

from ..http import HTTPConnectError, HTTPEncodeError
from .states import PathState

__all__ = ["EndpointPool"]


async def _know_no_process(endpoint):
    """Default of `EndpointPool`'s `is_same_process`."""
    return False


class EndpointPool:
    """Connections to endpoints: direct ones, and those that peers carry.

    Parameters
    ----------
    direct : ClientPool
        By the endpoints' addresses.
    get_tunnels : callable
        Returns the `ClientPool` for work of a `WorkScope`, by the endpoints' names; it
        opens connections by a `TunnelConnector`.
    paths : PathTable
    checker : PathChecker
    is_same_process : async callable, optional
        Takes a `FleetEndpoint` that has just accepted a connection; returns whether it
        is still the process that this host knew. By default it is not known to be.
    """

    def __init__(
        self, direct, get_tunnels, paths, checker, is_same_process=_know_no_process
    ):
        self._direct = direct
        self._get_tunnels = get_tunnels
        self._paths = paths
        self._checker = checker
        self._is_same_process = is_same_process

    async def request(self, endpoint, *request, scope=None, **options):
        """Send a request and return the head of its answer.

        Parameters
        ----------
        endpoint : FleetEndpoint
        *request, **options
            As of `ClientPool.request`, after the address.
        scope : WorkScope, optional
            Regions whose hosts may carry the request; None for any.

        Raises
        ------
        HTTPConnectError, HTTPSendError, HTTPReceiveError
            According to how far the request got.
        """
        is_tunnelled = self._paths.is_tunnelled(endpoint.name)
        options["is_running"] = partial(self._is_running, endpoint, scope)
        try:
            # Open connections may live on while new ones fail.
            return await self._direct.request(
                endpoint.address, *request, only_idle=is_tunnelled, **options
            )
        except HTTPEncodeError:
            raise
        except HTTPConnectError as error:
            if not is_tunnelled:
                state = await self._checker.find_path(endpoint, error)
                if state is not PathState.TUNNELLED:
                    raise
        tunnels = self._get_tunnels(scope)
        return await tunnels.request(endpoint.name, *request, **options)

    async def _is_running(self, endpoint, scope):
        """Return whether the process runs that an endpoint had at a request.

        Notes
        -----
        Another one may have taken its place within some hundredths of a second, and
        accepts connections then.
        """
        if self._paths.is_tunnelled(endpoint.name):
            accepts = await self._get_tunnels(scope).is_listening(endpoint.name)
        else:
            accepts = await self._direct.is_listening(endpoint.address)
        return accepts and await self._is_same_process(endpoint)

    async def connect(self, endpoint):
        """Make sure that a path leads to an endpoint.

        Raises
        ------
        HTTPConnectError
            If none does.
        """
        if self._paths.is_tunnelled(endpoint.name):
            return
        try:
            await self._direct.connect(endpoint.address)
        except HTTPConnectError as error:
            state = await self._checker.find_path(endpoint, error)
            if state is not PathState.TUNNELLED:
                raise
