"""Runs of items that were left at an endpoint, until they have ended there."""

import curio

__all__ = ["RunEndings"]

# Longest wait of an item for the end of its run before; it is then tried later.
WAIT_SECONDS = 0.25


class RunEndings:
    """Ends the runs that this host leaves, and knows which go on.

    Notes
    -----
    An item that gives way, or whose endpoint is silent, may start elsewhere at once.
    The endpoint that it leaves may stand still, and work on it once it goes on.
    """

    def __init__(self):
        self._ended = {}

    def attach(self, connection, request_id):
        """Have a connection that is closed within an answer end that run."""
        connection.on_left = lambda left: self._begin(left, request_id)

    async def wait(self, request_id):
        """Wait for the end of the run before; return whether there is none."""
        ended = self._ended.get(request_id)
        if ended is None:
            return True
        async with curio.ignore_after(WAIT_SECONDS):
            await ended.wait()
        return ended.is_set()

    async def _begin(self, connection, request_id):
        ended = self._ended[request_id] = curio.Event()
        await curio.spawn(self._end, connection, request_id, ended, daemon=True)

    async def _end(self, connection, request_id, ended):
        try:
            await connection.await_end()
        finally:
            if self._ended.get(request_id) is ended:
                del self._ended[request_id]
            await ended.set()
