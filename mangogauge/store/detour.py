"""Calls to the platform's store by way of another host.

A host that the store turns away, or that can't reach it, sends its calls to a
host that does; that host passes them on as they are. Conditions, leases and
lost answers mean the same on both ways: a call whose answer is lost may have
taken effect.
"""

import random

import curio

from ..clock import SystemClock
from ..http import Headers, HTTPConnectError, HTTPError
from ..telemetry import get_logger
from .reach import StoreReach
from .transport import DirectTransport, StoreTransport

__all__ = ["DetourTransport", "StoreRelay"]

CONNECT_SECONDS = 0.2
# How long a trial of the direct way may hold up the call that makes it.
TRIAL_SECONDS = 0.3
# Calls that may wait at the store for a change take longer, and are no trial.
TRIAL_CALL_SECONDS = 1.5
# Hosts that one call is offered to.
RELAYS_PER_CALL = 2
# Longer than any call waits at the store; the host that asked gives up sooner.
RELAYED_SECONDS = 60.0
REFUSED_STATUSES = frozenset({429, 503})
READ = "GET"
JSON = Headers([("Content-Type", "application/json")])

log = get_logger("store")


class DetourTransport(StoreTransport):
    """Carries calls to the store directly, or through another host.

    Parameters
    ----------
    address : str
        Of the store.
    connect_seconds : float
    clock : Clock, optional

    Attributes
    ----------
    direct : DirectTransport
    reach : StoreReach
    """

    def __init__(self, address, connect_seconds, clock=None):
        self.direct = DirectTransport(address, connect_seconds)
        self._clock = clock or SystemClock()
        self.reach = StoreReach(self._clock)
        self._relays = {}
        self._list_relays = list

    def use_relays(self, list_relays):
        """Take a callable that returns addresses of hosts that reach the store."""
        self._list_relays = list_relays

    async def request(self, method, target, body, seconds):
        """Make one call, whichever ways it takes; see `StoreTransport`."""
        if not self.reach.is_lost:
            return await self._ask_store(method, target, body, seconds)
        until = self._clock.read_elapsed() + seconds
        is_quick = method == READ and seconds <= TRIAL_CALL_SECONDS
        if is_quick and self.reach.begin_trial():
            answer = await self._try_store(method, target, body, seconds)
            if answer is not None:
                return answer
        addresses = list(self._list_relays())
        random.shuffle(addresses)
        for address in addresses[:RELAYS_PER_CALL]:
            left = self._measure_left(until)
            try:
                return await self._ask_relay(address, method, target, body, left)
            except HTTPConnectError as error:
                log.info(
                    "relay not reached",
                    extra={"peer": address, "reason": error.message},
                )
        left = self._measure_left(until)
        return await self._ask_store(method, target, body, left)

    def _measure_left(self, until):
        return max(0.0, until - self._clock.read_elapsed())

    async def close(self):
        """Close idle connections."""
        for transport in [self.direct, *self._relays.values()]:
            await transport.close()

    async def _ask_store(self, method, target, body, seconds):
        try:
            answer = await self.direct.request(method, target, body, seconds)
        except (HTTPError, curio.TaskTimeout) as error:
            self._note(self.reach.note_failure, repr(error))
            raise
        if answer.status in REFUSED_STATUSES:
            self._note(self.reach.note_failure, f"status {answer.status}")
        else:
            self._note(self.reach.note_answer, "answered")
        return answer

    def _note(self, note, reason):
        """Note what a call has shown; log it if calls go another way from now on."""
        was_lost = self.reach.is_lost
        note()
        if self.reach.is_lost is not was_lost:
            extra = {"lost": self.reach.is_lost, "reason": reason}
            log.info("way to the store", extra=extra)

    async def _try_store(self, method, target, body, seconds):
        """Return the store's own answer if it comes soon, or None."""
        try:
            answer = await self._ask_store(
                method, target, body, min(seconds, TRIAL_SECONDS)
            )
        except (HTTPError, curio.TaskTimeout):
            return None
        return None if answer.status in REFUSED_STATUSES else answer

    async def _ask_relay(self, address, method, target, body, seconds):
        relay = self._relays.get(address)
        if relay is None:
            relay = DirectTransport(address, CONNECT_SECONDS)
            self._relays[address] = relay
        return await relay.request(method, target, body, seconds)


class StoreRelay:
    """Passes other hosts' calls on to the store.

    Parameters
    ----------
    direct : DirectTransport
    """

    def __init__(self, direct):
        self._direct = direct

    async def handle(self, exchange):
        """Pass one call on, and its answer back.

        Notes
        -----
        Where the call may have taken effect and no answer came, the connection
        ends without one, as it would have at the store.
        """
        body = await exchange.read_body()
        try:
            answer = await self._direct.request(
                exchange.method, exchange.target, body, RELAYED_SECONDS
            )
        except HTTPConnectError as error:
            log.info("store not reached for another", extra={"reason": error.message})
            await exchange.respond(503, JSON, b"{}")
        except (HTTPError, curio.TaskTimeout) as error:
            log.info("answer lost for another", extra={"reason": repr(error)})
            raise ConnectionAbortedError("The store's answer was lost.") from error
        else:
            await exchange.respond(answer.status, JSON, answer.body)
