"""Exchange of membership views (gossip): one call to a random peer at a time.

Each host exchanges with hosts of its own data centre. The bridge hosts, which are the
first few live hosts of each data centre in order of name, also request rosters from
other data centres.
"""

import curio

from ..daemon.parts import HostPart
from ..protocol import CallError, ChannelError, Method
from ..protocol.membership_pb2 import ExchangeReply, ExchangeRequest
from .view import EXCHANGE_SECONDS, FORGET_SECONDS

__all__ = ["MembershipExchange"]

EXCHANGE_METHOD = "/mangogauge.Membership/Exchange"
REMOTE_EXCHANGE_SECONDS = 1.0
EXCHANGE_TIMEOUT_SECONDS = 1.0
BRIDGE_HOSTS = 2
# Probability of asking a seed though other hosts are known, so that parts of the fleet
# that were partitioned find each other again.
SEED_PROBABILITY = 0.1


class MembershipExchange(HostPart):
    """Keeps a `MembershipView` up to date by exchanges with peers.

    Parameters
    ----------
    view : MembershipView
    channels : ChannelPool
    seeds : iterable of str
        Peer addresses to start from.
    random : random.Random
    """

    def __init__(self, view, channels, seeds, random):
        self.view = view
        self._channels = channels
        self._seeds = sorted(set(seeds) - {view.own.address})
        self._random = random
        self._last_seen = {}

    def protocol_methods(self):
        """Return the method that peers call."""
        return [Method(EXCHANGE_METHOD, ExchangeRequest, self._serve_exchange)]

    async def run(self):
        """Exchange views until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._exchange_locally)
            await group.spawn(self._exchange_remotely)
        raise group.exception

    def announce_drain(self):
        """Mark this host as leaving in the states that its peers get."""
        self.view.set_leaving()

    async def _exchange_locally(self):
        while True:
            self.view.advance_heartbeat()
            await self._forget_channels()
            peer = self._choose_peer()
            if peer is not None:
                await self._exchange(peer.address, peer.data_centre)
            elif self._seeds:
                await self._exchange(self._random.choice(self._seeds), None)
            await curio.sleep(
                self._add_jitter(EXCHANGE_SECONDS * self.view.interval_factor)
            )

    async def _exchange_remotely(self):
        while True:
            await curio.sleep(self._add_jitter(REMOTE_EXCHANGE_SECONDS))
            for data_centre, address in self.view.pop_contacts().items():
                await self._exchange(address, data_centre)
            if not self._is_bridge():
                continue
            for data_centre in self.view.rosters.list_data_centres():
                members = self.view.rosters.list_members(data_centre, True)
                if members:
                    member = self._random.choice(members)
                    await self._exchange(member.address, data_centre)
            if self._seeds and self._should_ask_seed():
                await self._exchange(self._random.choice(self._seeds), None)

    def _choose_peer(self):
        """Return a random member of this data centre; None to ask a seed instead."""
        own = self.view.own
        members = self.view.list_members(own.data_centre, with_leaving=True)
        others = [member for member in members if member.name != own.name]
        if not others or self._random.random() < SEED_PROBABILITY:
            return None
        return self._random.choice(others)

    def _should_ask_seed(self):
        known = self.view.rosters.list_data_centres()
        return not known or self._random.random() < SEED_PROBABILITY * 3

    def _is_bridge(self):
        own = self.view.own
        members = self.view.list_members(own.data_centre)[:BRIDGE_HOSTS]
        return own.name in [member.name for member in members]

    def _add_jitter(self, seconds):
        return seconds * (0.5 + self._random.random())

    async def _exchange(self, address, data_centre):
        request = self.view.make_request(data_centre)
        asked_at = self.view.read_now()
        try:
            reply = await self._channels.get(address).call(
                EXCHANGE_METHOD, request, ExchangeReply, EXCHANGE_TIMEOUT_SECONDS
            )
        except (ChannelError, CallError):
            return
        self.view.merge_reply(reply, asked_at)

    async def _forget_channels(self):
        """Close connections to hosts that stopped being live `FORGET_SECONDS` ago.

        A host that has just stopped being live may still be answering calls.
        """
        now = self.view.read_now()
        for member in self.view.list_members(with_leaving=True):
            self._last_seen[member.address] = now
        for address, seen_at in list(self._last_seen.items()):
            if now - seen_at > FORGET_SECONDS:
                del self._last_seen[address]
                await self._channels.forget(address)

    async def _serve_exchange(self, request, context):
        await context.send(self.view.make_reply(request))
