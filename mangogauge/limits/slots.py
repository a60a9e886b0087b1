"""The platform's record of who holds which slot of a data centre's budget.

A slot has two parts: the leased one is its owner's while the owner's lease at
the platform lives, the durable one also while the platform is away, up to the
outage horizon after the owner's last contact with it.
"""

import enum

from attrs import evolve, field, frozen

from ..protocol import limits_pb2 as wire

__all__ = ["Owner", "Part", "PartKind", "Slot", "SlotTable", "Suspicion", "Terms"]


class PartKind(enum.Enum):
    """Which part of a slot."""

    DURABLE = "durable"
    LEASED = "leased"


@frozen
class Owner:
    """One run of one host.

    Parameters
    ----------
    name : str
    incarnation : int
    machine : str
        Identity of the running machine and its network, see
        `read_machine_identity`.
    """

    name = field()
    incarnation = field()
    machine = field(default="")


@frozen
class Suspicion:
    """A host waits for another's rights to end.

    Parameters
    ----------
    taker : Owner
    number : int
        Tells this suspicion from others.
    """

    claimant = field()
    suspicion_id = field()


@frozen
class Part:
    """The durable or the leased part of a slot."""

    owner = field(default=None)
    suspicion = field(default=None)


@frozen
class Terms:
    """Settings in force for a slot since it was last wholly free.

    Parameters
    ----------
    durable_share : float
        The durable part's share of the slot.
    outage_horizon, loan_seconds, lease_seconds : float
        Seconds.
    """

    durable_share = field()
    outage_horizon = field()
    loan_seconds = field()
    lease_seconds = field()

    def get_share(self, kind):
        """Return the share of the slot that a part is."""
        if kind is PartKind.DURABLE:
            return self.durable_share
        return 1.0 - self.durable_share

    def get_takeover_seconds(self, kind):
        """Return seconds until a part whose owner is out of contact has ended."""
        if kind is PartKind.DURABLE:
            return self.outage_horizon
        return self.lease_seconds


@frozen
class Slot:
    """One slot; both parts are free at first."""

    durable = field(factory=Part)
    leased = field(factory=Part)
    terms = field(default=None)

    @property
    def parts(self):
        """Return both parts by kind."""
        return {PartKind.DURABLE: self.durable, PartKind.LEASED: self.leased}

    @property
    def is_free(self):
        """Whether neither part has an owner."""
        return self.durable.owner is None and self.leased.owner is None

    def with_part(self, kind, part):
        """Return this slot with another part."""
        return evolve(self, **{kind.value: part})


@frozen
class SlotTable:
    """All slots of a data centre.

    Parameters
    ----------
    slots : tuple of Slot
    epoch : int
        Grows with each change.
    """

    slots = field(converter=tuple)
    epoch = field(default=0)

    @classmethod
    def make_empty(cls, count):
        """Return a table whose slots nobody has ever owned."""
        return cls([Slot() for _ in range(count)])

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        table = wire.SlotTable.FromString(data)
        owners = [None]
        owners += [Owner(o.name, o.incarnation, o.machine) for o in table.owners]
        return cls([_decode_slot(slot, owners) for slot in table.slots], table.epoch)

    def to_bytes(self):
        """Encode for the platform's store."""
        owners = _list_owners(self.slots)
        numbers = {owner: index for index, owner in enumerate(owners, 1)}
        table = wire.SlotTable(
            epoch=self.epoch,
            owners=[
                wire.SlotOwner(
                    name=o.name, incarnation=o.incarnation, machine=o.machine
                )
                for o in owners
            ],
            slots=[_encode_slot(slot, numbers) for slot in self.slots],
        )
        return table.SerializeToString()

    def with_slots(self, changes):
        """Return the next epoch's table, with some slots changed.

        Parameters
        ----------
        changes : dict of int to Slot
        """
        slots = [changes.get(number, slot) for number, slot in enumerate(self.slots)]
        return SlotTable(slots, self.epoch + 1)


def _list_owners(slots):
    found = {}
    for slot in slots:
        for part in slot.parts.values():
            found[part.owner] = True
            if part.suspicion:
                found[part.suspicion.claimant] = True
    found.pop(None, None)
    return list(found)


def _encode_slot(slot, numbers):
    encoded = wire.Slot(
        durable=_encode_part(slot.durable, numbers),
        leased=_encode_part(slot.leased, numbers),
    )
    if slot.terms is not None:
        encoded.durable_share = slot.terms.durable_share
        encoded.outage_horizon = slot.terms.outage_horizon
        encoded.loan_seconds = slot.terms.loan_seconds
        encoded.lease_seconds = slot.terms.lease_seconds
    return encoded


def _encode_part(part, numbers):
    encoded = wire.SlotPart(owner=numbers.get(part.owner, 0))
    if part.suspicion is not None:
        encoded.suspected_by = numbers[part.suspicion.claimant]
        encoded.suspicion = part.suspicion.suspicion_id
    return encoded


def _decode_slot(slot, owners):
    terms = None
    if slot.loan_seconds:
        terms = Terms(
            slot.durable_share,
            slot.outage_horizon,
            slot.loan_seconds,
            slot.lease_seconds,
        )
    return Slot(
        _decode_part(slot.durable, owners), _decode_part(slot.leased, owners), terms
    )


def _decode_part(part, owners):
    suspicion = None
    if part.suspected_by:
        suspicion = Suspicion(owners[part.suspected_by], part.suspicion)
    return Part(owners[part.owner], suspicion)
