"""Test data of crashes: detectors, and hosts that tell each other of crashes."""

from mangogauge.entry import CrashDetector
from mangogauge.quarantine import PartQuarantine
from mangogauge.sharing import CrashLedger

__all__ = ["make_crash_detector"]


async def ignore_change():
    """Do nothing."""


def make_crash_detector(clock, has_reported_since=lambda data_centre, since: True):
    """Return a `CrashDetector` of a host that tells nobody."""
    return CrashDetector(
        CrashLedger(clock),
        PartQuarantine(clock),
        ignore_change,
        clock,
        has_reported_since,
    )
