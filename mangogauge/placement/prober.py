"""Background checks of the paths to endpoints that are unreachable or silent."""

import curio

from ..paths import PathState
from ..ticks import sleep_to_tick

__all__ = ["ReachabilityProber"]

PROBE_INTERVAL_SECONDS = 0.15
# Interval of checks while no endpoint is unreachable or silent.
IDLE_INTERVAL_SECONDS = 0.3
# Least time between two checks of an endpoint that is only silent.
SILENCE_INTERVAL_SECONDS = 1.0


class ReachabilityProber:
    """Checks the paths to endpoints that are unreachable, unverified or silent.

    Parameters
    ----------
    health : EndpointHealth
    directory : EndpointDirectory
    checker : PathChecker
    clock : Clock
    """

    def __init__(self, health, directory, checker, clock):
        self._health = health
        self._directory = directory
        self._checker = checker
        self._clock = clock
        self._checked_at = {}

    async def run(self):
        """Probe until cancelled."""
        while True:
            names = self._list_suspects()
            if not names:
                await sleep_to_tick(IDLE_INTERVAL_SECONDS)
                continue
            await sleep_to_tick(PROBE_INTERVAL_SECONDS)
            async with curio.TaskGroup() as group:
                for name in names:
                    await group.spawn(self._probe, name)

    def _list_suspects(self):
        unreachable = self._health.list_unreachable()
        known = [e.name for e in self._directory.list_endpoints()]
        unverified = [n for n in known if self._health.is_unverified(n)]
        silent = [n for n in self._health.list_silent() if self._is_due(n)]
        return list(dict.fromkeys([*unreachable, *unverified, *silent]))

    def _is_due(self, name):
        checked_at = self._checked_at.get(name, float("-inf"))
        return self._clock.read_elapsed() >= checked_at + SILENCE_INTERVAL_SECONDS

    async def _probe(self, name):
        endpoint = self._directory.get(name)
        if endpoint is None:
            self._health.forget(name)
            self._checker.forget(name)
            self._checked_at.pop(name, None)
            return
        self._checked_at[name] = self._clock.read_elapsed()
        state = await self._checker.check(endpoint)
        if state is PathState.SUSPECTED:
            return
        # A path that turned out to be lost has cleared the failure already.
        self._health.confirm(name)
