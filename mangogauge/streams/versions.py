"""Record of the software versions of each service, for hosts that missed some.

A host that starts sees which versions there are, and learns from the record which
others may have begun the streams that callers resume now; so does a host that was out
of touch for a while. It is one key of the platform's store, read then and written by
one host whenever it changes.
"""

import orjson
from returns.result import Failure

from ..telemetry import get_logger
from ..ticks import sleep_to_tick
from .origins import StreamOrigin

__all__ = ["VERSIONS_KEY", "VersionRecord"]

VERSIONS_KEY = "streams-versions"
POLL_SECONDS = 0.5

log = get_logger("streams")


class VersionRecord:
    """Reads and writes the record.

    Parameters
    ----------
    store : Store
    history : VersionHistory
    is_writer : callable
        Returns whether this host writes what has changed.
    """

    def __init__(self, store, history, is_writer):
        self._store = store
        self._history = history
        self._is_writer = is_writer
        self._recorded = []

    async def run(self):
        """Read the record wherever the history isn't complete, and keep it.

        Notes
        -----
        A host that is out of step doesn't write: others know more.
        """
        while True:
            if not self._history.complete:
                await self.read()
            origins = self._history.list_all()
            if origins and origins != self._recorded and self._may_write():
                await self._write(origins)
            await sleep_to_tick(POLL_SECONDS)

    async def read(self):
        """Read the record into the history; return whether that succeeded."""
        answer = await self._store.get(VERSIONS_KEY)
        if isinstance(answer, Failure):
            _log_failure("versions not read", answer)
            return False
        entry = answer.unwrap()
        self._recorded = [] if entry is None else _decode(entry.value)
        self._history.restore(self._recorded)
        return True

    def _may_write(self):
        return self._is_writer() and self._history.is_current()

    async def _write(self, origins):
        rows = [[origin.service, origin.software] for origin in origins]
        answer = await self._store.put(VERSIONS_KEY, orjson.dumps(rows))
        if isinstance(answer, Failure):
            _log_failure("versions not written", answer)
            return
        self._recorded = origins
        log.info("versions written", extra={"versions": rows})


def _decode(data):
    try:
        return [StreamOrigin(str(s), str(v)) for s, v in orjson.loads(data)]
    except (ValueError, TypeError) as error:
        log.warning("record of versions is invalid", extra={"reason": repr(error)})
        return []


def _log_failure(message, answer):
    log.warning(message, extra={"reason": str(answer.failure())})
