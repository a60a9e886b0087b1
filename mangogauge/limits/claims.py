"""Planner of a host's claims, suspicions and releases of slots."""

import math

from attrs import evolve, field, frozen

from .ledger import LOAN_MARGIN_SECONDS
from .placement import choose_slot_host
from .slots import Part, Suspicion

__all__ = ["ClaimPlanner", "Plan"]

CLOCK_DRIFT_SHARE = 0.01
REJECTED_PLAN_BACKOFF_SECONDS = 2.0


@frozen
class Plan:
    """The next table, and the owners whose leases must have expired for it.

    Parameters
    ----------
    table : SlotTable
    absent : tuple of Owner
    """

    table = field()
    absent_owners = field()


class ClaimPlanner:
    """Plans claims, suspicions and releases of slots for one host.

    Parameters
    ----------
    own : Owner
        This run of the host.
    random : random.Random
        Source of the suspicions' identifiers.
    clock : Clock

    Notes
    -----
    The caller writes a plan's table by compare-and-swap, on condition that the record
    is unchanged since it was read and that the absent owners' lease keys don't exist.
    """

    def __init__(self, own, random, clock):
        self.own = own
        self._random = random
        self._clock = clock
        self._ports_bound_at = None
        self._suspected_at = {}
        self._release_times = {}
        self._backoff_until = {}
        self._has_predecessor = False

    def mark_ports_bound(self):
        """Record that this process has bound its ports.

        Notes
        -----
        An earlier process of the same name on the same machine had bound the same
        ports, so it must have ended.
        """
        self._ports_bound_at = self._clock.read_elapsed()

    @property
    def release_times(self):
        """When this host stops using slots to be released: ``{slot: elapsed time}``."""
        return dict(self._release_times)

    def plan(self, table, live_names, terms, now, leaving=False):
        """Return a `Plan`, or None if there is nothing to change.

        Parameters
        ----------
        table : SlotTable
        live_names : collection of str
            Names of the live hosts of this data centre, this one included.
        terms : Terms
            Settings for slots that have no owner.
        now : float
        leaving : bool, optional
            Whether this host is draining and releases all of its slots.
        """
        changes, suspect_slots = {}, {}
        for number, slot in enumerate(table.slots):
            if leaving or choose_slot_host(number, live_names) != self.own.name:
                changed = self._release(number, slot, now)
            else:
                self._release_times.pop(number, None)
                changed = self._claim(slot, terms)
                self._plan_suspicions(number, changed, live_names, now, suspect_slots)
            if changed != slot:
                changes[number] = changed
        if changes:
            return Plan(table.with_slots(changes), ())
        for owner, slots in suspect_slots.items():
            if self._backoff_until.get(owner, now) <= now:
                return Plan(table.with_slots(slots), (owner,))
        return None

    def record_rejected_plan(self, plan, now):
        """Record that a plan's write failed, so that its owners are retried later."""
        for owner in plan.absent_owners:
            self._backoff_until[owner] = now + REJECTED_PLAN_BACKOFF_SECONDS

    def record_written_table(self, table, now):
        """Record that a planned table was written, `now` at the latest."""
        for number, slot in enumerate(table.slots):
            for part in slot.parts.values():
                if part.suspicion and part.suspicion.claimant == self.own:
                    self._suspected_at.setdefault(part.suspicion.suspicion_id, now)
            if number in self._release_times and not self._owns_any(slot):
                del self._release_times[number]

    def clear_suspicions(self, table):
        """Return the table without suspicions of this host; None if there are none."""
        changes = {}
        for number, slot in enumerate(table.slots):
            for kind, part in slot.parts.items():
                if part.owner == self.own and part.suspicion is not None:
                    slot = slot.with_part(kind, Part(self.own))
            if slot is not table.slots[number]:
                changes[number] = slot
        return table.with_slots(changes) if changes else None

    def is_settled(self, table, live_names):
        """Return whether this host owns exactly the slots that it should own."""
        if not live_names:
            return False
        return all(
            (choose_slot_host(number, live_names) == self.own.name)
            == (slot.durable.owner == self.own and slot.leased.owner == self.own)
            for number, slot in enumerate(table.slots)
        )

    def find_start_time(self, slot, now):
        """Return the elapsed time from which a newly owned slot may be used.

        Notes
        -----
        The predecessor (an earlier run of this host) may have lent out its slots.
        So once any part was claimed from it, all newly owned slots wait until its
        loans have ended. This holds for all slots because a claim whose answer was
        lost is only found later, and then can't be told from other claims.
        """
        if not self._has_predecessor:
            return now
        return max(
            now, self._ports_bound_at + slot.terms.loan_seconds + LOAN_MARGIN_SECONDS
        )

    def _claim(self, slot, terms):
        if slot.is_free:
            part = Part(self.own)
            return evolve(slot, durable=part, leased=part, terms=terms)
        for kind, part in slot.parts.items():
            if part.owner is None:
                slot = slot.with_part(kind, Part(self.own))
            elif self._is_predecessor(part.owner):
                self._has_predecessor = True
                slot = slot.with_part(kind, Part(self.own))
        return slot

    def _plan_suspicions(self, number, slot, live_names, now, suspect_slots):
        """Add to `suspect_slots` the changes to parts whose owners seem to be gone."""
        for kind, part in slot.parts.items():
            if part.owner == self.own or self._is_live(part.owner, live_names):
                continue
            changed = self._advance_suspicion(slot, kind, part, now)
            if changed != part:
                slots = suspect_slots.setdefault(part.owner, {})
                slots[number] = slots.get(number, slot).with_part(kind, changed)

    def _advance_suspicion(self, slot, kind, part, now):
        suspicion = part.suspicion
        if suspicion is None or suspicion.claimant != self.own:
            suspicion_id = self._random.getrandbits(63)
            return Part(part.owner, Suspicion(self.own, suspicion_id))
        suspected_at = self._suspected_at.get(suspicion.suspicion_id, math.inf)
        wait = (
            slot.terms.get_takeover_seconds(kind) * (1 + CLOCK_DRIFT_SHARE)
            + LOAN_MARGIN_SECONDS
        )
        return Part(self.own) if now >= suspected_at + wait else part

    def _is_live(self, owner, live_names):
        return owner.name in live_names and owner.name != self.own.name

    def _release(self, number, slot, now):
        if not self._owns_any(slot):
            self._release_times.pop(number, None)
            return slot
        # Loans made before now may be in use for this long. The slot is released only
        # after they have ended, and this host may use it until then.
        end = now + slot.terms.loan_seconds + LOAN_MARGIN_SECONDS
        if now < self._release_times.setdefault(number, end):
            return slot
        for kind, part in slot.parts.items():
            if part.owner == self.own:
                slot = slot.with_part(kind, Part())
        return slot

    def _is_predecessor(self, owner):
        return (
            self._ports_bound_at is not None
            and bool(self.own.machine)
            and owner.name == self.own.name
            and owner.machine == self.own.machine
            and owner.incarnation < self.own.incarnation
        )

    def _owns_any(self, slot):
        return any(part.owner == self.own for part in slot.parts.values())
