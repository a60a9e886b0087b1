"""One host's view of all members and of the entries that they publish.

Within a data centre each member has a heartbeat, a counter that only the member itself
advances. A member is not live once its counter has not been seen to advance for a
while, even if peers still list it. Of other data centres a host has only rosters, each
reported by any live member there.
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

# Minimum time without a heartbeat after which a member is not live.
LIVE_SECONDS = 3.0
# Time without a heartbeat after which a member is forgotten; longer in large data
# centres. Rosters that were not reported for this long are removed.
FORGET_SECONDS = 60.0
EXCHANGE_SECONDS = 0.3
# With more members, updates need more rounds to spread, and rounds are longer: up to
# this many members a round takes `EXCHANGE_SECONDS`.
MEMBERS_AT_BASE_INTERVAL = 16
# Rounds allowed beyond the binary logarithm of the number of members.
SPARE_ROUNDS = 12


@define
class _MemberRecord:
    """State of one member of this data centre.

    Parameters
    ----------
    member : Member
    heartbeat : int
        Highest value of the member's counter that has been merged.
    leaving : bool
    entries : dict of str to Entry
        By the entry's name.
    version : int
        Highest version of these entries.
    advanced_at : float
        Elapsed time at which the counter last advanced.
    """

    member = field()
    heartbeat = field(default=0)
    leaving = field(default=False)
    entries = field(factory=dict)
    version = field(default=0)
    advanced_at = field(default=0.0)


class MembershipView:
    """Members by name, with their heartbeats and entries.

    Parameters
    ----------
    own : Member
        This host.
    clock : Clock

    Attributes
    ----------
    own : Member
    rosters : RosterTable
        Members of other data centres.
    """

    def __init__(self, own, clock):
        self.own = own
        self.rosters = RosterTable(own.data_centre, clock)
        self._contacts = {}
        self._clock = clock
        now = clock.read_elapsed()
        self._records = {own.name: _MemberRecord(own, heartbeat=1, advanced_at=now)}

    @property
    def interval_factor(self):
        """Factor on intervals and timeouts; increases with the data centre's size."""
        return max(1.0, len(self._records) / MEMBERS_AT_BASE_INTERVAL)

    @property
    def live_seconds(self):
        """Seconds without a heartbeat after which a member is not live."""
        rounds = math.log2(len(self._records)) + SPARE_ROUNDS
        return max(LIVE_SECONDS, EXCHANGE_SECONDS * self.interval_factor * rounds)

    def read_now(self):
        """Return the elapsed time of the view's clock."""
        return self._clock.read_elapsed()

    def publish(self, name, value, all_data_centres=True):
        """Publish an entry of this host to the others.

        Parameters
        ----------
        name : str
            Name of the entry.
        value : bytes
            Replaces the entry's value; nothing is sent if it is the same.
        all_data_centres : bool, optional
            Whether hosts of other data centres get the entry, too. Entries that
            change often should stay within the data centre.
        """
        record = self._records[self.own.name]
        previous = record.entries.get(name)
        if previous is not None and previous.value == value:
            return
        record.version += 1
        record.entries[name] = Entry(
            name=name, version=record.version, value=value, narrow=not all_data_centres
        )

    def read(self, member_name, entry_name):
        """Return the bytes of a member's entry, or None."""
        record = self._records.get(member_name)
        if record is None:
            return self.rosters.read(member_name, entry_name)
        entry = record.entries.get(entry_name)
        return entry.value if entry else None

    def list_members(self, data_centre=None, with_leaving=False):
        """Return live members in order of name, this host included.

        Parameters
        ----------
        data_centre : str, optional
            Only members there.
        with_leaving : bool, optional
            Also those that are leaving.
        """
        members = []
        if data_centre in (None, self.own.data_centre):
            members += [
                record.member
                for record in self._records.values()
                if self._is_live(record) and (with_leaving or not record.leaving)
            ]
        if data_centre != self.own.data_centre:
            members += self.rosters.list_members(data_centre, with_leaving)
        return tuple(sorted(members, key=lambda member: member.name))

    def is_live(self, member_name):
        """Return whether the member's heartbeat has advanced recently."""
        record = self._records.get(member_name)
        if record is None:
            return self.rosters.is_live(member_name)
        return self._is_live(record)

    def set_leaving(self):
        """Mark this host as leaving."""
        self._records[self.own.name].leaving = True

    def advance_heartbeat(self):
        """Advance this host's heartbeat, and forget members that are long dead."""
        own = self._records[self.own.name]
        own.heartbeat += 1
        now = self._clock.read_elapsed()
        own.advanced_at = now
        for name, record in list(self._records.items()):
            if now - record.advanced_at > FORGET_SECONDS * self.interval_factor:
                del self._records[name]
        self.rosters.live_seconds = ROSTER_SECONDS + self.live_seconds
        self.rosters.forget_old(FORGET_SECONDS)

    def make_request(self, data_centre=None):
        """Return an `ExchangeRequest` for a host of `data_centre`.

        Parameters
        ----------
        data_centre : str, optional
            Data centre of the peer; None if it is not known.
        """
        is_remote = data_centre not in (None, self.own.data_centre)
        return ExchangeRequest(
            sender=self._make_state(self._records[self.own.name], 0, is_remote),
            digests=[] if is_remote else self._make_digests(),
            rosters=self.rosters.make_digests(),
        )

    def make_reply(self, request):
        """Merge an `ExchangeRequest`; return the updates that its sender lacks.

        Returns
        -------
        ExchangeReply
        """
        sender = request.sender
        reply = ExchangeReply(
            rosters=self.rosters.make_updates(request.rosters, sender.data_centre)
        )
        if sender.data_centre != self.own.data_centre:
            reply.rosters.append(self._make_own_roster(request.rosters))
            if sender.data_centre not in self.rosters.list_data_centres():
                self._contacts[sender.data_centre] = sender.address
            return reply
        self.merge_state(sender)
        digests_by_hash = {digest.name_hash: digest for digest in request.digests}
        for name, record in self._records.items():
            state = self._make_update(record, digests_by_hash.get(hash_name(name)))
            if state is not None:
                reply.news.append(state)
        return reply

    def pop_contacts(self):
        """Return hosts that sent requests from data centres without a fresh roster.

        Returns
        -------
        dict of str to str
            Address by data centre; each is returned once.
        """
        contacts, self._contacts = self._contacts, {}
        return contacts

    def merge_reply(self, reply, asked_at):
        """Merge a peer's reply.

        Parameters
        ----------
        reply : ExchangeReply
        asked_at : float
            Elapsed time at which the request was sent.
        """
        for state in reply.news:
            self.merge_state(state)
        for roster in reply.rosters:
            self.rosters.merge(roster, asked_at)

    def merge_state(self, state):
        """Merge a peer's state of a member if it is newer than this host's."""
        if state.name_hash:
            self._merge_hashed_state(state)
            return
        if state.data_centre != self.own.data_centre:
            return
        if state.name == self.own.name:
            self._refute(state)
            return
        seen_at = self._clock.read_elapsed() - state.idle_milliseconds / 1000
        record = self._records.get(state.name)
        if record is None and not self._is_recent(seen_at):
            # Peers forget dead members at different times. Adding them again from
            # each other's states would keep them forever.
            return
        if record is None or record.member.incarnation < state.incarnation:
            member = Member(
                state.name, state.data_centre, state.address, state.incarnation
            )
            record = self._records[state.name] = _MemberRecord(
                member, advanced_at=seen_at
            )
        if record.member.incarnation > state.incarnation:
            return
        self._merge_into_record(record, state, seen_at)

    def _merge_hashed_state(self, state):
        """Merge the state of a member that is identified by its hash alone."""
        seen_at = self._clock.read_elapsed() - state.idle_milliseconds / 1000
        for name, record in self._records.items():
            if hash_name(name) != state.name_hash or name == self.own.name:
                continue
            if record.member.incarnation == state.incarnation:
                self._merge_into_record(record, state, seen_at)

    def _merge_into_record(self, record, state, seen_at):
        if state.heartbeat > record.heartbeat:
            record.heartbeat = state.heartbeat
            record.advanced_at = max(record.advanced_at, seen_at)
        record.leaving = record.leaving or state.leaving
        for entry in state.entries:
            _merge_entry(record, entry)

    def _refute(self, state):
        """Exceed the incarnation of an earlier process whose clock was ahead."""
        if state.incarnation <= self.own.incarnation:
            return
        self.own = evolve(self.own, incarnation=state.incarnation + 1)
        self._records[self.own.name].member = self.own

    def _is_live(self, record):
        if record.member.name == self.own.name:
            return True
        return self._is_recent(record.advanced_at)

    def _is_recent(self, seen_at):
        return self._clock.read_elapsed() - seen_at <= self.live_seconds

    def _make_own_roster(self, digests):
        """Return this data centre's roster, without members if `digests` has it."""
        states = [
            self._make_state(record, 0, exclude_narrow=True)
            for _, record in sorted(self._records.items())
            if self._is_live(record)
        ]
        for state in states:
            # Leave out what changes with time alone, so that the digest is stable.
            state.heartbeat = 0
            state.idle_milliseconds = 0
            for entry in state.entries:
                entry.version = 0
        roster = make_roster(self.own.data_centre, states)
        digests_by_data_centre = {
            digest.data_centre: digest.digest for digest in digests
        }
        if digests_by_data_centre.get(roster.data_centre) == roster.digest:
            roster.ClearField("members")
        return roster

    def _make_digests(self):
        return [
            Digest(
                name_hash=hash_name(name),
                incarnation=record.member.incarnation,
                heartbeat=record.heartbeat,
                version=record.version,
            )
            for name, record in self._records.items()
        ]

    def _make_update(self, record, digest):
        if digest is None or digest.incarnation < record.member.incarnation:
            return self._make_state(record, 0)
        if digest.incarnation > record.member.incarnation:
            return None
        if digest.heartbeat >= record.heartbeat and digest.version >= record.version:
            return None
        state = self._make_state(record, digest.version)
        for name in ("name", "data_centre", "address"):
            state.ClearField(name)
        state.name_hash = digest.name_hash
        return state

    def _make_state(self, record, after_version, exclude_narrow=False):
        member = record.member
        idle = self._clock.read_elapsed() - record.advanced_at
        return MemberState(
            name=member.name,
            data_centre=member.data_centre,
            address=member.address,
            incarnation=member.incarnation,
            heartbeat=record.heartbeat,
            leaving=record.leaving,
            idle_milliseconds=max(0, int(idle * 1000)),
            entries=[
                entry
                for _, entry in sorted(record.entries.items())
                if entry.version > after_version
                and not (exclude_narrow and entry.narrow)
            ],
        )


def _merge_entry(record, entry):
    previous = record.entries.get(entry.name)
    if previous is None or previous.version < entry.version:
        record.entries[entry.name] = entry
        record.version = max(record.version, entry.version)
