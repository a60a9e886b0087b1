"""The hosts of the fleet: each registers under a lease and reads the others."""

import curio
import orjson
from attrs import asdict, field, frozen
from attrs.validators import instance_of
from returns.result import Failure

from ..store import Condition, Lease, Operation, StoreRefusedError, Transaction
from ..telemetry import get_logger
from ..ticks import sleep_to_tick
from .digests import digest_values
from .follower import Listener
from .leased import LeasedEntries

__all__ = ["FleetMember", "MemberDirectory", "Registration"]

MEMBERS_PREFIX = "members/"
RETRY_SECONDS = 0.25
# Renewals within the time of one lease, so that one may be lost without harm.
RENEWALS_PER_LEASE = 3.0
# A renewal that leaves less of the lease than this part is logged.
LATE_SHARE = 0.5

log = get_logger("members")


@frozen
class FleetMember:
    """One registered host.

    Parameters
    ----------
    name : str
    incarnation : str
        Identifies its process; new at each start.
    data_centre : str
    address : str
        Where it receives other hosts' reports, as ``host:port``.
    serves_callers : bool
    runs_batch : bool
    """

    name = field(validator=instance_of(str))
    incarnation = field(validator=instance_of(str))
    data_centre = field(default="", validator=instance_of(str))
    address = field(default="", validator=instance_of(str))
    serves_callers = field(default=True, validator=instance_of(bool))
    runs_batch = field(default=False, validator=instance_of(bool))

    @property
    def key(self):
        """Key of its entry in the store."""
        return MEMBERS_PREFIX + self.name

    @classmethod
    def from_bytes(cls, data):
        """Decode an entry of the store.

        Raises
        ------
        ValueError
            If it is not a valid entry.
        """
        try:
            return cls(**orjson.loads(data))
        except TypeError as error:
            # Not a map, other fields, or a field of another type.
            raise ValueError(str(error)) from error

    def to_bytes(self):
        """Encode for the store."""
        return orjson.dumps(asdict(self))


class MemberDirectory(Listener):
    """Directory of the registered hosts.

    Parameters
    ----------
    own : FleetMember
        This host.
    clock : Clock
    """

    prefix = MEMBERS_PREFIX

    def __init__(self, own, clock):
        self.own = own
        self._members = LeasedEntries(clock)
        self._others = []
        self._others_version = 0
        self.loaded = False

    @property
    def digest(self):
        """Digest of the entries as last read from the store."""
        return self._members.compute_digest()

    def digest_items(self, items):
        """Return the digest of the valid entries among `items`."""
        members = [_decode(item) for item in items]
        return digest_values(m for m in members if m is not None)

    def list_others(self):
        """Return the other hosts in order of name; the list must not be modified."""
        if self._others_version != self._members.version:
            self._others_version = self._members.version
            found = [m for m in self._members.list_values() if m.name != self.own.name]
            self._others = sorted(found, key=lambda member: member.name)
        return self._others

    def get(self, name):
        """Return the `FleetMember` of a name, or None."""
        return self._members.get(name)

    def list_runners(self):
        """Return the sorted names of the hosts that run batch work."""
        members = [*self.list_others(), self.own]
        return sorted(member.name for member in members if member.runs_batch)

    def apply_snapshot(self, items):
        """Replace the hosts by the entries in `items`."""
        names = {item.key.removeprefix(MEMBERS_PREFIX) for item in items}
        for name in self._members:
            if name not in names:
                self._drop(name)
        for item in items:
            self._put(item)
        self.loaded = True

    def apply_changes(self, events):
        """Apply entries that were written or deleted."""
        for event in events:
            if event.value is None:
                self._drop(event.key.removeprefix(MEMBERS_PREFIX))
            else:
                self._put(event)

    def handle_store_regained(self):
        """Start the grace period in which missing entries are kept."""
        self._members.handle_store_regained()

    def _drop(self, name):
        if self._members.get(name) is None:
            return
        self._members.drop(name)
        kept = self._members.get(name) is not None
        log.info("host's entry gone", extra={"member": name, "kept": kept})

    def _put(self, item):
        member = _decode(item)
        if member is None:
            return
        if self._members.put(member.name, member) != member:
            log.info(
                "host registered",
                extra={"member": member.name, "address": member.address},
            )


async def _do_nothing():
    """Default of `Registration`'s `on_registered`."""


def _decode(item):
    """Return the `FleetMember` of an item, or None if it is invalid."""
    try:
        member = FleetMember.from_bytes(item.value)
        if member.key != item.key:
            raise ValueError(f"it is the entry of {member.name!r}")
    except ValueError as error:
        log.warning(
            "host's entry can't be read",
            extra={"key": item.key, "reason": str(error)},
        )
        return None
    return member


