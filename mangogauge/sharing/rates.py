"""Send other hosts the rates of endpoints that this one assumes."""

from ..ticks import sleep_to_tick

__all__ = ["RateExchange"]

INTERVAL_SECONDS = 1.0
# Hosts that each message is sent to, whichever number of hosts there is.
FANOUT = 3


class RateExchange:
    """Sends this host's `RateNews` to a few random hosts at regular intervals.

    Messages are datagrams of their own: a host of a build that doesn't know them drops
    them, and nothing else.

    Parameters
    ----------
    rates : EndpointRates or None
        None if nothing is sent.
    list_addresses : callable
        Returns the addresses of the other hosts.
    send : async callable
        Takes the bytes of a datagram and the addresses that it is sent to.
    random : random.Random
    """

    def __init__(self, rates, list_addresses, send, random):
        self._rates = rates
        self._list_addresses = list_addresses
        self._send = send
        self._random = random

    async def run(self):
        """Send until cancelled."""
        while True:
            await sleep_to_tick(INTERVAL_SECONDS)
            news = self._rates.make_news() if self._rates is not None else None
            if news:
                addresses = self._list_addresses()
                targets = self._random.sample(addresses, min(FANOUT, len(addresses)))
                await self._send(news.to_bytes(), targets)
