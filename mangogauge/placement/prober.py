"""Find out in the background when unreachable endpoints take connections again."""

import curio

from ..http import ClientConnection, HTTPConnectError
from ..telemetry import get_logger
from ..ticks import sleep_to_tick

__all__ = ["ReachabilityProber"]

PROBE_INTERVAL_SECONDS = 0.15
# How often it is looked whether there is anything to probe.
IDLE_INTERVAL_SECONDS = 0.3
CONNECT_TIMEOUT_SECONDS = 0.2

log = get_logger("prober")


class ReachabilityProber:
    """Tries to connect to endpoints that took no connection, or are in doubt.

    Parameters
    ----------
    health : EndpointHealth
    directory : EndpointDirectory
    """

    def __init__(self, health, directory):
        self._health = health
        self._directory = directory

    async def run(self):
        """Probe until cancelled."""
        while True:
            names = self._health.list_unreachable()
            if not names:
                await sleep_to_tick(IDLE_INTERVAL_SECONDS)
                continue
            await sleep_to_tick(PROBE_INTERVAL_SECONDS)
            known = [e.name for e in self._directory.list_endpoints()]
            names += [n for n in known if self._health.is_unverified(n)]
            async with curio.TaskGroup() as group:
                for name in dict.fromkeys(names):
                    await group.spawn(self._probe, name)

    async def _probe(self, name):
        endpoint = self._directory.get(name)
        if endpoint is None:
            self._health.forget(name)
            return
        try:
            connection = await ClientConnection.open(
                endpoint.address, CONNECT_TIMEOUT_SECONDS
            )
        except HTTPConnectError:
            self._health.note_unreachable(name)
            return
        await connection.close()
        self._health.note_reachable(name)
        log.info("endpoint reachable", extra={"endpoint": name})
