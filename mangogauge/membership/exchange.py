"""Exchange of views between hosts: one call to a random peer at a time."""

import curio

from ..daemon.parts import HostPart
from ..protocol import CallError, ChannelError, Method
from ..protocol.membership_pb2 import ExchangeReply, ExchangeRequest

__all__ = ["MembershipExchange"]

EXCHANGE_METHOD = "/mangogauge.Membership/Exchange"
EXCHANGE_SECONDS = 0.3
EXCHANGE_TIMEOUT = 1.0


class MembershipExchange(HostPart):
    """Keeps a `MembershipView` up to date.

    Parameters
    ----------
    view : MembershipView
    channels : ChannelPool
    seeds : iterable of str
        Addresses to start from.
    random : random.Random
    """

    def __init__(self, view, channels, seeds, random):
        self.view = view
        self._channels = channels
        self._seeds = tuple(seeds)
        self._random = random

    def protocol_methods(self):
        """Return the method that peers call."""
        return [Method(EXCHANGE_METHOD, ExchangeRequest, self._serve_exchange)]

    async def run(self):
        """Exchange views until cancelled."""
        while True:
            self.view.beat()
            address = self._choose_peer()
            if address:
                await self._exchange(address)
            await curio.sleep(EXCHANGE_SECONDS * (0.5 + self._random.random()))

    def announce_drain(self):
        """Tell the peers that this host is about to end."""
        self.view.set_leaving()

    def _choose_peer(self):
        members = self.view.list_members(with_leaving=True)
        addresses = {member.address for member in members} | set(self._seeds)
        addresses.discard(self.view.own.address)
        return self._random.choice(sorted(addresses)) if addresses else None

    async def _exchange(self, address):
        request = ExchangeRequest(
            sender=self.view.make_own_state(), digests=self.view.make_digests()
        )
        try:
            reply = await self._channels.get(address).call(
                EXCHANGE_METHOD, request, ExchangeReply, EXCHANGE_TIMEOUT
            )
        except (ChannelError, CallError):
            return
        for state in reply.news:
            self.view.take_state(state)

    async def _serve_exchange(self, request, context):
        await context.send(self.view.make_reply(request))
