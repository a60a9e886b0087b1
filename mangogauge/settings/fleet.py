"""Settings that the whole fleet shares, with each data centre's overlay."""

import enum

from attrs import field, frozen

from .kinds import (
    AddressKind,
    ChoiceKind,
    FlagKind,
    IntegerKind,
    ListKind,
    NameKind,
    NumberKind,
    PathKind,
    TextKind,
)
from .problems import SettingsError
from .sections import SectionReader, make_option, parse_text

__all__ = [
    "ClientAccount",
    "DataCentre",
    "Endpoint",
    "EndpointKind",
    "FleetSettings",
    "LimitSettings",
    "Model",
    "Route",
    "RouteKind",
    "read_fleet",
]

BASE_FILE = "base.ini"
RATE_LIMIT = 1_000_000
BURST_LIMIT = 10_000_000
DAY_SECONDS = 86_400


class RouteKind(enum.Enum):
    """What stands behind a route."""

    MODEL = "model"
    SERVICE = "service"


class EndpointKind(enum.Enum):
    """What an endpoint is."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen
class ClientAccount:
    """A client account and what it is entitled to, over the whole fleet.

    Parameters
    ----------
    name : str
    rate : float
        Requests a second.
    burst : float
        Requests that may come at once.
    weight : float
        Share of the service relative to other accounts when there is not
        enough for all.
    """

    name = field()
    rate = make_option(NumberKind(0, RATE_LIMIT, "requests a second"))
    burst = make_option(NumberKind(1, BURST_LIMIT, "requests"))
    weight = make_option(NumberKind(0.001, 1000), default=1.0)


@frozen
class Route:
    """A path that callers may use.

    Parameters
    ----------
    name : str
    path : str
        Path, or with a trailing ``*`` a prefix.
    kind : RouteKind
    endpoints : tuple of str
        For a service route, the endpoints behind it.
    accounts : tuple of str
        Client accounts that may use it; empty for all.
    open : bool
        Whether it needs no key.
    methods : tuple of str
        Methods that are passed on; empty for all.
    repeatable : tuple of str
        Methods whose calls may be repeated.
    deadline : float
        Seconds a request may take if the caller does not say.
    """

    name = field()
    path = make_option(PathKind())
    kind = make_option(ChoiceKind(RouteKind))
    endpoints = make_option(ListKind(NameKind()), default=())
    accounts = make_option(ListKind(NameKind()), default=())
    open = make_option(FlagKind(), default=False)
    methods = make_option(ListKind(TextKind()), default=())
    repeatable = make_option(ListKind(TextKind()), default=("GET", "HEAD", "OPTIONS"))
    deadline = make_option(NumberKind(0.01, DAY_SECONDS, "seconds"), default=60.0)

    def matches(self, path):
        """Return whether `path` belongs to this route."""
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@frozen
class Model:
    """A model that callers may name.

    Parameters
    ----------
    name : str
    accounts : tuple of str
        Client accounts that may use it; empty for all.
    """

    name = field()
    accounts = make_option(ListKind(NameKind()), default=())


@frozen
class Endpoint:
    """A back end: a model engine or a plain service.

    Parameters
    ----------
    name : str
    address : str
        ``host:port``.
    data_centre : str
    kind : EndpointKind
    models : tuple of str
        Models that an engine serves.
    slots : int
        Requests that it runs at once without slowing unduly.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    resumes : bool
        Whether it resumes a stream that another endpoint began.
    """

    name = field()
    address = make_option(AddressKind())
    data_centre = make_option(NameKind())
    kind = make_option(ChoiceKind(EndpointKind))
    models = make_option(ListKind(NameKind()), default=())
    slots = make_option(IntegerKind(1, 100_000, "requests"), default=32)
    checks_fencing = make_option(FlagKind(), default=True)
    resumes = make_option(FlagKind(), default=True)


@frozen
class DataCentre:
    """A data centre.

    Parameters
    ----------
    name : str
    weight : float
        Its part of every client account's budget, relative to the others.
    """

    name = field()
    weight = make_option(NumberKind(0.001, 1000), default=1.0)


@frozen
class LimitSettings:
    """How budgets are shared out.

    Parameters
    ----------
    durable_share : float
        Part of a host's budget that it may use while the platform is away.
    outage_horizon : float
        Seconds for which a host may go on so.
    loan_seconds : float
        How long budget that one host lends another is good for, at most.
    lease_seconds : int
        Seconds after which the platform counts a silent host's lease as lapsed.
    slots : int
        Slots that a data centre's hosts divide among themselves, in pairs; an
        account's budget there lies in one pair. Taken when the platform's
        record is first made.

    Notes
    -----
    The first four are put in force for a slot when a host claims it.
    """

    durable_share = make_option(NumberKind(0, 1), default=0.8)
    outage_horizon = make_option(NumberKind(1, DAY_SECONDS, "seconds"), default=5400.0)
    loan_seconds = make_option(NumberKind(0.2, 60, "seconds"), default=5.0)
    lease_seconds = make_option(IntegerKind(1, 300, "seconds"), default=20)
    slots = make_option(IntegerKind(2, 1024), default=16)


@frozen
class FleetSettings:
    """All that is shared, as one data centre sees it.

    Parameters
    ----------
    version : int
        Version of the configuration; 0 if read from files.
    accounts, routes, models, endpoints, data_centres : dict
        By name.
    limits : LimitSettings
    """

    version = field(default=0)
    accounts = field(factory=dict)
    routes = field(factory=dict)
    models = field(factory=dict)
    endpoints = field(factory=dict)
    data_centres = field(factory=dict)
    limits = field(factory=LimitSettings)


NAMED_SECTIONS = {
    "account": ("accounts", ClientAccount),
    "route": ("routes", Route),
    "model": ("models", Model),
    "endpoint": ("endpoints", Endpoint),
    "data_centre": ("data_centres", DataCentre),
}
SINGLE_SECTIONS = {"limits": LimitSettings}


def read_fleet(documents, data_centre, version=0):
    """Read base and overlay into settings.

    Parameters
    ----------
    documents : ConfigurationDocuments
    data_centre : str
        Whose overlay applies.
    version : int, optional

    Returns
    -------
    FleetSettings

    Raises
    ------
    SettingsError
        With every mistake in the base and in all overlays.
    """
    problems = []
    base = parse_text(documents.base, BASE_FILE, problems)
    overlays = {
        name: parse_text(text, f"{name}.ini", problems)
        for name, text in documents.overlays.items()
    }
    read = {
        name: _read_merged(base, overlay, f"{name}.ini", problems)
        for name, overlay in sorted(overlays.items())
    }
    settings = read.get(data_centre)
    if settings is None or not read:
        settings = _read_merged(base, {}, BASE_FILE, problems)
    if problems:
        raise SettingsError(dict.fromkeys(problems))
    return _with_version(settings, version)


def _with_version(settings, version):
    values = {
        name: getattr(settings, name)
        for name in ("accounts", "routes", "models", "endpoints", "data_centres")
    }
    return FleetSettings(version=version, limits=settings.limits, **values)


def _read_merged(base, overlay, file, problems):
    groups = {plural: {} for plural, _ in NAMED_SECTIONS.values()}
    singles = {}
    for section in [*base, *(name for name in overlay if name not in base)]:
        options = {**base.get(section, {}), **overlay.get(section, {})}
        reader = SectionReader(file if section in overlay else BASE_FILE, problems)
        kind, _, name = section.partition(" ")
        if kind in NAMED_SECTIONS:
            _read_named(reader, section, name.strip(), options, groups)
        elif section in SINGLE_SECTIONS:
            singles[section] = reader.read(section, options, SINGLE_SECTIONS[section])
        else:
            reader.check_section(section, [*NAMED_SECTIONS, *SINGLE_SECTIONS])
    settings = FleetSettings(
        limits=singles.get("limits") or LimitSettings(),
        **groups,
    )
    _check_references(settings, SectionReader(file, problems))
    return settings


def _read_named(reader, section, name, options, groups):
    kind = section.partition(" ")[0]
    plural, cls = NAMED_SECTIONS[kind]
    try:
        NameKind().read(name)
    except ValueError:
        reader.note(section, "", name, f"[{kind} NAME], NAME {NameKind.allowed}")
        return
    value = reader.read(section, options, cls, name=name)
    if value is not None:
        groups[plural][name] = value


def _check_references(settings, reader):
    for route in settings.routes.values():
        section = f"route {route.name}"
        _check_names(reader, section, "accounts", route.accounts, settings.accounts)
        _check_names(reader, section, "endpoints", route.endpoints, settings.endpoints)
    for model in settings.models.values():
        section = f"model {model.name}"
        _check_names(reader, section, "accounts", model.accounts, settings.accounts)
    for endpoint in settings.endpoints.values():
        section = f"endpoint {endpoint.name}"
        _check_names(reader, section, "models", endpoint.models, settings.models)
        _check_names(
            reader,
            section,
            "data_centre",
            (endpoint.data_centre,),
            settings.data_centres,
        )


def _check_names(reader, section, option, names, known):
    for name in names:
        if name not in known:
            allowed = "a name that has a section: " + (", ".join(sorted(known)) or "-")
            reader.note(section, option, name, allowed)
