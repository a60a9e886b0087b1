"""Directory of the hosts that may lend an account's budget, in order of preference."""

from attrs import field, frozen

from ..protocol.limits_pb2 import HeldSlots
from .placement import find_slots, hash_text
from .slot_manager import HELD_SLOTS_ENTRY

__all__ = ["Lender", "LenderDirectory"]

REFRESH_INTERVAL_SECONDS = 0.5


@frozen
class Lender:
    """A host that owns slots.

    Parameters
    ----------
    key : str
        ``name#incarnation``.
    address : str
    data_centre : str
    """

    key = field()
    address = field()
    data_centre = field()


class LenderDirectory:
    """Owners of slots, from the entries that hosts publish in the membership view.

    Parameters
    ----------
    view : MembershipView
    clock : Clock

    Notes
    -----
    The entries are hints: a host lends only what its own allocations permit.
    """

    def __init__(self, view, clock):
        self._view = view
        self._clock = clock
        self._refreshed_at = None
        self._holders = {}
        self._slot_counts = {}
        self._lenders_by_account = {}
        self._holders_by_account = {}
        self._entries = None

    @property
    def has_lenders(self):
        """Whether another host of this data centre owns slots."""
        self._refresh()
        own = self._view.own.data_centre
        return any(data_centre == own for data_centre, _ in self._holders)

    def find_lenders(self, account):
        """Return an account's lenders, in the order in which to ask them."""
        self._refresh()
        cached = self._lenders_by_account.get(account)
        if cached is None:
            cached = self._lenders_by_account[account] = self._find_lenders(account)
        return cached

    def rank_holders(self, account):
        """Return all owners of an account's slots, this host included.

        Returns
        -------
        list of Lender
            In an order that is the same on all hosts with the same view. The first
            is the account's coordinator.
        """
        self._refresh()
        cached = self._holders_by_account.get(account)
        if cached is None:
            cached = self._holders_by_account[account] = self._rank_holders(account)
        return cached

    def _find_lenders(self, account):
        near, far = [], []
        for data_centre, count in self._slot_counts.items():
            group = near if data_centre == self._view.own.data_centre else far
            for slot in find_slots(account, count):
                group += self._holders.get((data_centre, slot), [])
        own = self._view.own.name
        near = _sort_by_hash(near, f"{own}/{account}")
        far = _sort_by_hash(far, f"{self._view.own.data_centre}/{account}")
        return list(dict.fromkeys([*near, *far]))

    def _rank_holders(self, account):
        lenders = list(self.find_lenders(account))
        if self._holds_slot_of(account):
            own = self._view.own
            key = f"{own.name}#{own.incarnation}"
            lenders.append(Lender(key, own.address, own.data_centre))
        return _sort_by_hash(lenders, account)

    def _holds_slot_of(self, account):
        value = self._view.read(self._view.own.name, HELD_SLOTS_ENTRY)
        slots = HeldSlots.FromString(value or b"")
        covering = find_slots(account, slots.slots) if slots.slots else ()
        return bool(set(covering) & set(slots.held))

    def _refresh(self):
        now = self._clock.read_elapsed()
        if (
            self._refreshed_at is not None
            and now < self._refreshed_at + REFRESH_INTERVAL_SECONDS
        ):
            return
        self._refreshed_at = now
        entries = [
            (member, self._view.read(member.name, HELD_SLOTS_ENTRY))
            # A leaving host lends until its slots have new owners.
            for member in self._view.list_members(with_leaving=True)
        ]
        if entries == self._entries:
            return
        self._entries = entries
        self._holders, self._slot_counts = {}, {}
        self._lenders_by_account, self._holders_by_account = {}, {}
        for member, value in entries:
            if value is not None and member.name != self._view.own.name:
                self._add(member, HeldSlots.FromString(value))

    def _add(self, member, slots):
        lender = Lender(
            f"{member.name}#{member.incarnation}", member.address, member.data_centre
        )
        if not slots.slots:
            return
        self._slot_counts[member.data_centre] = slots.slots
        for number in slots.held:
            self._holders.setdefault((member.data_centre, number), []).append(lender)


def _sort_by_hash(lenders, subject):
    def rank(lender):
        return hash_text(f"{subject}/{lender.key}")

    return sorted(lenders, key=rank)
