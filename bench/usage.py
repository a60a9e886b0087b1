"""Processor time and memory of running processes."""

import os
import time
from pathlib import Path

from attrs import field, frozen

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KILOBYTE = 1024


@frozen
class Usage:
    """What a process has used so far."""

    at = field()
    processor_seconds = field()
    memory_bytes = field()

    @classmethod
    def read(cls, process):
        """Read the usage of a builder's `Process`."""
        folder = Path(f"/proc/{process.pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        status = (folder / "status").read_text()
        resident = status.partition("VmRSS:")[2].split()[0]
        return cls(time.monotonic(), ticks / TICKS_PER_SECOND, int(resident) * KILOBYTE)

    def measure_share(self, earlier):
        """Return the part of one core used since `earlier`."""
        used = self.processor_seconds - earlier.processor_seconds
        return used / (self.at - earlier.at)
