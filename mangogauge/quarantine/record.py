"""Record of quarantined parts in the platform's store, for hosts that start anew.

Hosts learn from each other; the record is for the case that all of them end at once.
It is read once, at a host's start, and written by one host whenever it changes.
"""

import curio
import orjson
from returns.result import Failure

from ..telemetry import get_logger
from .news import CrashNews

__all__ = ["RECORD_KEY", "QuarantineRecord"]

RECORD_KEY = "quarantine/parts"
POLL_SECONDS = 1.0
RETRY_SECONDS = 0.5

log = get_logger("crashes")


class QuarantineRecord:
    """Reads and writes the record.

    Parameters
    ----------
    store : Store
    part_quarantine : PartQuarantine
    is_writer : callable
        Returns whether this host writes what has changed.
    clock : Clock
    """

    def __init__(self, store, part_quarantine, is_writer, clock):
        self._store = store
        self._part_quarantine = part_quarantine
        self._is_writer = is_writer
        self._clock = clock
        self._recorded = {}

    async def run(self):
        """Read the record, then keep it until cancelled."""
        while not await self._read():
            await curio.sleep(RETRY_SECONDS)
        while True:
            await curio.sleep(POLL_SECONDS)
            if self._has_changed() and self._is_writer():
                await self._write()

    def _has_changed(self):
        return self._describe() != self._recorded

    def _describe(self):
        """Return whether each part in quarantine is ambiguous, by its name."""
        quarantine = self._part_quarantine
        return {
            part: quarantine.is_ambiguous(part)
            for part in quarantine.list_quarantined()
        }

    async def _read(self):
        answer = await self._store.get(RECORD_KEY)
        if isinstance(answer, Failure):
            self._log_failure("read", answer)
            return False
        entry = answer.unwrap()
        if entry is not None:
            self._restore(entry.value)
        return True

    def _restore(self, data):
        try:
            value = orjson.loads(data)
            elapsed = self._clock.read_calendar() - float(value["written_at"])
            news = CrashNews.from_value(value["news"]).grow_older(max(0.0, elapsed))
        except (ValueError, TypeError, LookupError) as error:
            log.warning("quarantine record is invalid", extra={"reason": repr(error)})
            return
        self._part_quarantine.merge(news)
        self._recorded = self._describe()
        log.info("quarantine record read", extra={"parts": sorted(self._recorded)})

    async def _write(self):
        parts = self._describe()
        news = self._part_quarantine.make_quarantine_news()
        value = {
            "written_at": self._clock.read_calendar(),
            "news": orjson.Fragment(news.to_bytes()),
        }
        answer = await self._store.put(RECORD_KEY, orjson.dumps(value))
        if isinstance(answer, Failure):
            self._log_failure("written", answer)
            return
        self._recorded = parts
        log.info("quarantine record written", extra={"parts": sorted(parts)})

    def _log_failure(self, action, answer):
        log.warning(
            f"quarantine record not {action}",
            extra={"reason": str(answer.failure())},
        )
