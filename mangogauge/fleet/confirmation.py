"""Read the orders again before a caller is told that something isn't there."""

import curio
from returns.result import Failure

from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger
from .absence import AbsenceCertainty

__all__ = ["ConfigurationConfirmation"]

# How long a request is held up by the read: long enough for a detour.
MAX_WAIT_SECONDS = 0.5
RETRY_AFTER_SECONDS = 0.5

log = get_logger("confirmation")


class ConfigurationConfirmation:
    """Makes sure of what the operators' orders don't have.

    One read serves all requests that wait for it.

    Parameters
    ----------
    feed : ChangeFeed
    prefix : str
        Of the orders.
    listener : OperatorListener
    certainty : AbsenceChecker
    clock : Clock
    """

    def __init__(self, feed, prefix, listener, certainty, clock):
        self._feed = feed
        self._prefix = prefix
        self._listener = listener
        self._certainty = certainty
        self._clock = clock
        self._read_done = None

    async def confirm(self, asked_at):
        """Return once what the orders in force don't have may be denied.

        Parameters
        ----------
        asked_at : float
            Elapsed time at which the request came.

        Raises
        ------
        Refusal
            If the orders can't be confirmed: it may be there.
        """
        if self._certainty.assess(asked_at) is AbsenceCertainty.CERTAIN:
            return
        await self._wait_for_read()
        if self._certainty.assess(asked_at) is AbsenceCertainty.NONE:
            raise Refusal(
                RefusalCode.CONFIGURATION_STALE,
                "This host does not know the newest configuration.",
                retry_after=RETRY_AFTER_SECONDS,
                step="confirm configuration",
            )

    async def _wait_for_read(self):
        """Wait for the read under way; begin one if there is none."""
        done = self._read_done
        if done is None:
            if not self._certainty.try_begin_read():
                return
            done = self._read_done = curio.Event()
            await curio.spawn(self._read, daemon=True)
        async with curio.ignore_after(MAX_WAIT_SECONDS):
            await done.wait()

    async def _read(self):
        asked_at = self._clock.read_elapsed()
        try:
            answer = await self._feed.read_snapshot(self._prefix)
            answered = not isinstance(answer, Failure)
            log.info("orders read for a request", extra={"answered": answered})
            if answered:
                self._listener.apply_snapshot(answer.unwrap().items)
                self._certainty.note_read(asked_at)
        finally:
            done, self._read_done = self._read_done, None
            await done.set()
