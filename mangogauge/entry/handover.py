"""Leave a silent endpoint's run for another endpoint, once it has ended there.

An endpoint whose process stands still for a second has a kernel that accepts
connections and keeps what is sent. When it goes on it works on all of it, and notices
late that its caller has closed. What it may still work on is therefore not started
elsewhere before it has ended its run, or has had more than the time of such a pause.
"""

import curio
from returns.result import Failure

from ..telemetry import get_logger

__all__ = ["Handover"]

# A sound endpoint may be silent for a second or so and go on.
PAUSE_SECONDS = 1.6
# Longest wait for an endpoint to end a run, once it was told that its caller left.
END_SECONDS = 0.4
# How often a silent endpoint is looked at again.
CHECK_SECONDS = 0.2

log = get_logger("dispatch")


class Handover:
    """Decides when one attempt at a silent endpoint makes way for another one.

    Parameters
    ----------
    call : OnlineCall
    endpoint : FleetEndpoint
        Endpoint of the attempt.
    limit : float
        Seconds of silence after which another endpoint may take over.
    reserve, release : async callable
        Hold a slot at the endpoint that takes over, if one can, and return whether;
        give it back.
    is_direct : callable
        Returns whether this host reaches the endpoint itself.
    clock : Clock

    Attributes
    ----------
    limit : float
        See above.
    connection : ClientConnection or None
        The connection that carries the attempt.
    """

    def __init__(self, call, endpoint, limit, reserve, release, is_direct, clock):
        self.limit = limit
        self.connection = None
        self._call = call
        self._endpoint = endpoint
        self._reserve = reserve
        self._release = release
        self._is_direct = is_direct
        self._clock = clock
        self._silent_since = clock.read_elapsed()
        self._asked_at = None

    def note_connection(self, connection):
        """Note the connection that is about to carry the request."""
        self.connection = connection
        self._silent_since = self._clock.read_elapsed()

    async def note_progress(self):
        """Note that the endpoint has sent a part of its answer, so that it goes on."""
        self._silent_since = self._clock.read_elapsed()
        if self._asked_at is not None:
            self._asked_at = None
            await self._release()

    async def wait(self, reading):
        """Wait for a task that reads from the endpoint; return whether it has ended.

        Returns
        -------
        bool
            False if the endpoint is to be left.
        """
        seconds = self.limit
        while True:
            async with curio.ignore_after(seconds):
                await reading.wait()
            if reading.terminated:
                return True
            if self.connection is None:
                return False
            if await self.may_give_up():
                await self._keep_answer(reading)
                return reading.terminated
            seconds = CHECK_SECONDS

    async def _keep_answer(self, reading):
        """Give the successor back if an answer began while it was looked for."""
        if reading.terminated and not _has_failed(reading):
            await self._release()

    async def may_give_up(self):
        """Return whether another endpoint goes on with the silent endpoint's run.

        Notes
        -----
        The endpoint is told that its caller has left while its answer is still read:
        the end of the connection shows that it has ended the run, and the attempt then
        fails by that.
        """
        if self._asked_at is not None:
            return self._clock.read_elapsed() >= self._asked_at + END_SECONDS
        if not self._is_direct():
            # What it does is unknown until the path is back.
            return await self._reserve()
        silent_seconds = self._clock.read_elapsed() - self._silent_since
        if silent_seconds < PAUSE_SECONDS or not await self._reserve():
            return False
        if not await self.connection.end_sending():
            return True
        self._asked_at = self._clock.read_elapsed()
        log.info(
            "silent endpoint told to end a run",
            extra={
                "request_id": self._call.request_id,
                "endpoint": self._endpoint.name,
                "silent_seconds": round(silent_seconds, 3),
            },
        )
        return False


def _has_failed(reading):
    return reading.exception is not None or isinstance(reading.result, Failure)
