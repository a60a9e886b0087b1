"""Read the configuration again before a request is refused because of it."""

import curio
from returns.result import Failure

from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger
from .absence import AbsenceCertainty

__all__ = ["ConfigurationConfirmation"]

# Longest time that a request waits for the read; long enough for a call
# through a relay.
MAX_WAIT_SECONDS = 0.5
RETRY_AFTER_SECONDS = 0.5

log = get_logger("confirmation")


class ConfigurationConfirmation:
    """Confirms that something is absent from the operators' configuration.

    Concurrent requests share one read.

    Parameters
    ----------
    feed : ChangeFeed
    prefix : str
        Prefix of the operators' entries.
    listener : OperatorListener
    absence_checker : AbsenceChecker
    clock : Clock
    """

    def __init__(self, feed, prefix, listener, absence_checker, clock):
        self._feed = feed
        self._prefix = prefix
        self._listener = listener
        self._absence_checker = absence_checker
        self._clock = clock
        self._read_done = None

    async def confirm(self, asked_at):
        """Wait until what the configuration lacks may be reported as absent.

        Parameters
        ----------
        asked_at : float
            Elapsed time at which the request arrived.

        Raises
        ------
        Refusal
            If the configuration can't be confirmed, so that it may be outdated.
        """
        if self._absence_checker.assess(asked_at) is AbsenceCertainty.CERTAIN:
            return
        await self._wait_for_read()
        if self._absence_checker.assess(asked_at) is AbsenceCertainty.NONE:
            raise Refusal(
                RefusalCode.CONFIGURATION_STALE,
                "This host does not know the newest configuration.",
                retry_after=RETRY_AFTER_SECONDS,
                step="confirm configuration",
            )

    async def _wait_for_read(self):
        """Wait for the read in progress; begin one if there is none."""
        done = self._read_done
        if done is None:
            if not self._absence_checker.try_begin_read():
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
                self._absence_checker.note_read(asked_at)
        finally:
            done, self._read_done = self._read_done, None
            await done.set()
