"""A host's choice among peers, without a network."""

import random

from mangogauge.clock import ManualClock
from mangogauge.fleet import FleetMember
from mangogauge.paths import TunnelPeers

from .fleet import make_endpoint

__all__ = ["PeerWorld"]

CHOICES = 64


class _Members:
    """Stands in for a `MemberDirectory`, and for the reports of all hosts."""

    def __init__(self, names, data_centres):
        self._members = [
            FleetMember(name, "1", data_centre, name)
            for name, data_centre in zip(names, data_centres, strict=True)
        ]

    def list_others(self):
        return self._members

    def is_reporting(self, name):
        return True


class PeerWorld:
    """The choice of a host that hears some peers.

    Attributes
    ----------
    clock : ManualClock
    chosen : set of str
        Peers among which those were chosen that carry a connection.
    """

    def __init__(self, names, data_centres=None):
        self.clock = ManualClock()
        members = _Members(names, data_centres or ["b"] * len(names))
        self.chosen = set()
        self._count = len(names)
        self._peers = TunnelPeers(members, members, self.clock, random.Random(1))

    def fail(self, peer, endpoint=None):
        """Note that a peer failed, for one endpoint or for all."""
        self._peers.note_failure(peer, endpoint and make_endpoint(endpoint))

    def choose(self, endpoint, count, accepts=None):
        """Choose peers as `TunnelPeers`; return none, so that none is connected to."""
        choose = self._peers.choose
        self.chosen.update(choose(endpoint, self._count, accepts=accepts))
        return []

    def list_last(self, endpoint):
        """Return the peers that are asked last in any of many choices."""
        return {
            self._peers.choose(make_endpoint(endpoint), self._count)[-1]
            for _ in range(CHOICES)
        }
