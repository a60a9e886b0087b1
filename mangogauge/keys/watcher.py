"""Brings grants and withdrawals of keys to a host."""

import curio
from returns.result import Failure

from ..daemon.parts import HostPart

__all__ = ["KeyWatcher"]

REFRESH_SECONDS = 1.0


class KeyWatcher(HostPart):
    """Keeps a `KeyRing` up to date.

    Parameters
    ----------
    ring : KeyRing
    keys : KeyStore
    """

    def __init__(self, ring, keys):
        self._ring = ring
        self._keys = keys

    async def run(self):
        """Refresh until cancelled."""
        while True:
            found = await self._keys.list_all()
            if not isinstance(found, Failure):
                self._ring.replace(found.unwrap())
            await curio.sleep(REFRESH_SECONDS)
