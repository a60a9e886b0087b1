"""Spread rare news among all hosts by gossip.

A host that has news tells a few hosts, chosen at random, at once, and a few others now
and then while the news lasts. Those who learn something tell others. All hosts know
within a few rounds, whichever of them are gone or cut off for a while [1]_.

References
----------
.. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
   PODC 1987.
"""

import curio

__all__ = ["Gossip"]

FANOUT = 3
# Between two rounds while there is something new.
MIN_GAP_SECONDS = 0.25
# Between two rounds otherwise: a host that has just started knows soon.
REPEAT_SECONDS = 1.0


class Gossip:
    """Tells other hosts the news of this one.

    Parameters
    ----------
    make_news : callable
        Returns a message with ``to_bytes``, or a false value if there is nothing to
        tell.
    list_addresses : callable
        Returns the addresses of the other hosts.
    send : async callable
        Takes the bytes of a datagram and the addresses that it is sent to.
    random : random.Random
    """

    def __init__(self, make_news, list_addresses, send, random):
        self._make_news = make_news
        self._list_addresses = list_addresses
        self._send = send
        self._random = random
        self._changed = curio.Event()

    async def note_change(self):
        """Tell others soon, because there is something new."""
        if not self._changed.is_set():
            await self._changed.set()

    async def run(self):
        """Tell others until cancelled."""
        while True:
            await self._changed.wait()
            await self._tell_until_nothing_is_left()

    async def _tell_until_nothing_is_left(self):
        while True:
            self._changed.clear()
            news = self._make_news()
            if not news:
                return
            addresses = self._list_addresses()
            targets = self._random.sample(addresses, min(FANOUT, len(addresses)))
            await self._send(news.to_bytes(), targets)
            await curio.sleep(MIN_GAP_SECONDS)
            async with curio.ignore_after(REPEAT_SECONDS - MIN_GAP_SECONDS):
                await self._changed.wait()
