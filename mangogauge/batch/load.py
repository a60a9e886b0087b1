"""How much this host and others run at each endpoint."""

from collections import Counter

import curio
import orjson

from ..http import Headers, HTTPError

__all__ = ["LoadWatcher", "ObservedRouter"]

LOAD_PATH = "/load"
LOAD_TIMEOUT = 1.0


class ObservedRouter:
    """A router that counts this host's attempts at each endpoint.

    Parameters
    ----------
    router : Router
        Does the work.
    """

    def __init__(self, router):
        self._router = router
        self.running = Counter()

    def __getattr__(self, name):
        return getattr(self._router, name)

    def begin(self, endpoint, *arguments, **named):
        """Note that an attempt starts."""
        self.running[endpoint.name] += 1
        return self._router.begin(endpoint, *arguments, **named)

    def end(self, endpoint, *arguments, **named):
        """Note that an attempt ended."""
        self.running[endpoint.name] -= 1
        return self._router.end(endpoint, *arguments, **named)


class LoadWatcher:
    """Asks endpoints for their load.

    Parameters
    ----------
    pool : ClientPool
    """

    def __init__(self, pool):
        self._pool = pool

    async def ask_all(self, endpoints, room):
        """Ask each endpoint and pass its report to `room`."""
        async with curio.TaskGroup() as group:
            for endpoint in endpoints:
                await group.spawn(self._ask, endpoint, room)

    async def _ask(self, endpoint, room):
        try:
            async with curio.timeout_after(LOAD_TIMEOUT):
                response = await self._pool.request(
                    endpoint.address,
                    "GET",
                    LOAD_PATH,
                    Headers([("Host", endpoint.address)]),
                    b"",
                )
                body = await response.read()
            report = orjson.loads(body)
            running, waiting = int(report["running"]), int(report["waiting"])
            room.note_report(endpoint.name, running, waiting)
        except (HTTPError, curio.TaskTimeout, ValueError, KeyError, TypeError):
            # An endpoint that reports no load is judged by this host's own
            # counts alone.
            return
