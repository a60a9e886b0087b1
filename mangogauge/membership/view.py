"""One host's view of all members and of what each says of itself.

A member's heartbeat is a counter that only it advances. A member whose counter
this host has not seen advance for a while is not live, whoever still knows it.
"""

from attrs import define, field

from ..protocol.membership_pb2 import Digest, Entry, ExchangeReply, MemberState
from .members import Member

__all__ = ["FORGET_SECONDS", "LIVE_SECONDS", "MembershipView"]

LIVE_SECONDS = 3.0
FORGET_SECONDS = 60.0


@define
class _Known:
    """What is known of one member."""

    member = field()
    heartbeat = field(default=0)
    leaving = field(default=False)
    entries = field(factory=dict)
    version = field(default=0)
    advanced_at = field(default=0.0)


class MembershipView:
    """Members by name.

    Parameters
    ----------
    own : Member
        The host itself.
    clock : Clock
    """

    def __init__(self, own, clock):
        self.own = own
        self._clock = clock
        now = clock.read_elapsed()
        self._known = {own.name: _Known(own, heartbeat=1, advanced_at=now)}

    def publish(self, name, value, wide=True):
        """Say something of this host to all others.

        Parameters
        ----------
        name : str
            Name of the entry.
        value : bytes
            Replaces the entry's value; nothing is sent if it is the same.
        wide : bool, optional
            Whether hosts of other data centres are told as well. What changes
            often should stay within the data centre.
        """
        known = self._known[self.own.name]
        old = known.entries.get(name)
        if old is not None and old.value == value:
            return
        known.version += 1
        known.entries[name] = Entry(name=name, version=known.version, value=value)

    def read(self, member_name, entry_name):
        """Return the bytes that a member last said under a name, or None."""
        known = self._known.get(member_name)
        entry = known.entries.get(entry_name) if known else None
        return entry.value if entry else None

    def list_members(self, data_centre=None, with_leaving=False):
        """Return live members in order of name, this host included.

        Parameters
        ----------
        data_centre : str, optional
            Only members there.
        with_leaving : bool, optional
            Also those that are about to end.
        """
        return tuple(
            known.member
            for _, known in sorted(self._known.items())
            if self._is_live(known)
            and (with_leaving or not known.leaving)
            and data_centre in (None, known.member.data_centre)
        )

    def is_live(self, member_name):
        """Return whether the member's heartbeat still advances."""
        known = self._known.get(member_name)
        return known is not None and self._is_live(known)

    def set_leaving(self):
        """Say that this host is about to end."""
        self._known[self.own.name].leaving = True

    def beat(self):
        """Advance this host's heartbeat and forget members that are long gone."""
        own = self._known[self.own.name]
        own.heartbeat += 1
        now = self._clock.read_elapsed()
        own.advanced_at = now
        for name, known in list(self._known.items()):
            if now - known.advanced_at > FORGET_SECONDS:
                del self._known[name]

    def make_own_state(self):
        """Return this host's whole `MemberState`."""
        return _make_state(self._known[self.own.name], 0)

    def make_digests(self):
        """Return a `Digest` for each member known."""
        return [
            Digest(
                name=name,
                incarnation=known.member.incarnation,
                heartbeat=known.heartbeat,
                version=known.version,
            )
            for name, known in self._known.items()
        ]

    def make_reply(self, request):
        """Take an `ExchangeRequest` in; return what its sender does not know."""
        self.take_state(request.sender)
        reached = {digest.name: digest for digest in request.digests}
        news = []
        for name, known in self._known.items():
            state = _make_news(known, reached.get(name))
            if state is not None:
                news.append(state)
        return ExchangeReply(news=news)

    def take_state(self, state):
        """Take in what a peer knows of a member, if it is newer."""
        if state.name == self.own.name:
            return
        known = self._known.get(state.name)
        if known is None or known.member.incarnation < state.incarnation:
            member = Member(
                state.name, state.data_centre, state.address, state.incarnation
            )
            known = self._known[state.name] = _Known(member)
        if known.member.incarnation > state.incarnation:
            return
        if state.heartbeat > known.heartbeat:
            known.heartbeat = state.heartbeat
            known.advanced_at = self._clock.read_elapsed()
        known.leaving = known.leaving or state.leaving
        for entry in state.entries:
            self._take_entry(known, entry)

    def _take_entry(self, known, entry):
        old = known.entries.get(entry.name)
        if old is None or old.version < entry.version:
            known.entries[entry.name] = entry
            known.version = max(known.version, entry.version)

    def _is_live(self, known):
        if known.member.name == self.own.name:
            return True
        return self._clock.read_elapsed() - known.advanced_at <= LIVE_SECONDS


def _make_state(known, after_version):
    member = known.member
    return MemberState(
        name=member.name,
        data_centre=member.data_centre,
        address=member.address,
        incarnation=member.incarnation,
        heartbeat=known.heartbeat,
        leaving=known.leaving,
        entries=[e for e in known.entries.values() if e.version > after_version],
    )


def _make_news(known, digest):
    if digest is None or digest.incarnation < known.member.incarnation:
        return _make_state(known, 0)
    if digest.incarnation > known.member.incarnation:
        return None
    if digest.heartbeat >= known.heartbeat and digest.version >= known.version:
        return None
    return _make_state(known, digest.version)
