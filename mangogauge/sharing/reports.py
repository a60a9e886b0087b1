"""The report that a host sends to the others, and its form on the wire.

A report is one datagram. It holds totals, never differences, so that one that
is lost, doubled or overtaken does no harm.
"""

import orjson
from attrs import field, frozen

from ..errors import MangogaugeError
from ..trust import Evidence
from .copies import read_copies, write_copies

__all__ = [
    "EndpointLoad",
    "HostReport",
    "ReportError",
    "read_failures",
    "write_failures",
]

FORMAT = 6


class ReportError(MangogaugeError):
    """A datagram is no report."""


def read_failures(rows):
    """Return ``{name: Evidence}`` of what `write_failures` returned."""
    return {str(n): Evidence(int(a), int(f), int(c)) for n, a, f, c in rows}


def write_failures(failures):
    """Return ``{name: Evidence}`` as rows that JSON can hold."""
    return [[n, e.answered, e.failed, e.cut] for n, e in failures.items()]


def _drop_repeated(names):
    return tuple(dict.fromkeys(names))


@frozen
class EndpointLoad:
    """What one host runs at one endpoint.

    Parameters
    ----------
    online, batch : int
        Requests and items that were sent and have not ended.
    """

    online = field(default=0)
    batch = field(default=0)

    @property
    def total(self):
        """Both together."""
        return self.online + self.batch


@frozen
class HostReport:
    """What one host tells the others.

    Parameters
    ----------
    host, incarnation : str
    number : int
        Grows with each report of one incarnation.
    loads : dict of str to EndpointLoad
        By endpoint's name.
    admitted : dict of str to int
        Requests admitted since the host's start, by client account.
    waiting : int
        Online requests that wait at the host for a free slot.
    unhealthy : tuple of str
        Endpoints that the host can't reach or that don't answer it.
    copies : dict of str to CopyReport
        By topic, what the host knows of the platform's store.
    items_waiting : int
        Batch items that wait at the host for a free slot.
    reaches_store : bool
        Whether the host passes others' calls to the store on.
    crashes : dict of str to int
        Crashes of endpoints by fingerprint of the request that ran there.
    admitted_complete : bool
        Whether `admitted` names all client accounts that have any; else only those
        that had some lately.
    departures : dict of str to int
        Endpoints whose answers say that they are leaving: the start of the process,
        in milliseconds since the Unix epoch, by name.
    failures : dict of str to Evidence
        What became of the host's requests of the last seconds, by endpoint; only
        endpoints at which some failed.
    """

    host = field()
    incarnation = field()
    number = field()
    loads = field(factory=dict)
    admitted = field(factory=dict)
    waiting = field(default=0)
    unhealthy = field(default=(), converter=_drop_repeated)
    copies = field(factory=dict)
    items_waiting = field(default=0)
    reaches_store = field(default=False)
    crashes = field(factory=dict)
    departures = field(factory=dict)
    admitted_complete = field(default=True)
    failures = field(factory=dict)

    @property
    def waiting_hosts(self):
        """How many hosts have requests waiting, by this report: none or one."""
        return int(self.waiting > 0)

    @classmethod
    def from_value(cls, value):
        """Decode what `to_bytes` encoded, parsed as JSON.

        Raises
        ------
        ReportError
            If it is none.
        """
        try:
            form, *values = value
            if form != FORMAT:
                raise ReportError(f"Reports of format {form} are not known.")
            host, incarnation, number, loads, admitted, waiting, *values = values
            unhealthy, copies, items_waiting, reaches_store, *values = values
            crashes, departures, admitted_complete, failures = values
            return cls(
                str(host),
                str(incarnation),
                int(number),
                {str(n): EndpointLoad(int(o), int(b)) for n, o, b in loads},
                {str(name): int(count) for name, count in admitted},
                int(waiting),
                [str(name) for name in unhealthy],
                read_copies(copies),
                int(items_waiting),
                bool(reaches_store),
                {str(name): int(count) for name, count in crashes},
                {str(name): int(born) for name, born in departures},
                bool(admitted_complete),
                read_failures(failures),
            )
        except (ValueError, TypeError, ArithmeticError) as error:
            raise ReportError(f"The datagram is no report: {error}.") from error

    def to_bytes(self):
        """Encode as a datagram."""
        return orjson.dumps(
            [
                FORMAT,
                self.host,
                self.incarnation,
                self.number,
                [[name, load.online, load.batch] for name, load in self.loads.items()],
                list(self.admitted.items()),
                self.waiting,
                self.unhealthy,
                write_copies(self.copies),
                self.items_waiting,
                self.reaches_store,
                list(self.crashes.items()),
                list(self.departures.items()),
                self.admitted_complete,
                write_failures(self.failures),
            ]
        )
