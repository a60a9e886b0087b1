"""Tell other hosts of endpoints' limits, and of what is sent to these endpoints."""

import curio

from ..supervision import keep_running
from ..ticks import sleep_to_tick
from .gossip import Gossip

__all__ = ["LimitExchange"]

# Changes within this time share a message.
COALESCE_SECONDS = 0.01
# Interval at which late requests are told once more.
REPEAT_SECONDS = 1.0


class LimitExchange:
    """Sends this host's `LimitNews`.

    What this host sends to a limited endpoint is told to the others that may send
    there; the limits themselves are told to all hosts by gossip. Messages are datagrams
    of their own: a host of a build that doesn't know them drops them, and nothing else.

    Parameters
    ----------
    limiter : EndpointLimiter
    members : MemberDirectory
    send : async callable
        Takes the bytes of a datagram and the addresses that it is sent to.
    list_endpoints : callable
        Returns the endpoints that there are.
    random : random.Random
    """

    def __init__(self, limiter, members, send, list_endpoints, random):
        self._limiter = limiter
        self._members = members
        self._send = send
        self._list_endpoints = list_endpoints
        self._changed = curio.Event()
        self._gossip = Gossip(limiter.make_gossip, self._list_addresses, send, random)
        self._cold_gossip = Gossip(
            limiter.cold.make_news, self._list_addresses, send, random
        )

    async def note_change(self):
        """Tell other hosts soon what has changed here, if anything has."""
        if self._limiter.has_changes and not self._changed.is_set():
            await self._changed.set()

    async def note_news(self):
        """Tell other hosts soon of a limit that has just become known here."""
        await self.note_change()
        await self._gossip.note_change()

    async def note_cold(self):
        """Tell other hosts soon of endpoints that have just become cold."""
        if self._limiter.cold.has_news:
            self._limiter.cold.has_news = False
            await self._cold_gossip.note_change()

    async def run(self):
        """Tell others until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            for run in (
                self._tell_changes,
                self._tell_again,
                self._gossip.run,
                self._cold_gossip.run,
            ):
                await group.spawn(keep_running, run.__qualname__, run)

    def _list_addresses(self):
        return [member.address for member in self._members.list_others()]

    async def _tell_changes(self):
        while True:
            await self._changed.wait()
            await curio.sleep(COALESCE_SECONDS)
            self._changed.clear()
            await self._send_messages(self._limiter.make_changes())

    async def _tell_again(self):
        while True:
            await sleep_to_tick(REPEAT_SECONDS)
            if not self._limiter.has_news:
                continue
            hosts = {member.name for member in self._members.list_others()}
            self._limiter.remove_old(self._list_endpoints(), hosts)
            await self._send_messages(self._limiter.make_repeats())

    async def _send_messages(self, messages):
        for news, hosts in messages:
            members = map(self._members.get, hosts)
            addresses = [member.address for member in members if member is not None]
            await self._send(news.to_bytes(), addresses)
