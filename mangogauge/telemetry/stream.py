"""Write log lines without ever waiting, and no more than so many a second.

A reader that has stopped, or a burst of lines, costs lines and never requests.
What was left out is counted, and told in a line of its own.
"""

import logging
import os
import time

__all__ = ["BoundedStreamHandler"]

LINES_PER_SECOND = 200.0
BURST_LINES = 1000.0
# Lines from this level on are written whatever the rate, unless the reader has
# stopped.
URGENT_LEVEL = logging.WARNING
REPORT_SECONDS = 1.0


class BoundedStreamHandler(logging.Handler):
    """Writes lines to a file descriptor that never blocks.

    Parameters
    ----------
    descriptor : int
    on_drop : callable, optional
        Called with the number of lines that were left out since the last call.
    read_time : callable, optional
        Returns seconds.
    """

    def __init__(self, descriptor, on_drop=None, read_time=time.monotonic):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._on_drop = on_drop or (lambda count: None)
        self._read_time = read_time
        self._credit = BURST_LINES
        self._updated_at = read_time()
        self._reported_at = self._updated_at
        self._dropped = 0
        self._rest = b""

    def emit(self, record):
        """Write a record, or count it as dropped."""
        now = self._read_time()
        self._accrue(now)
        if record.levelno < URGENT_LEVEL and self._credit < 1:
            self._dropped += 1
            return
        self._credit = max(0.0, self._credit - 1)
        if self._write(self.format(record).encode() + b"\n"):
            self._report_drops(now, record)

    def _accrue(self, now):
        gained = (now - self._updated_at) * LINES_PER_SECOND
        self._credit = min(BURST_LINES, self._credit + gained)
        self._updated_at = now

    def _report_drops(self, now, record):
        if not self._dropped or now < self._reported_at + REPORT_SECONDS:
            return
        count, self._dropped = self._dropped, 0
        self._reported_at = now
        self._on_drop(count)
        note = logging.makeLogRecord(
            {
                "name": record.name,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "log lines dropped",
                "lines": count,
            }
        )
        self._write(self.format(note).encode() + b"\n")

    def _write(self, line):
        """Return whether a line was taken; one that was begun is finished first."""
        data = self._rest + line
        try:
            sent = os.write(self._descriptor, data)
        except OSError:
            # The reader has stopped, or is gone: nobody to tell but a counter.
            self._dropped += 1
            return False
        rest = data[sent:]
        begun = len(data) - len(line)
        if rest and sent <= begun:
            self._dropped += 1
            self._rest = data[sent:begun]
            return False
        self._rest = rest
        return True
