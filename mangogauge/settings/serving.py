"""Settings of one host that serves a fleet from the platform's store."""

from attrs import field, frozen

from .kinds import AddressKind, FlagKind, IntegerKind, NameKind, NumberKind, TextKind
from .problems import SettingsError
from .sections import SectionReader, make_option

__all__ = ["ColdSettings", "ServingSettings", "StoreSettings", "read_serving"]

PORT = IntegerKind(1, 65_535)


@frozen
class StoreSettings:
    """Where the platform's store is.

    Parameters
    ----------
    address : str
    lease_seconds : float
        How long a host that has gone silent stays registered.
    value_bytes : int
        Largest value that the store takes.
    """

    address = make_option(AddressKind())
    lease_seconds = make_option(NumberKind(1, 600, "seconds"), default=2.5)
    value_bytes = make_option(IntegerKind(1024, 1 << 30, "bytes"), default=1_000_000)


@frozen
class ColdSettings:
    """Most requests that a cold endpoint may get in any one second.

    Endpoints count as cold only where both bounds are given.

    Parameters
    ----------
    enabled : bool
        Whether requests to cold endpoints are limited.
    over : float or None
        Multiple of the rate that a cold endpoint takes.
    slack : float or None
        Requests beyond that.
    """

    enabled = make_option(FlagKind(), default=True)
    over = make_option(NumberKind(0.1, 1000), default=None)
    slack = make_option(NumberKind(0, 100_000, "requests"), default=None)

    @property
    def is_bounded(self):
        """Whether requests to cold endpoints are limited."""
        return self.enabled and self.over is not None and self.slack is not None


@frozen
class ServingSettings:
    """One host.

    Parameters
    ----------
    name, data_centre : str
    address : str
        IP number that it listens on.
    first_report_port, last_report_port : int
        Ports, of which one is used for other hosts' reports.
    callers_address, readiness_address : str
        Where callers and the balancer's question whether it is ready come in;
        empty on a host that serves no callers.
    metrics_port : int
    runs_batch : bool
        Whether it runs items of batch jobs.
    drain_seconds : float
        Time between SIGTERM and the end of the process.
    status_seconds : float
        How long a batch job can be read after it was submitted.
    checks_evacuations : bool
        Whether data centres that operators evacuate get no work.
    checks_regions : bool
        Whether section ``[regions]`` of the file is used. Otherwise no region is
        known, and what is restricted to regions runs nowhere.
    shared_reads : bool
        Whether the host takes turns with the others in reading the store; else it
        reads as soon as a copy is due, which costs more calls the more hosts do so.
    forecasts_demand : bool
        Whether items of batch jobs start only in slots that online requests are
        expected to leave free for long enough, or in any free slot.
    waits_for_budget : bool
        Whether a request waits for budget of its account that is due soon.
    compares_rates : bool
        Whether hosts share how fast endpoints are, and let fewer requests queue at
        those that are slower over minutes.
    way_seconds : float or None
        What the way to another data centre costs: requests stay in this one while
        they wait no longer than this beyond the wait elsewhere. None for a fixed load
        up to which this data centre's endpoints are preferred.
    store : StoreSettings
    cold : ColdSettings
    regions : dict of str to str
        Region of each data centre.
    """

    name = make_option(NameKind())
    data_centre = make_option(NameKind())
    address = make_option(AddressKind(with_port=False))
    first_report_port = make_option(PORT)
    last_report_port = make_option(PORT)
    callers_address = make_option(TextKind(), default="")
    readiness_address = make_option(TextKind(), default="")
    metrics_port = make_option(PORT, default=9464)
    runs_batch = make_option(FlagKind(), default=False)
    drain_seconds = make_option(NumberKind(0.1, 600, "seconds"), default=8.0)
    status_seconds = make_option(NumberKind(1, 864_000, "seconds"), default=3600.0)
    checks_evacuations = make_option(FlagKind(), default=True)
    checks_regions = make_option(FlagKind(), default=True)
    shared_reads = make_option(FlagKind(), default=True)
    forecasts_demand = make_option(FlagKind(), default=True)
    waits_for_budget = make_option(FlagKind(), default=True)
    compares_rates = make_option(FlagKind(), default=False)
    way_seconds = make_option(NumberKind(0, 60, "seconds"), default=None)
    store = field(default=None)
    cold = field(factory=ColdSettings)
    regions = field(factory=dict)

    @property
    def serves_callers(self):
        """Whether callers come here."""
        return bool(self.callers_address)


SECTIONS = {
    "host": ServingSettings,
    "store": StoreSettings,
    "cold": ColdSettings,
    "regions": dict,
}


def read_serving(path):
    """Read a host's file.

    Raises
    ------
    SettingsError
        With every mistake in it.
    """
    file = str(path)
    problems = []
    reader = SectionReader(problems)
    sections = reader.read_file(path, SECTIONS)
    store = reader.read("store", sections.get("store", {}), StoreSettings, file)
    cold = reader.read("cold", sections.get("cold", {}), ColdSettings, file)
    regions = reader.read_mapping("regions", sections.get("regions", {}), TextKind())
    host = reader.read(
        "host",
        sections.get("host", {}),
        ServingSettings,
        file,
        store=store,
        cold=cold,
        regions=regions,
    )
    if problems:
        raise SettingsError(problems)
    return host
