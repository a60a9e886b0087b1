"""Maintains a host's lease and its slots on the platform."""

import curio
from attrs import field, frozen
from returns.result import Failure

from ..daemon.parts import HostPart
from ..gateway.resources import send_json
from ..protocol.limits_pb2 import DataCentreShare, DataCentreShares, HeldSlots
from ..store import Condition, Conflict, Operation, StoreRefusedError, Transaction
from ..telemetry import get_logger
from .ledger import LOAN_MARGIN_SECONDS
from .slots import SlotTable, Terms

__all__ = ["HELD_SLOTS_ENTRY", "SlotManager", "make_lease_key"]

SHARES_KEY = "limits/shares"
HELD_SLOTS_ENTRY = "limits.slots"
STEP_INTERVAL_SECONDS = 0.25
READ_INTERVAL_SECONDS = 30.0
# A slot that another host has released has no owner until its next owner reads the
# table.
UNSETTLED_READ_INTERVAL_SECONDS = 0.25
MEMBERSHIP_SETTLING_SECONDS = 1.5
RENEWALS_PER_LEASE = 3
FULL_ACCRUAL_SECONDS = 1e9

log = get_logger("limits")


def make_lease_key(data_centre, owner):
    """Return the key that is attached to the lease of a host's run."""
    return f"hosts/{data_centre}/{owner.name}/{owner.incarnation}"


@frozen
class _LeaseRenewal:
    """The last confirmed grant or renewal of the lease.

    Parameters
    ----------
    lease : Lease
    sent_at : float
        Elapsed time before the request was sent.
    """

    lease = field()
    sent_at = field()


