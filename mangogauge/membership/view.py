"""One host's view of all members and of what each says of itself.

Within a data centre each member is known by itself: its heartbeat is a counter
that only it advances, and a member whose counter has not been seen to advance
for a while is not live, whoever still knows it. Of other data centres a host
knows a roster, told by any live member there.
"""

import math

from attrs import define, evolve, field

from ..protocol.membership_pb2 import (
    Digest,
    Entry,
    ExchangeReply,
    ExchangeRequest,
    MemberState,
)
from .digests import hash_name
from .members import Member
from .rosters import ROSTER_SECONDS, RosterTable, make_roster

__all__ = ["FORGET_SECONDS", "LIVE_SECONDS", "MembershipView"]

LIVE_SECONDS = 3.0
FORGET_SECONDS = 60.0
EXCHANGE_SECONDS = 0.3
# News needs more rounds, and rounds are longer, where there are more members.
MEMBERS_AT_FULL_PACE = 16
SPARE_ROUNDS = 12


@define
class _Known:
    """What is known of one member of this data centre."""

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
        self.rosters = RosterTable(own.data_centre, clock)
        self._contacts = {}
        self._clock = clock
        now = clock.read_elapsed()
        self._known = {own.name: _Known(own, heartbeat=1, advanced_at=now)}

    @property
    def interval_factor(self):
        """Factor on intervals and timeouts; grows with the data centre."""
        return max(1.0, len(self._known) / MEMBERS_AT_FULL_PACE)

    @property
    def live_seconds(self):
        """Seconds after which a member that nobody hears of is not live."""
        rounds = math.log2(len(self._known)) + SPARE_ROUNDS
        return max(LIVE_SECONDS, EXCHANGE_SECONDS * self.interval_factor * rounds)

    def read_now(self):
        """Return the elapsed time that the view goes by."""
        return self._clock.read_elapsed()

    def publish(self, name, value, all_data_centres=True):
        """Say something of this host to all others.

        Parameters
        ----------
        name : str
            Name of the entry.
        value : bytes
            Replaces the entry's value; nothing is sent if it is the same.
        all_data_centres : bool, optional
            Whether hosts of other data centres are told as well. What changes
            often should stay within the data centre.
        """
        known = self._known[self.own.name]
        old = known.entries.get(name)
        if old is not None and old.value == value:
            return
        known.version += 1
        known.entries[name] = Entry(
            name=name, version=known.version, value=value, narrow=not all_data_centres
        )

    def read(self, member_name, entry_name):
        """Return the bytes that a member last said under a name, or None."""
        known = self._known.get(member_name)
        if known is None:
            return self.rosters.read(member_name, entry_name)
        entry = known.entries.get(entry_name)
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
        members = []
        if data_centre in (None, self.own.data_centre):
            members += [
                known.member
                for known in self._known.values()
                if self._is_live(known) and (with_leaving or not known.leaving)
            ]
        if data_centre != self.own.data_centre:
            members += self.rosters.list_members(data_centre, with_leaving)
        return tuple(sorted(members, key=lambda member: member.name))

    def is_live(self, member_name):
        """Return whether the member's heartbeat still advances."""
        known = self._known.get(member_name)
        if known is None:
            return self.rosters.is_live(member_name)
        return self._is_live(known)

    def set_leaving(self):
        """Say that this host is about to end."""
        self._known[self.own.name].leaving = True

    def advance_heartbeat(self):
        """Advance this host's heartbeat and forget members that are long gone."""
        own = self._known[self.own.name]
        own.heartbeat += 1
        now = self._clock.read_elapsed()
        own.advanced_at = now
        for name, known in list(self._known.items()):
            if now - known.advanced_at > FORGET_SECONDS * self.interval_factor:
                del self._known[name]
        self.rosters.live_seconds = ROSTER_SECONDS + self.live_seconds
        self.rosters.forget_old(FORGET_SECONDS)

    def make_request(self, data_centre=None):
        """Return an `ExchangeRequest` for a host of `data_centre`.

        Parameters
        ----------
        data_centre : str, optional
            Where the peer is; None if that is not known.
        """
        abroad = data_centre not in (None, self.own.data_centre)
        return ExchangeRequest(
            sender=self._make_state(self._known[self.own.name], 0, abroad),
            digests=[] if abroad else self._make_digests(),
            rosters=self.rosters.make_digests(),
        )

    def make_reply(self, request):
        """Take an `ExchangeRequest` in; return what its sender does not know."""
        sender = request.sender
        reply = ExchangeReply(
            rosters=self.rosters.make_news(request.rosters, sender.data_centre)
        )
        if sender.data_centre != self.own.data_centre:
            reply.rosters.append(self._make_own_roster(request.rosters))
            if sender.data_centre not in self.rosters.list_data_centres():
                self._contacts[sender.data_centre] = sender.address
            return reply
        self.merge_state(sender)
        reached = {digest.name_hash: digest for digest in request.digests}
        for name, known in self._known.items():
            state = self._make_news(known, reached.get(hash_name(name)))
            if state is not None:
                reply.news.append(state)
        return reply

    def pop_contacts(self):
        """Return hosts that asked from data centres of which nothing is known.

        Returns
        -------
        dict of str to str
            Data centre to address; each is returned once.
        """
        contacts, self._contacts = self._contacts, {}
        return contacts

    def merge_reply(self, reply, asked_at):
        """Take in what a peer answered.

        Parameters
        ----------
        reply : ExchangeReply
        asked_at : float
            Elapsed time at which it was asked.
        """
        for state in reply.news:
            self.merge_state(state)
        for roster in reply.rosters:
            self.rosters.take(roster, asked_at)

    def merge_state(self, state):
        """Take in what a peer knows of a member, if it is newer."""
        if state.name_hash:
            self._take_short(state)
            return
        if state.data_centre != self.own.data_centre:
            return
        if state.name == self.own.name:
            self._defend(state)
            return
        seen_at = self._clock.read_elapsed() - state.idle_milliseconds / 1000
        known = self._known.get(state.name)
        if known is None and not self._is_recent(seen_at):
            # Peers forget the dead at different times; taking them back from
            # each other would keep them for ever.
            return
        if known is None or known.member.incarnation < state.incarnation:
            member = Member(
                state.name, state.data_centre, state.address, state.incarnation
            )
            known = self._known[state.name] = _Known(member, advanced_at=seen_at)
        if known.member.incarnation > state.incarnation:
            return
        self._take_news(known, state, seen_at)

    def _take_short(self, state):
        """Take news of a member that is named by its hash alone."""
        seen_at = self._clock.read_elapsed() - state.idle_milliseconds / 1000
        for name, known in self._known.items():
            if hash_name(name) != state.name_hash or name == self.own.name:
                continue
            if known.member.incarnation == state.incarnation:
                self._take_news(known, state, seen_at)

    def _take_news(self, known, state, seen_at):
        if state.heartbeat > known.heartbeat:
            known.heartbeat = state.heartbeat
            known.advanced_at = max(known.advanced_at, seen_at)
        known.leaving = known.leaving or state.leaving
        for entry in state.entries:
            _take_entry(known, entry)

    def _defend(self, state):
        """Outlive an earlier run of this host whose clock was ahead."""
        if state.incarnation <= self.own.incarnation:
            return
        self.own = evolve(self.own, incarnation=state.incarnation + 1)
        self._known[self.own.name].member = self.own

    def _is_live(self, known):
        if known.member.name == self.own.name:
            return True
        return self._is_recent(known.advanced_at)

    def _is_recent(self, seen_at):
        return self._clock.read_elapsed() - seen_at <= self.live_seconds

    def _make_own_roster(self, digests):
        """Return this data centre's roster, without members if they are known."""
        states = [
            self._make_state(known, 0, wide_only=True)
            for _, known in sorted(self._known.items())
            if self._is_live(known)
        ]
        for state in states:
            # Nothing that changes by itself, so that the digest keeps still.
            state.heartbeat = 0
            state.idle_milliseconds = 0
            for entry in state.entries:
                entry.version = 0
        roster = make_roster(self.own.data_centre, states)
        told = {digest.data_centre: digest.digest for digest in digests}
        if told.get(roster.data_centre) == roster.digest:
            roster.ClearField("members")
        return roster

    def _make_digests(self):
        return [
            Digest(
                name_hash=hash_name(name),
                incarnation=known.member.incarnation,
                heartbeat=known.heartbeat,
                version=known.version,
            )
            for name, known in self._known.items()
        ]

    def _make_news(self, known, digest):
        if digest is None or digest.incarnation < known.member.incarnation:
            return self._make_state(known, 0)
        if digest.incarnation > known.member.incarnation:
            return None
        if digest.heartbeat >= known.heartbeat and digest.version >= known.version:
            return None
        state = self._make_state(known, digest.version)
        for name in ("name", "data_centre", "address"):
            state.ClearField(name)
        state.name_hash = digest.name_hash
        return state

    def _make_state(self, known, after_version, wide_only=False):
        member = known.member
        idle = self._clock.read_elapsed() - known.advanced_at
        return MemberState(
            name=member.name,
            data_centre=member.data_centre,
            address=member.address,
            incarnation=member.incarnation,
            heartbeat=known.heartbeat,
            leaving=known.leaving,
            idle_milliseconds=max(0, int(idle * 1000)),
            entries=[
                entry
                for _, entry in sorted(known.entries.items())
                if entry.version > after_version and not (wide_only and entry.narrow)
            ],
        )


def _take_entry(known, entry):
    old = known.entries.get(entry.name)
    if old is None or old.version < entry.version:
        known.entries[entry.name] = entry
        known.version = max(known.version, entry.version)
