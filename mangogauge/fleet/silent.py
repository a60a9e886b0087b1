"""Hosts whose entries have lapsed, and which may serve callers all the same.

A host that is cut off from the store and from the other hosts is registered no longer
after some seconds. Its callers and the endpoints may still reach it, so that it goes on
to use its part of each rate. The others leave it that part until they know better: it
has said that it leaves, or its name is registered again. Hosts tell each other, also
for those that have started since.
"""

from attrs import field, frozen

from ..telemetry import get_logger
from .membernews import MemberNews, SilentHost

__all__ = ["SilentHosts"]

# How long a part is left to a host of which nothing is known.
RESERVED_SECONDS = 600.0
# Hosts that are told of at once, so that news stay small.
MAX_TOLD = 24

log = get_logger("members")


@frozen
class _HostKey:
    """One process of a host."""

    name = field()
    incarnation = field()


class SilentHosts:
    """Hosts that have neither left nor come back since their entries lapsed.

    Parameters
    ----------
    members : MemberDirectory
    clock : Clock

    Examples
    --------
    >>> from mangogauge.clock import ManualClock
    >>> from mangogauge.fleet import FleetMember, MemberDirectory
    >>> own, clock = FleetMember("a", "1"), ManualClock()
    >>> SilentHosts(MemberDirectory(own, clock), clock).list_names()
    []
    """

    def __init__(self, members, clock):
        self._members = members
        self._clock = clock
        self._known = []
        # Elapsed times at which processes lapsed, and at which others said to leave.
        self._silent = {}
        self._left = {}
        self._has_changed = False

    def list_names(self):
        """Return the names of the silent hosts, in order."""
        self._update()
        return sorted({key.name for key in self._silent})

    def note_leaving(self):
        """Note that this host leaves, and return the `MemberNews` that say so."""
        own = self._members.own
        return MemberNews((), [(own.name, own.incarnation)])

    def make_news(self):
        """Return the `MemberNews` for other hosts; false if there are none."""
        self._update()
        now = self._clock.read_elapsed()
        told = list(self._silent)[:MAX_TOLD]
        for key in told:
            # The others come first the next time.
            self._silent[key] = self._silent.pop(key)
        left = list(self._left)[-MAX_TOLD:] if told else []
        return MemberNews(
            [SilentHost(k.name, k.incarnation, now - self._silent[k]) for k in told],
            [(key.name, key.incarnation) for key in left],
        )

    def take_change(self):
        """Return whether a host has fallen silent since the last call."""
        self._update()
        has_changed, self._has_changed = self._has_changed, False
        return has_changed

    def merge(self, news):
        """Merge another host's `MemberNews`; return whether they were new."""
        now = self._clock.read_elapsed()
        before = len(self._left), len(self._silent)
        for name, incarnation in news.left:
            self._left.setdefault(_HostKey(name, incarnation), now)
        for row in news.silent:
            self._note_silent(_HostKey(row.name, row.incarnation), now - row.age)
        self._update()
        return (len(self._left), len(self._silent)) != before

    def _note_silent(self, key, at):
        is_expired = at <= self._clock.read_elapsed() - RESERVED_SECONDS
        if key in self._left or is_expired or key.name == self._members.own.name:
            return
        if self._members.get(key.name) is None and key not in self._silent:
            self._silent[key] = at
            self._has_changed = True
            log.info("part of the rates reserved", extra={"member": key.name})

    def _update(self):
        current = self._members.list_others()
        if current is not self._known:
            self._follow(current)
        oldest = self._clock.read_elapsed() - RESERVED_SECONDS
        for times in (self._silent, self._left):
            for key in [k for k, at in times.items() if at <= oldest]:
                del times[key]
        for key in [k for k in self._silent if k in self._left]:
            self._release(key)

    def _follow(self, current):
        """Take over which hosts are registered."""
        known, self._known = self._known, current
        names = {member.name for member in current}
        now = self._clock.read_elapsed()
        for member in known:
            if member.serves_callers and member.name not in names:
                self._note_silent(_HostKey(member.name, member.incarnation), now)
        for key in [key for key in self._silent if key.name in names]:
            self._release(key)

    def _release(self, key):
        del self._silent[key]
        log.info("part of the rates no longer reserved", extra={"member": key.name})
