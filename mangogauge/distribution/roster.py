"""All hosts that may be serving, as the platform's store lists them.

A host enters itself before it serves and leaves when it has drained. A host
that died stays listed, since from afar it looks like one that is cut off; it
is dropped once it would no longer trust its keys even if it still ran.
"""

import curio
import orjson
from attrs import asdict, evolve, field, frozen
from returns.result import Failure

from ..daemon.parts import HostPart

__all__ = ["ROSTER_PREFIX", "Roster", "RosterEntry", "RosterKeeper"]

ROSTER_PREFIX = "roster/"
ENTER_INTERVAL = 1.0
RENEW_SECONDS = 600.0


@frozen
class RosterEntry:
    """One host.

    Parameters
    ----------
    name, data_centre : str
    incarnation : int
    operator_address : str
        ``host:port`` of its operators' port.
    seen_at : float
        Seconds since the Unix epoch at which it last wrote this.
    trust_seconds : float
        For how long after `seen_at` it may go on trusting its keys.
    """

    name = field()
    data_centre = field()
    incarnation = field()
    operator_address = field()
    seen_at = field(default=0.0)
    trust_seconds = field(default=0.0)

    @property
    def key(self):
        """Where it is kept."""
        return f"{ROSTER_PREFIX}{self.data_centre}/{self.name}"


class Roster:
    """Read and write the roster.

    Parameters
    ----------
    records : RecordStore
    """

    def __init__(self, records):
        self._records = records

    async def list_all(self):
        """Return ``Success(list of RosterEntry)``."""
        found = await self._records.list_prefix(ROSTER_PREFIX)
        return found.map(lambda rows: [_decode(row) for row in rows])

    async def enter(self, entry):
        """Write `entry` over whatever its host wrote before."""
        found = await self._records.read(entry.key)
        if isinstance(found, Failure):
            return found
        return await self._records.write(
            entry.key, orjson.dumps(asdict(entry)), found.unwrap()
        )

    async def leave(self, entry):
        """Remove `entry` unless a later incarnation has replaced it."""
        found = await self._records.read(entry.key)
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        if row is None or _decode(row).incarnation != entry.incarnation:
            return found
        return await self._records.remove(row)


class RosterKeeper(HostPart):
    """Keeps this host in the roster.

    Parameters
    ----------
    roster : Roster
    entry : RosterEntry
    clock : Clock
    trust : KeyTrust
        Says for how long keys are trusted.
    """

    def __init__(self, roster, entry, clock, trust):
        self._roster = roster
        self._entry = entry
        self._clock = clock
        self._trust = trust
        self._leaving = False
        self.entered = False

    async def run(self):
        """Enter, and renew now and then, until cancelled."""
        while True:
            await curio.sleep(await self._renew())

    async def drain(self):
        """Say that the entry is removed when the process ends."""
        self._leaving = True

    async def leave(self):
        """Remove the entry; called when nothing is served any more."""
        await self._roster.leave(self._entry)

    async def _renew(self):
        if self._leaving:
            return RENEW_SECONDS
        self._entry = evolve(
            self._entry,
            seen_at=self._clock.read_calendar(),
            trust_seconds=self._trust.seconds,
        )
        if isinstance(await self._roster.enter(self._entry), Failure):
            return ENTER_INTERVAL
        self.entered = True
        return RENEW_SECONDS


def _decode(row):
    return RosterEntry(**orjson.loads(row.payload))
