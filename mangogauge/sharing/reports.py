"""The report that a host sends to the others, and its encoding.

A report is one datagram. It contains totals, never differences, so lost, duplicated
and reordered datagrams do no harm.
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
    """A datagram is not a valid report or summary."""


def read_failures(rows):
    """Decode the rows of `write_failures` to ``{name: Evidence}``."""
    return {str(n): Evidence(int(a), int(f), int(c)) for n, a, f, c in rows}


def write_failures(failures):
    """Encode ``{name: Evidence}`` as rows for JSON."""
    return [[n, e.answered, e.failed, e.cut] for n, e in failures.items()]


def _drop_duplicates(names):
    return tuple(dict.fromkeys(names))


@frozen
class EndpointLoad:
    """Work that runs at one endpoint.

    Parameters
    ----------
    online, batch : int
        Online requests and batch items that were sent and have not ended.
    """

    online = field(default=0)
    batch = field(default=0)

    @property
    def total(self):
        """Number of online requests and batch items together."""
        return self.online + self.batch


@frozen
class HostReport:
    """Report of one host to the others.

    Parameters
    ----------
    host, incarnation : str
        Name of the host, and identifier of its process.
    number : int
        Number of the report; increases with each report of an incarnation.
    loads : dict of str to EndpointLoad
        By endpoint's name.
    admitted : dict of str to int
        Requests that the host has admitted since its start, by client account.
    waiting : int
        Online requests that wait at the host for a free slot.
    unhealthy : tuple of str
        Endpoints that the host can't reach or that don't answer its requests.
    copies : dict of str to CopyReport
        By topic, the host's copies of the platform's store.
    items_waiting : int
        Batch items that wait at the host for a free slot.
    reaches_store : bool
        Whether the host reaches the store, so that it can relay others' calls.
    crashes : dict of str to int
        Crashes of endpoints by fingerprint of the request that ran there.
    departures : dict of str to int
        Endpoints whose answers say that they are leaving: the start of the process,
        in milliseconds since the Unix epoch, by name.
    admitted_complete : bool
        Whether `admitted` has all client accounts with admissions; else it has only
        those with recent ones.
    failures : dict of str to Evidence
        Outcomes of the host's requests of the last seconds, by endpoint; only
        endpoints at which some failed.
    """

    host = field()
    incarnation = field()
    number = field()
    loads = field(factory=dict)
    admitted = field(factory=dict)
    waiting = field(default=0)
    unhealthy = field(default=(), converter=_drop_duplicates)
    copies = field(factory=dict)
    items_waiting = field(default=0)
    reaches_store = field(default=False)
    crashes = field(factory=dict)
    departures = field(factory=dict)
    admitted_complete = field(default=True)
    failures = field(factory=dict)

    @property
    def waiting_hosts(self):
        """Number of hosts with waiting requests in this report: 0 or 1."""
        return int(self.waiting > 0)

    @classmethod
    def from_value(cls, value):
        """Decode a report from its parsed JSON.

        Raises
        ------
        ReportError
            If the value is not a report of this format.
        """
        try:
            version, *values = value
            if version != FORMAT:
                raise ReportError(f"Report format {version} is not supported.")
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
            raise ReportError(f"The datagram is not a report: {error}.") from error

    def to_bytes(self):
        """Encode the report as JSON for a datagram."""
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
