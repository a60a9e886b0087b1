"""Signals that tell a daemon to end."""

import signal

import curio

__all__ = ["EndSignals"]

# The kernel's own wake-up by signals is left to curio.
POLL_SECONDS = 0.1


class EndSignals:
    """How many signals to end have come."""

    def __init__(self):
        self.count = 0
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._note)

    async def wait(self, count):
        """Return once so many have come."""
        while self.count < count:
            await curio.sleep(POLL_SECONDS)

    def _note(self, number, frame):
        self.count += 1