class Registration:
    """Keeps one host registered while it runs.

    Parameters
    ----------
    store : Store
    member : FleetMember
    clock : Clock
    lease_seconds : float
    on_registered : async callable, optional
        Called after each registration. If the other hosts' entries are read then, the
        later of two hosts that start at the same time sees the other.

    Attributes
    ----------
    lease : Lease or None
        The lease of this host's entry and claims; None while there is none.
    """

    def __init__(self, store, member, clock, lease_seconds, on_registered=None):
        self._on_registered = on_registered or _do_nothing
        self._store = store
        self._member = member
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._ended = False
        self._starting = True
        self.lease = None

    @property
    def is_valid(self):
        """Whether the lease has certainly not expired, by this host's clock."""
        lease = self.lease
        return lease is not None and self._clock.read_elapsed() < lease.valid_until

    async def run(self):
        """Register, renew the lease, and register again after it has expired."""
        while not self._ended:
            began_at = self._clock.read_elapsed()
            renewed = await (self._renew() if self.lease else self._register())
            await sleep_to_tick(self._compute_pause(began_at, renewed))
        # The host's process ends later than its registration.
        await curio.Event().wait()

    def _compute_pause(self, began_at, renewed):
        """Return the seconds to the next renewal; a slow answer doesn't delay it."""
        if not renewed:
            return RETRY_SECONDS
        due_at = began_at + self._lease_seconds / RENEWALS_PER_LEASE
        return max(RETRY_SECONDS, due_at - self._clock.read_elapsed())

    async def leave(self):
        """Revoke the lease, and with it the registration and all claims."""
        self._ended = True
        lease, self.lease = self.lease, None
        if lease is not None:
            answer = await self._store.revoke_lease(lease)
            if isinstance(answer, Failure):
                log.warning(
                    "lease not revoked, it will expire",
                    extra={"reason": str(answer.failure())},
                )

    async def _register(self):
        granted = await self._store.grant_lease(self._lease_seconds)
        if isinstance(granted, Failure):
            return False
        lease = granted.unwrap()
        if not await self._write_entry(lease):
            await self._store.revoke_lease(lease)
            return False
        self._starting = False
        self.lease = lease
        log.info("registered", extra={"lease": lease.lease_id})
        await self._on_registered()
        return True

    async def _write_entry(self, lease):
        """Write this host's entry; return whether that succeeded.

        Notes
        -----
        A process that starts writes it if there is none, which shows in the same call
        whether a previous process has left one.
        """
        key = self._member.key
        entry = Operation(key, self._member.to_bytes(), lease=lease.lease_id)
        conditions = (Condition(key, 0),) if self._starting else ()
        written = await self._store.transact(Transaction(conditions, (entry,)))
        if isinstance(written, Failure):
            return False
        outcome = written.unwrap()
        if outcome.succeeded:
            return True
        if not await self._revoke_previous_lease(outcome.current):
            return False
        written = await self._store.transact(Transaction((), (entry,)))
        return not isinstance(written, Failure)

    async def _revoke_previous_lease(self, current):
        """Revoke the lease of this host's previous process; return whether it is gone.

        Notes
        -----
        That process has ended, or this one could not have bound its ports. Revoking
        the lease frees its claims at once instead of when the lease expires.
        """
        if not current:
            # Not every store tells what a failed condition has found.
            found = await self._store.get(self._member.key)
            if isinstance(found, Failure):
                return False
            current = [found.unwrap()] if found.unwrap() is not None else []
        for lease_id in (item.lease for item in current if item.lease):
            ended = await self._store.revoke_lease(Lease(lease_id, 0.0, 0.0))
            if isinstance(ended, Failure):
                return False
            log.info("lease of the previous process revoked", extra={"lease": lease_id})
        return True

    async def _renew(self):
        lease = self.lease
        asked_at = self._clock.read_elapsed()
        renewed = await self._store.renew_lease(lease)
        self._log_late(lease, asked_at, renewed)
        if not isinstance(renewed, Failure):
            if self.lease is lease:
                self.lease = renewed.unwrap()
            return True
        error = renewed.failure()
        if isinstance(error, StoreRefusedError) and self.lease is lease:
            late = self._clock.read_elapsed() - lease.valid_until
            log.warning(
                "lease expired",
                extra={"lease": lease.lease_id, "late_seconds": round(late, 3)},
            )
            self.lease = None
        return False

    def _log_late(self, lease, asked_at, renewed):
        """Log a renewal that failed, or that left little of the lease."""
        left = lease.valid_until - self._clock.read_elapsed()
        failed = isinstance(renewed, Failure)
        if not failed and left >= lease.seconds * LATE_SHARE:
            return
        log.info(
            "lease renewed late",
            extra={
                "lease": lease.lease_id,
                "reason": str(renewed.failure()) if failed else "",
                "left_when_asked": round(lease.valid_until - asked_at, 3),
                "left": round(left, 3),
            },
        )
