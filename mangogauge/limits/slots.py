"""Table of the owners of a data centre's slots, as stored on the platform.

Each slot is a share of the data centre's budget and has two parts. The owner may use
the leased part while its lease on the platform is valid. It may use the durable part
also while the platform is unavailable, up to the outage horizon after its last
contact with the platform.
"""

import enum

from attrs import evolve, field, frozen

from ..protocol import limits_pb2 as wire

__all__ = ["Owner", "Part", "PartKind", "Slot", "SlotTable", "Suspicion", "Terms"]


class PartKind(enum.Enum):
    """Kind of a slot's part."""

    DURABLE = "durable"
    LEASED = "leased"


@frozen
class Owner:
    """One run (incarnation) of a host.

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
    """Mark of a host that waits to take over a part whose owner seems to be gone.

    Parameters
    ----------
    claimant : Owner
        The host that waits.
    suspicion_id : int
        Random identifier of this suspicion.
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
    """Settings in force for a slot, fixed when both parts were last claimed as free.

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
        """Return the share of the slot that belongs to a part."""
        if kind is PartKind.DURABLE:
            return self.durable_share
        return 1.0 - self.durable_share

    def get_takeover_seconds(self, kind):
        """Return seconds after which an owner without contact can't use a part."""
        if kind is PartKind.DURABLE:
            return self.outage_horizon
        return self.lease_seconds


@frozen
class Slot:
    """One slot of a data centre's budget; initially both parts are free."""

    durable = field(factory=Part)
    leased = field(factory=Part)
    terms = field(default=None)

    @property
    def parts(self):
        """Both parts by kind."""
        return {PartKind.DURABLE: self.durable, PartKind.LEASED: self.leased}

    @property
    def is_free(self):
        """Whether neither part has an owner."""
        return self.durable.owner is None and self.leased.owner is None

    def with_part(self, kind, part):
        """Return a copy of this slot with one part replaced."""
        return evolve(self, **{kind.value: part})


@frozen
class SlotTable:
    """All slots of a data centre.

    Parameters
    ----------
    slots : tuple of Slot
    epoch : int
        Incremented with each change.
    """

    slots = field(converter=tuple)
    epoch = field(default=0)

    @classmethod
    def make_empty(cls, count):
        """Return a table of `count` slots that have never had an owner."""
        return cls([Slot() for _ in range(count)])

    @classmethod
    def from_bytes(cls, data):
        """Decode what `to_bytes` returned."""
        table = wire.SlotTable.FromString(data)
        owners = [None]
        owners += [Owner(o.name, o.incarnation, o.machine) for o in table.owners]
        return cls([_decode_slot(slot, owners) for slot in table.slots], table.epoch)

    def to_bytes(self):
        """Encode the table for the platform's store."""
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
        """Return the table of the next epoch, with some slots replaced.

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
