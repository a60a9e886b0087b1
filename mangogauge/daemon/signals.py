"""Signals that tell a daemon to end, or to read its settings again."""

import os
import signal

from ..ticks import sleep_to_tick

__all__ = ["EndSignals", "ReloadSignal"]

# The kernel's own wake-up by signals is left to curio.
POLL_SECONDS = 0.2
RELOAD_POLL_SECONDS = 0.5


class EndSignals:
    """How many signals to end have come."""

    def __init__(self):
        self.count = 0
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._note)

    async def wait(self, count):
        """Return once so many have come."""
        while self.count < count:
            await sleep_to_tick(POLL_SECONDS)

    def _note(self, number, frame):
        self.count += 1


class ReloadSignal:
    """Whether settings have to be read again: by SIGHUP, or since a file changed.

    Parameters
    ----------
    path : str
        The settings' file.
    """

    def __init__(self, path):
        self._path = path
        self._asked = False
        self._stamp = self._read_stamp()
        signal.signal(signal.SIGHUP, self._note)

    async def wait(self):
        """Return once the settings have to be read again."""
        while not self._asked and self._read_stamp() == self._stamp:
            await sleep_to_tick(RELOAD_POLL_SECONDS)
        self._asked = False
        self._stamp = self._read_stamp()

    def _read_stamp(self):
        try:
            found = os.stat(self._path)
        except OSError:
            # The file is being replaced: looked at again soon.
            return None
        return (found.st_mtime_ns, found.st_size)

    def _note(self, number, frame):
        self._asked = True
