"""Test data of crashes: detectors, and hosts that tell each other of crashes."""

import curio
from attrs import define, field

from mangogauge.clock import ManualClock
from mangogauge.entry import CrashDetector
from mangogauge.quarantine import PartQuarantine, PartTrials
from mangogauge.sharing import CrashLedger
from mangogauge.sharing.messages import decode
from mangogauge.store import MemoryStore

__all__ = ["GossipingHosts", "make_crash_detector", "make_trials"]

LEASE_SECONDS = 100_000.0


async def ignore_change():
    """Do nothing."""


@define
class LeaseHolder:
    """Registration of a host whose lease never lapses."""

    lease = field()
    is_valid = True


def make_trials(store, name, part_quarantine, clock, is_first=lambda: False):
    """Return the `PartTrials` of a host whose news reach all others at once."""
    holder = LeaseHolder(curio.run(store.grant_lease, LEASE_SECONDS).unwrap())
    return PartTrials(
        store, holder, name, part_quarantine, clock, is_first, settle_seconds=0
    )


def make_crash_detector(
    clock,
    has_reported_since=lambda data_centre, since: True,
    part_quarantine=None,
    trials=None,
):
    """Return a `CrashDetector` of a host that tells nobody."""
    part_quarantine = part_quarantine or PartQuarantine(clock)
    trials = trials or make_trials(MemoryStore(clock), "own", part_quarantine, clock)
    return CrashDetector(
        CrashLedger(clock),
        part_quarantine,
        trials,
        ignore_change,
        clock,
        has_reported_since,
    )


class GossipingHosts:
    """Hosts that tell each other of crashes without a network.

    Attributes
    ----------
    clock : ManualClock
    cut_off : set of str
        Names of the hosts that neither tell nor hear anything.
    """

    def __init__(self, names):
        self.clock = ManualClock()
        self.cut_off = set()
        self._quarantines = {name: PartQuarantine(self.clock) for name in names}

    def __getitem__(self, name):
        return self._quarantines[name]

    def restart(self, name):
        """Forget all that a host knows."""
        self._quarantines[name] = PartQuarantine(self.clock)

    def tell_all(self):
        """Let each host tell each other one, in two rounds."""
        for _ in range(2):
            for name in self._list_reachable():
                self.tell_others(name)

    def _list_reachable(self):
        return [name for name in self._quarantines if name not in self.cut_off]

    def tell_others(self, name):
        """Let one host tell each other one."""
        news = self[name].make_news()
        if not news:
            return
        for other in self._list_reachable():
            if other != name:
                for message in decode(news.to_bytes()):
                    self[other].merge(message)
