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

    def __init__(self, names):
        self._members = [FleetMember(name, "1", "b", name) for name in names]

    def list_others(self):
        return self._members

    def is_reporting(self, name):
        return True


class PeerWorld:
    """The choice of a host that hears some peers.

    Attributes
    ----------
    clock : ManualClock
    """

    def __init__(self, names):
        self.clock = ManualClock()
        members = _Members(names)
        self._count = len(names)
        self._peers = TunnelPeers(members, members, self.clock, random.Random(1))

    def fail(self, peer, endpoint=None):
        """Note that a peer failed, for one endpoint or for all."""
        self._peers.note_failure(peer, endpoint and make_endpoint(endpoint))

    def list_last(self, endpoint):
        """Return the peers that are asked last in any of many choices."""
        return {
            self._peers.choose(make_endpoint(endpoint), self._count)[-1]
            for _ in range(CHOICES)
        }
