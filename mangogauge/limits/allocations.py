"""Shares of the budget that the platform's slot table allocates to a host."""

import math
from types import MappingProxyType

from attrs import define, field

from .placement import PAIR_SIZE, find_slots
from .slots import PartKind

__all__ = ["HostAllocations", "Allocation"]

CLOCK_DRIFT_SHARE = 0.01


@define(eq=False)
class Allocation:
    """A share of every covered account's rate and burst, valid for a limited time.

    Parameters
    ----------
    share : float
        Share of the whole fleet's rate and burst.
    since : float
        Elapsed time from which it may be used; it starts without tokens.
    until : float
        Elapsed time at which it ends unless it is extended first.
    """

    share = field()
    since = field()
    until = field()

    def is_valid(self, now):
        """Return whether the allocation may be used at `now`."""
        return self.since <= now < self.until

    def extend(self, until, now):
        """Extend the allocation to `until`; return False if it has already ended.

        Notes
        -----
        Once an allocation has ended, another host may have taken it over. So it is
        never extended again: its host makes a new one, without tokens.
        """
        if now >= self.until:
            return False
        self.until = max(self.until, until)
        return True

    def shorten(self, end):
        """Shorten the allocation to end at `end` at the latest."""
        self.until = min(self.until, end)


class HostAllocations:
    """All allocations of one host.

    Parameters
    ----------
    share : float
        Share of every budget that belongs to the host's data centre.
    """

    def __init__(self, share=0.0):
        self.share = share
        self.slot_count = 0
        self._allocations = {}
        self._terms = {}
        self._by_covering_slots = {}

    @property
    def held(self):
        """Numbers of the slots of which this host holds any part."""
        return tuple(sorted({number for number, _ in self._allocations}))

    @property
    def held_parts(self):
        """Numbers of the slots held, by kind of part, for operators."""
        parts = {kind.value: [] for kind in PartKind}
        for number, kind in self._allocations:
            parts[kind.value].append(number)
        return parts

    @property
    def loan_seconds(self):
        """Longest duration of a loan in seconds, over all slots held."""
        seconds = [terms.loan_seconds for terms in self._terms.values()]
        return min(seconds, default=math.inf)

    def find(self, account):
        """Return a tuple of the allocations that cover an account.

        Notes
        -----
        The tuple is the same object until the allocations are replaced, so that
        callers can compare by identity.
        """
        if not self.slot_count:
            return ()
        slots = find_slots(account, self.slot_count)
        cached = self._by_covering_slots.get(slots)
        if cached is None:
            cached = self._by_covering_slots[slots] = tuple(
                allocation
                for (number, _), allocation in self._allocations.items()
                if number in slots
            )
        return cached

    def replace(
        self,
        table,
        own,
        start_times,
        renewed_at,
        lease_until,
        now,
        end_times=MappingProxyType({}),
    ):
        """Replace the allocations by those of `own` in a table just read or written.

        Parameters
        ----------
        table : SlotTable
        own : Owner
        start_times : dict of int to float
            Elapsed times at which new allocations of slots start; `now` where absent.
        renewed_at : float
            Elapsed time before the last renewal of the lease was sent.
        lease_until : float
            Elapsed time up to which the lease is certainly valid.
        now : float
        end_times : mapping of int to float, optional
            Elapsed times at which this host must stop using slots that it is about
            to release.
        """
        self.slot_count = len(table.slots)
        slot_share = self.share / min(PAIR_SIZE, self.slot_count)
        allocations = {}
        for number, slot in enumerate(table.slots):
            for kind, slot_part in slot.parts.items():
                if slot_part.owner != own:
                    continue
                self._terms[number] = slot.terms
                key = (number, kind)
                until = _compute_end(slot.terms, kind, renewed_at, lease_until)
                until = min(until, end_times.get(number, math.inf))
                allocation = self._allocations.get(key)
                if allocation is None or not allocation.extend(until, now):
                    since = start_times.get(number, now)
                    allocation = Allocation(
                        slot_share * slot.terms.get_share(kind), since, until
                    )
                allocations[key] = allocation
        self._set_allocations(allocations)

    def extend(self, renewed_at, lease_until, now, end_times=MappingProxyType({})):
        """Extend the allocations after a renewal of the same lease.

        Parameters
        ----------
        renewed_at, lease_until, now : float
        end_times : mapping of int to float, optional
            As for `replace`.
        """
        for (number, kind), allocation in self._allocations.items():
            until = _compute_end(self._terms[number], kind, renewed_at, lease_until)
            allocation.extend(min(until, end_times.get(number, math.inf)), now)

    def shorten(self, end_times):
        """Shorten the allocations of some slots: ``{slot number: elapsed time}``."""
        for (number, _), allocation in self._allocations.items():
            if number in end_times:
                allocation.shorten(end_times[number])

    def _set_allocations(self, allocations):
        unchanged = len(allocations) == len(self._allocations) and all(
            self._allocations.get(key) is allocation
            for key, allocation in allocations.items()
        )
        if unchanged:
            return
        self._allocations = allocations
        held = {number for number, _ in allocations}
        self._terms = {n: t for n, t in self._terms.items() if n in held}
        self._by_covering_slots = {}


def _compute_end(terms, kind, renewed_at, lease_until):
    if kind is PartKind.DURABLE:
        return renewed_at + terms.outage_horizon * (1 - CLOCK_DRIFT_SHARE)
    return lease_until - terms.lease_seconds * CLOCK_DRIFT_SHARE
