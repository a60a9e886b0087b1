"""What a host knows of the members of other data centres: a roster for each."""

import math

import xxhash
from attrs import define, field

from ..protocol.membership_pb2 import MemberState, Roster
from .members import Member

__all__ = ["ROSTER_SECONDS", "RosterTable", "make_roster"]

# A data centre from which nothing has come for this long, and the time that
# news takes within the own one, counts as cut off.
ROSTER_SECONDS = 3.0
FRESHER_SECONDS = 0.1


@define
class _Known:
    """One data centre's roster and when one of its members told it."""

    digest = field()
    told_at = field()
    members = field(factory=dict)
    entries = field(factory=dict)
    leaving = field(factory=frozenset)


class RosterTable:
    """Rosters of other data centres, by name.

    Parameters
    ----------
    own_data_centre : str
    clock : Clock

    Attributes
    ----------
    live_seconds : float
        Age from which on a roster says nothing any more.
    """

    def __init__(self, own_data_centre, clock):
        self._own = own_data_centre
        self._clock = clock
        self._known = {}
        self.live_seconds = 2 * ROSTER_SECONDS

    def list_members(self, data_centre=None, with_leaving=False):
        """Return members of data centres that were heard of lately."""
        names = [data_centre] if data_centre is not None else sorted(self._known)
        return [
            member
            for name in names
            if self._is_fresh(name)
            for member in self._known[name].members.values()
            if with_leaving or member.name not in self._known[name].leaving
        ]

    def list_data_centres(self):
        """Return names of data centres that were heard of lately."""
        return [name for name in sorted(self._known) if self._is_fresh(name)]

    def is_live(self, member_name):
        """Return whether a fresh roster has the member."""
        return self._find(member_name) is not None

    def read(self, member_name, entry_name):
        """Return the bytes of a member's entry, or None."""
        known = self._find(member_name)
        return known.entries.get((member_name, entry_name)) if known else None

    def take(self, roster, asked_at):
        """Take a roster if it was told later than the one that is known.

        Its age counts from before the question was sent: an answer that was held
        up on its way makes it older, never younger than it is where it came from.

        Parameters
        ----------
        roster : Roster
        asked_at : float
            Elapsed time.
        """
        if roster.data_centre == self._own:
            return
        told_at = asked_at - roster.idle_milliseconds / 1000
        known = self._known.get(roster.data_centre)
        if known is not None and told_at < known.told_at:
            return
        if known is not None and known.digest == roster.digest:
            known.told_at = told_at
        elif roster.members:
            self._known[roster.data_centre] = _read_roster(roster, told_at)

    def make_digests(self):
        """Return each roster without its members."""
        now = self._clock.read_elapsed()
        return [
            Roster(
                data_centre=name,
                digest=known.digest,
                idle_milliseconds=_count_milliseconds(now - known.told_at),
            )
            for name, known in self._known.items()
            if self._is_fresh(name)
        ]

    def make_news(self, digests, receiver_data_centre):
        """Return rosters that are fresher here than at their receiver's."""
        now = self._clock.read_elapsed()
        told = {roster.data_centre: roster for roster in digests}
        news = []
        for name, known in self._known.items():
            if name == receiver_data_centre or not self._is_fresh(name):
                continue
            theirs = told.get(name)
            idle = now - known.told_at
            if theirs is not None:
                if idle + FRESHER_SECONDS >= theirs.idle_milliseconds / 1000:
                    continue
            roster = Roster(
                data_centre=name,
                digest=known.digest,
                idle_milliseconds=_count_milliseconds(idle),
            )
            if theirs is None or theirs.digest != known.digest:
                roster.members.extend(_write_members(known, name))
            news.append(roster)
        return news

    def forget_old(self, seconds):
        """Drop rosters that nobody has told for `seconds`."""
        now = self._clock.read_elapsed()
        for name, known in list(self._known.items()):
            if now - known.told_at > seconds:
                del self._known[name]

    def _find(self, member_name):
        for name, known in self._known.items():
            if member_name in known.members and self._is_fresh(name):
                return known
        return None

    def _is_fresh(self, data_centre):
        known = self._known.get(data_centre)
        if known is None:
            return False
        return self._clock.read_elapsed() - known.told_at <= self.live_seconds


def make_roster(data_centre, states):
    """Return the `Roster` of a data centre from its live members' states.

    Parameters
    ----------
    data_centre : str
    states : list of MemberState
        In order of name, with the entries that other data centres are told.
    """
    digest = xxhash.xxh3_64()
    for state in states:
        digest.update(state.SerializeToString(deterministic=True))
    return Roster(data_centre=data_centre, digest=digest.intdigest(), members=states)


def _read_roster(roster, told_at):
    known = _Known(roster.digest, told_at)
    leaving = set()
    for state in roster.members:
        known.members[state.name] = Member(
            state.name, state.data_centre, state.address, state.incarnation
        )
        for entry in state.entries:
            known.entries[state.name, entry.name] = entry.value
        if state.leaving:
            leaving.add(state.name)
    known.leaving = frozenset(leaving)
    return known


def _write_members(known, data_centre):
    """Return the states again, as they came."""
    states = []
    for name, member in known.members.items():
        state = MemberState(
            name=name,
            data_centre=data_centre,
            address=member.address,
            incarnation=member.incarnation,
            leaving=name in known.leaving,
        )
        for (owner, entry_name), value in known.entries.items():
            if owner == name:
                state.entries.add(name=entry_name, value=value)
        states.append(state)
    return states


def _count_milliseconds(seconds):
    return max(0, math.ceil(seconds * 1000))
