"""Rosters: the members of other data centres, one roster for each."""

import math

import xxhash
from attrs import define, field

from ..protocol.membership_pb2 import MemberState, Roster
from .members import Member

__all__ = ["ROSTER_SECONDS", "RosterTable", "make_roster"]

# A data centre counts as cut off when its roster is older than this plus the time that
# updates need to spread within this host's data centre.
ROSTER_SECONDS = 3.0
# A roster is sent to a peer only if it is fresher than the peer's by more than this.
MIN_FRESHER_SECONDS = 0.1


@define
class _RosterRecord:
    """One data centre's roster, and the elapsed time at which a member reported it."""

    digest = field()
    reported_at = field()
    members = field(factory=dict)
    entries = field(factory=dict)
    leaving = field(factory=frozenset)


class RosterTable:
    """Rosters of other data centres, by the data centre's name.

    Parameters
    ----------
    own_data_centre : str
    clock : Clock

    Attributes
    ----------
    live_seconds : float
        Maximum age in seconds of a roster that is used.
    """

    def __init__(self, own_data_centre, clock):
        self._own_data_centre = own_data_centre
        self._clock = clock
        self._records = {}
        self.live_seconds = 2 * ROSTER_SECONDS

    def list_members(self, data_centre=None, with_leaving=False):
        """Return the members of data centres with fresh rosters.

        Parameters
        ----------
        data_centre : str, optional
            Only members there.
        with_leaving : bool, optional
            Also those that are leaving.
        """
        names = [data_centre] if data_centre is not None else sorted(self._records)
        return [
            member
            for name in names
            if self._is_fresh(name)
            for member in self._records[name].members.values()
            if with_leaving or member.name not in self._records[name].leaving
        ]

    def list_data_centres(self):
        """Return the names of data centres with fresh rosters."""
        return [name for name in sorted(self._records) if self._is_fresh(name)]

    def is_live(self, member_name):
        """Return whether a fresh roster contains the member."""
        return self._find(member_name) is not None

    def read(self, member_name, entry_name):
        """Return the bytes of a member's entry, or None."""
        record = self._find(member_name)
        return record.entries.get((member_name, entry_name)) if record else None

    def merge(self, roster, asked_at):
        """Store a roster if it was reported later than the stored one.

        Its age counts from the time before the request was sent: so a delayed reply
        makes it appear older here than at the peer, never younger.

        Parameters
        ----------
        roster : Roster
        asked_at : float
            Elapsed time at which the request was sent.
        """
        if roster.data_centre == self._own_data_centre:
            return
        reported_at = asked_at - roster.idle_milliseconds / 1000
        record = self._records.get(roster.data_centre)
        if record is not None and reported_at < record.reported_at:
            return
        if record is not None and record.digest == roster.digest:
            record.reported_at = reported_at
        elif roster.members:
            self._records[roster.data_centre] = _decode_roster(roster, reported_at)

    def make_digests(self):
        """Return the fresh rosters without their members."""
        now = self._clock.read_elapsed()
        return [
            Roster(
                data_centre=name,
                digest=record.digest,
                idle_milliseconds=_count_milliseconds(now - record.reported_at),
            )
            for name, record in self._records.items()
            if self._is_fresh(name)
        ]

    def make_updates(self, digests, receiver_data_centre):
        """Return the rosters that are fresher here than at the receiver.

        Parameters
        ----------
        digests : iterable of Roster
            The receiver's rosters, without members.
        receiver_data_centre : str
            Its own roster is left out.

        Returns
        -------
        list of Roster
            Without members where the receiver has the same ones.
        """
        now = self._clock.read_elapsed()
        receiver_rosters = {roster.data_centre: roster for roster in digests}
        updates = []
        for name, record in self._records.items():
            if name == receiver_data_centre or not self._is_fresh(name):
                continue
            receiver_roster = receiver_rosters.get(name)
            age = now - record.reported_at
            if receiver_roster is not None:
                if (
                    age + MIN_FRESHER_SECONDS
                    >= receiver_roster.idle_milliseconds / 1000
                ):
                    continue
            roster = Roster(
                data_centre=name,
                digest=record.digest,
                idle_milliseconds=_count_milliseconds(age),
            )
            if receiver_roster is None or receiver_roster.digest != record.digest:
                roster.members.extend(_encode_members(record, name))
            updates.append(roster)
        return updates

    def forget_old(self, seconds):
        """Remove rosters that have not been reported for `seconds`."""
        now = self._clock.read_elapsed()
        for name, record in list(self._records.items()):
            if now - record.reported_at > seconds:
                del self._records[name]

    def _find(self, member_name):
        for name, record in self._records.items():
            if member_name in record.members and self._is_fresh(name):
                return record
        return None

    def _is_fresh(self, data_centre):
        record = self._records.get(data_centre)
        if record is None:
            return False
        return self._clock.read_elapsed() - record.reported_at <= self.live_seconds


def make_roster(data_centre, states):
    """Return the `Roster` of a data centre from its live members' states.

    Parameters
    ----------
    data_centre : str
    states : list of MemberState
        In order of name, with the entries that are published to all data centres.
    """
    digest = xxhash.xxh3_64()
    for state in states:
        digest.update(state.SerializeToString(deterministic=True))
    return Roster(data_centre=data_centre, digest=digest.intdigest(), members=states)


def _decode_roster(roster, reported_at):
    record = _RosterRecord(roster.digest, reported_at)
    leaving = set()
    for state in roster.members:
        record.members[state.name] = Member(
            state.name, state.data_centre, state.address, state.incarnation
        )
        for entry in state.entries:
            record.entries[state.name, entry.name] = entry.value
        if state.leaving:
            leaving.add(state.name)
    record.leaving = frozenset(leaving)
    return record


def _encode_members(record, data_centre):
    """Return the members' states as they were received."""
    states = []
    for name, member in record.members.items():
        state = MemberState(
            name=name,
            data_centre=data_centre,
            address=member.address,
            incarnation=member.incarnation,
            leaving=name in record.leaving,
        )
        for (owner, entry_name), value in record.entries.items():
            if owner == name:
                state.entries.add(name=entry_name, value=value)
        states.append(state)
    return states


def _count_milliseconds(seconds):
    return max(0, math.ceil(seconds * 1000))
