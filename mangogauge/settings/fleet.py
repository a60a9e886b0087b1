"""Settings that the whole fleet shares, with each data centre's overlay."""

import enum

from attrs import field, frozen

from .kinds import (
    AddressKind,
    ChoiceKind,
    FlagKind,
    IntegerKind,
    ListKind,
    MethodKind,
    ModelNameKind,
    NameKind,
    NumberKind,
    PathKind,
    TextKind,
)
from .sections import make_option

__all__ = [
    "BatchSettings",
    "ClientAccount",
    "DataCentre",
    "Endpoint",
    "EndpointKind",
    "FleetSettings",
    "KeySettings",
    "IdempotencySettings",
    "LimitSettings",
    "Model",
    "Objective",
    "ObjectiveKind",
    "RoomKind",
    "Route",
    "RouteKind",
]

RATE_LIMIT = 1_000_000
BURST_LIMIT = 10_000_000
DAY_SECONDS = 86_400


class RouteKind(enum.Enum):
    """What stands behind a route."""

    MODEL = "model"
    SERVICE = "service"


class RoomKind(enum.Enum):
    """How a host decides how many batch items an endpoint may run."""

    SPARE = "spare"
    FIXED = "fixed"


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
    methods = make_option(ListKind(MethodKind()), default=())
    repeatable = make_option(ListKind(MethodKind()), default=("GET", "HEAD", "OPTIONS"))
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
    models = make_option(ListKind(ModelNameKind()), default=())
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
class KeySettings:
    """How callers' keys are handled.

    Parameters
    ----------
    trust_seconds : float
        For how long a host that hears neither from the platform nor from a
        peer that does goes on trusting the keys that it knows.
    """

    trust_seconds = make_option(NumberKind(10, 30 * DAY_SECONDS, "seconds"), 14_400.0)


@frozen
class BatchSettings:
    """How batch jobs are kept and run.

    Parameters
    ----------
    chunk_items : int
        Largest number of items in one chunk.
    concurrency : int
        Largest number of items that one host runs at once.
    room : RoomKind
        Whether batch work gives way to online requests, or not.
    fixed_items : int
        Items that a host runs at each endpoint with fixed room.
    spare_share : float
        Part of an endpoint's slots that batch and online work fill together.
    load_lag : float
        Age of endpoints' load reports in seconds.
    lease_seconds : float
        How long a host's claims outlive it.
    poll_seconds : float
        Mean time between a host's looks for open work.
    commit_seconds : float
        Longest time that a result waits to be committed with others.
    attempts : int
        Failed runs after which an item ends in an error.
    held_items : int
        Results that a host holds while the platform is away.
    outage_seconds : float
        How long a host that neither reaches the platform nor a peer that
        does goes on starting items.
    backoff_seconds : float
        Mean pause before an item is tried again.
    retention_seconds : float
        How long files, jobs and results are kept.
    upload_seconds : float
        Longest time that an upload may take.
    """

    chunk_items = make_option(IntegerKind(1, 10_000, "items"), default=500)
    concurrency = make_option(IntegerKind(1, 10_000, "items"), default=64)
    room = make_option(ChoiceKind(RoomKind), default=RoomKind.SPARE)
    fixed_items = make_option(IntegerKind(1, 10_000, "items"), default=8)
    spare_share = make_option(NumberKind(0, 1), default=0.9)
    load_lag = make_option(NumberKind(0, 60, "seconds"), default=1.0)
    lease_seconds = make_option(NumberKind(1, 600, "seconds"), default=15.0)
    poll_seconds = make_option(NumberKind(0.05, 60, "seconds"), default=1.0)
    commit_seconds = make_option(NumberKind(0.05, 60, "seconds"), default=5.0)
    attempts = make_option(IntegerKind(1, 100, "runs"), default=3)
    held_items = make_option(IntegerKind(1, 1_000_000, "items"), default=20_000)
    outage_seconds = make_option(NumberKind(0, DAY_SECONDS, "seconds"), default=120.0)
    backoff_seconds = make_option(NumberKind(0.01, 600, "seconds"), default=1.0)
    retention_seconds = make_option(
        NumberKind(1, 400 * DAY_SECONDS, "seconds"), default=30.0 * DAY_SECONDS
    )
    upload_seconds = make_option(NumberKind(1, DAY_SECONDS, "seconds"), default=3600.0)


@frozen
class IdempotencySettings:
    """How calls with an ``Idempotency-Key`` are kept.

    Parameters
    ----------
    group_seconds : float
        Least time between the writes of one data centre's writer.
    retention_seconds : float
        How long an answer is kept for resends.
    """

    group_seconds = make_option(NumberKind(0, 5, "seconds"), default=0.1)
    retention_seconds = make_option(
        NumberKind(1, 400 * DAY_SECONDS, "seconds"), default=float(DAY_SECONDS)
    )


class ObjectiveKind(enum.Enum):
    """What an objective is about."""

    AVAILABILITY = "availability"
    WHOLE_ANSWER = "whole_answer"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    BATCH_DUE = "batch_due"
    REFUSED_WITHIN_RATE = "refused_within_rate"


@frozen
class Objective:
    """A service level that the operators hold the system to.

    Parameters
    ----------
    name : str
    kind : ObjectiveKind
    target : float
        Part of the requests, gaps or jobs that must be good.
    threshold : float
        Seconds within which one counts as good, for kinds that are about time.
    route, account : str
        What it is about; empty for all.
    period_days : float
        Days over which the budget is counted.
    """

    name = field()
    kind = make_option(ChoiceKind(ObjectiveKind))
    target = make_option(NumberKind(0.5, 0.99999))
    threshold = make_option(NumberKind(0.001, DAY_SECONDS, "seconds"), default=1.0)
    route = make_option(TextKind(), default="")
    account = make_option(NameKind(), default="")
    period_days = make_option(NumberKind(0.01, 366, "days"), default=30.0)


@frozen
class FleetSettings:
    """All that is shared, as one data centre sees it.

    Parameters
    ----------
    version : int
        Version of the configuration; 0 if read from files.
    accounts, routes, models, endpoints, data_centres, objectives : dict
        By name.
    limits : LimitSettings
    keys : KeySettings
    batch : BatchSettings
    idempotency : IdempotencySettings
    """

    version = field(default=0)
    accounts = field(factory=dict)
    routes = field(factory=dict)
    models = field(factory=dict)
    endpoints = field(factory=dict)
    data_centres = field(factory=dict)
    objectives = field(factory=dict)
    limits = field(factory=LimitSettings)
    keys = field(factory=KeySettings)
    batch = field(factory=BatchSettings)
    idempotency = field(factory=IdempotencySettings)


NAMED_SECTIONS = {
    "account": ("accounts", ClientAccount),
    "route": ("routes", Route),
    "model": ("models", Model),
    "endpoint": ("endpoints", Endpoint),
    "data_centre": ("data_centres", DataCentre),
    "objective": ("objectives", Objective),
}
SINGLE_SECTIONS = {
    "limits": LimitSettings,
    "keys": KeySettings,
    "batch": BatchSettings,
    "idempotency": IdempotencySettings,
}
