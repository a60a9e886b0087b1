"""Open connections to endpoints through peers."""

from ..http import (
    ClientConnection,
    Connector,
    HTTPConnectError,
    TunnelRefusedError,
    TunnelSocket,
)
from .relay import UNABLE_STATUS, make_tunnel_target

__all__ = ["NoPeerAllowedError", "TunnelConnector"]

# Peers that one connection is asked of.
PEERS_PER_CONNECTION = 2
PEER_CONNECT_SECONDS = 0.15
# The peer tries to connect to the endpoint within this time.
OPEN_SECONDS = 0.35


class NoPeerAllowedError(HTTPConnectError):
    """No peer that may carry a restricted request does so."""


class TunnelConnector(Connector):
    """Opens connections that peers carry; an address is an endpoint's name.

    Parameters
    ----------
    directory : EndpointDirectory
    peers : TunnelPeers
    limits : ClientLimits
    accepts_peer : callable, optional
        Returns whether a `FleetMember` may carry what is sent; by default all may.
    """

    def __init__(self, directory, peers, limits, accepts_peer=None):
        self._directory = directory
        self._peers = peers
        self._limits = limits
        self._accepts_peer = accepts_peer

    async def open(self, address):
        """Return a connection through a peer; see `Connector`."""
        endpoint = self._directory.get(address)
        if endpoint is None:
            raise HTTPConnectError("The endpoint is gone.", peer=address)
        failure = HTTPConnectError("No peer is heard.", peer=address)
        peers = self._peers.choose(
            endpoint, PEERS_PER_CONNECTION, accepts=self._accepts_peer
        )
        for peer in peers:
            try:
                return await self.open_through(peer, endpoint)
            except HTTPConnectError as error:
                failure = error
        if self._accepts_peer is None:
            raise failure
        raise NoPeerAllowedError(
            "No peer in an allowed region carries the request.", peer=address
        ) from failure

    async def open_through(self, peer, endpoint):
        """Return a connection to an endpoint that one peer carries.

        Parameters
        ----------
        peer : str
            Address of the peer.
        endpoint : FleetEndpoint

        Raises
        ------
        TunnelRefusedError
            If the peer answers that it doesn't reach the endpoint.
        HTTPConnectError
            If the peer doesn't answer.
        """
        target = make_tunnel_target(endpoint.name)
        try:
            sock = await TunnelSocket.open(
                peer, target, PEER_CONNECT_SECONDS, OPEN_SECONDS
            )
        except TunnelRefusedError as error:
            # A peer that tried and failed shows nothing of its other paths.
            has_tried = error.status != UNABLE_STATUS
            self._peers.note_failure(peer, endpoint if has_tried else None)
            raise
        except HTTPConnectError:
            self._peers.note_failure(peer)
            raise
        self._peers.note_success(peer, endpoint)
        return ClientConnection(endpoint.name, sock, self._limits)