class SlotManager(HostPart):
    """Claims, holds and releases slots of the data centre's budget.

    Parameters
    ----------
    budget : HostBudget
    planner : ClaimPlanner
    records : RecordStore
    view : MembershipView
    clock : Clock
    """

    def __init__(self, budget, planner, records, view, clock):
        self._budget = budget
        self._planner = planner
        self._own = planner.own
        self._records = records
        self._view = view
        self._clock = clock
        self._data_centre = view.own.data_centre
        self._limits = None
        self._weights = {}
        self._renewal = None
        self._confirmed_lease_id = None
        self._record = None
        self._table = None
        self._read_at = None
        self._leaving = False
        self._started_at = None
        self._step_lock = curio.Lock()

    def operator_handlers(self):
        """Return the handler of ``/limits``, which shows operators the slots."""
        return {"/limits": self._send_limits}

    def take_fleet(self, fleet):
        """Apply newer settings."""
        self._limits = fleet.limits
        self._weights = {d.name: d.weight for d in fleet.data_centres.values()}
        self._budget.loan_seconds = fleet.limits.loan_seconds

    async def run(self):
        """Maintain the lease and the slots until cancelled."""
        # The host binds all its ports before it runs its parts.
        self._planner.mark_ports_bound()
        async with curio.TaskGroup() as group:
            await group.spawn(self._maintain_lease)
            await group.spawn(self._maintain_slots)

    async def drain(self):
        """Release all slots, after every loan made from them has ended."""
        self._leaving = True
        if self._limits is None:
            return
        async with self._step_lock:
            await self._step()
        await curio.sleep(self._limits.loan_seconds + 2 * LOAN_MARGIN_SECONDS)
        async with self._step_lock:
            await self._step()

    async def _maintain_lease(self):
        while True:
            if self._limits is not None:
                await self._renew()
            await curio.sleep(STEP_INTERVAL_SECONDS)

    async def _maintain_slots(self):
        while True:
            if self._limits is not None and not self._leaving:
                async with self._step_lock:
                    await self._step()
            await curio.sleep(STEP_INTERVAL_SECONDS)

    async def _renew(self):
        now = self._clock.read_elapsed()
        renewal = self._renewal
        if renewal is None:
            await self._acquire_lease(now)
            return
        if now < renewal.sent_at + renewal.lease.seconds / RENEWALS_PER_LEASE:
            return
        renewed = await self._records.store.renew_lease(renewal.lease)
        if isinstance(renewed, Failure):
            if isinstance(renewed.failure(), StoreRefusedError):
                self._renewal = self._confirmed_lease_id = None
            return
        self._renewal = _LeaseRenewal(renewed.unwrap(), now)
        if self._confirmed_lease_id == renewal.lease.lease_id:
            self._budget.allocations.extend(
                now,
                renewed.unwrap().valid_until,
                self._clock.read_elapsed(),
                end_times=self._planner.release_times,
            )

    async def _acquire_lease(self, now):
        store = self._records.store
        granted = await store.grant_lease(self._limits.lease_seconds)
        if isinstance(granted, Failure):
            return
        lease = granted.unwrap()
        key = make_lease_key(self._data_centre, self._own)
        operation = Operation(key, self._own.machine.encode(), lease.lease_id)
        put = await store.transact(Transaction((), (operation,)))
        if not isinstance(put, Failure):
            self._renewal = _LeaseRenewal(lease, now)

    async def _step(self):
        """Confirm a new lease, or read the table if due and write the plan."""
        if self._renewal is None or not await self._ensure_share():
            return
        if self._confirmed_lease_id != self._renewal.lease.lease_id:
            await self._confirm_lease()
            return
        if self._is_read_due() and not await self._read():
            return
        await self._write_plan()
        self._publish()

    async def _confirm_lease(self):
        """Resume, under a new lease, the slots that the table still assigns here."""
        lease_id = self._renewal.lease.lease_id
        if not await self._read(update_allocations=False):
            return
        cleared = self._planner.clear_suspicions(self._table)
        if cleared is not None and not await self._write(cleared, ()):
            return
        if self._renewal and self._renewal.lease.lease_id == lease_id:
            self._confirmed_lease_id = lease_id
            self._update_allocations()
            self._publish()

    def _is_read_due(self):
        now = self._clock.read_elapsed()
        if self._read_at is None:
            return True
        settled = self._planner.is_settled(self._table, self._list_live_names())
        return now >= self._read_at + (
            READ_INTERVAL_SECONDS if settled else UNSETTLED_READ_INTERVAL_SECONDS
        )

    async def _read(self, update_allocations=True):
        key = f"limits/slots/{self._data_centre}"
        found = await self._records.read(key)
        if isinstance(found, Failure):
            return False
        self._read_at = self._clock.read_elapsed()
        self._set_record(found.unwrap())
        if update_allocations:
            self._update_allocations()
        return True

    def _set_record(self, record):
        self._record = record
        if record is None:
            self._table = SlotTable.make_empty(self._limits.slots)
        else:
            self._table = SlotTable.from_bytes(record.payload)

    async def _write_plan(self):
        now = self._clock.read_elapsed()
        names = self._list_live_names()
        if not names:
            return
        terms = Terms(
            self._limits.durable_share,
            self._limits.outage_horizon,
            self._limits.loan_seconds,
            float(self._limits.lease_seconds),
        )
        plan = self._planner.plan(self._table, names, terms, now, self._leaving)
        self._budget.allocations.shorten(self._planner.release_times)
        if plan is None:
            return
        previous_table = self._table
        if not await self._write(plan.table, plan.absent_owners):
            self._planner.record_rejected_plan(plan, self._clock.read_elapsed())
            return
        log.info("slots recorded", extra={"epoch": self._table.epoch})
        self._update_allocations(previous_table)

    async def _write(self, table, absent_owners):
        """Write a table and read it back; return whether both succeeded."""
        extra = [
            Condition(make_lease_key(self._data_centre, owner), 0)
            for owner in absent_owners
        ]
        key = f"limits/slots/{self._data_centre}"
        written = await self._records.write(
            key, table.to_bytes(), self._record, extra=extra
        )
        self._read_at = None
        if isinstance(written, Failure):
            return False
        if isinstance(written.unwrap(), Conflict):
            self._set_record(written.unwrap().current)
            return False
        now = self._clock.read_elapsed()
        if not await self._read(update_allocations=False):
            return False
        self._planner.record_written_table(self._table, now)
        return True

    def _update_allocations(self, previous_table=None):
        """Replace the allocations by those of the current table.

        `previous_table` is the table that this host has just overwritten, if any.
        """
        renewal = self._renewal
        if renewal is None or self._confirmed_lease_id != renewal.lease.lease_id:
            return
        self._budget.allocations.replace(
            self._table,
            self._own,
            self._find_start_times(previous_table),
            renewal.sent_at,
            renewal.lease.valid_until,
            self._clock.read_elapsed(),
            end_times=self._planner.release_times,
        )

    def _find_start_times(self, previous_table):
        """Return the start times of new allocations by slot number.

        A slot that had never been owned starts with a full bucket, so its start lies
        far enough in the past to have accrued it.
        """
        now = self._clock.read_elapsed()
        full_since = now - FULL_ACCRUAL_SECONDS
        start_times = {}
        for number, slot in enumerate(self._table.slots):
            if (
                previous_table is not None
                and previous_table.slots[number].terms is None
            ):
                start_times[number] = full_since
            elif slot.terms is not None:
                start_times[number] = self._planner.find_start_time(slot, now)
        return start_times

    def _publish(self):
        allocations = self._budget.allocations
        value = HeldSlots(slots=allocations.slot_count, held=allocations.held)
        self._view.publish(HELD_SLOTS_ENTRY, value.SerializeToString())

    async def _send_limits(self, exchange):
        allocations = self._budget.allocations
        table = self._table
        value = {
            "share": allocations.share,
            "slots": allocations.slot_count,
            "held": allocations.held_parts,
            "epoch": table.epoch if table else 0,
            "platform_contact": self._renewal is not None,
            "accounts": self._budget.describe(),
        }
        await send_json(exchange, value, "")

    def _list_live_names(self):
        """Return the data centre's live hosts; none until the view has settled."""
        now = self._clock.read_elapsed()
        if self._started_at is None:
            self._started_at = now
        if now < self._started_at + MEMBERSHIP_SETTLING_SECONDS and not self._leaving:
            return ()
        return tuple(m.name for m in self._view.list_members(self._data_centre))

    async def _ensure_share(self):
        if self._budget.allocations.share:
            return True
        found = await self._records.read(SHARES_KEY)
        if isinstance(found, Failure):
            return False
        record = found.unwrap()
        if record is None:
            await self._records.write(SHARES_KEY, _make_shares(self._weights))
            return False
        shares = DataCentreShares.FromString(record.payload).shares
        known = {share.data_centre: share.share for share in shares}
        self._budget.allocations.share = known.get(self._data_centre, 0.0)
        return self._budget.allocations.share > 0


def _make_shares(weights):
    total = sum(weights.values())
    shares = [
        DataCentreShare(data_centre=name, share=weight / total)
        for name, weight in sorted(weights.items())
    ]
    return DataCentreShares(shares=shares).SerializeToString()
