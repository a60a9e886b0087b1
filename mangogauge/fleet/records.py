"""Routes, client accounts and endpoints, as a host uses them."""

import enum

from attrs import field, frozen

__all__ = [
    "Account",
    "Configuration",
    "FleetEndpoint",
    "PrefixRoute",
    "RequestSemantics",
    "ServiceShare",
]


class RequestSemantics(enum.Enum):
    """What may be done with a route's requests."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


@frozen
class ServiceShare:
    """A service behind a route, and its part of the route's requests.

    Parameters
    ----------
    service : str
    weight : float
    """

    service = field()
    weight = field(default=1.0)


@frozen
class PrefixRoute:
    """Requests to one host name below one path.

    Parameters
    ----------
    name : str
    host : str
        Host name that callers ask for, in lower case.
    prefix : str
        Start of the path; begins and ends with a slash.
    semantics : RequestSemantics
    shares : tuple of ServiceShare
    timeout : float
        Longest time in seconds that a caller is kept waiting.
    objective : float
        Seconds within which an answer, or its first event, should come.
    gap_objective : float
        Longest pause between two events, in seconds.
    attempt_limit : int
        Most endpoints that may run one request.
    priority : int
        Rank of its requests; 0 goes first.
    open : bool
        Whether it needs no key.
    resumable : bool
        Whether another endpoint may go on with a stream that broke off.
    due_after : float
        Seconds from a batch job's arrival within which its results are due.
    abandon_after : float
        Seconds from a batch job's arrival after which items may be given up.
    waiting_token_limit : int
        Most tokens of one client account that may wait here; 0 for no limit.
    """

    name = field()
    host = field()
    prefix = field()
    semantics = field()
    shares = field(converter=tuple)
    timeout = field(default=60.0)
    objective = field(default=1.0)
    gap_objective = field(default=1.0)
    attempt_limit = field(default=1)
    priority = field(default=0)
    open = field(default=False)
    resumable = field(default=False)
    due_after = field(default=60.0)
    abandon_after = field(default=600.0)
    waiting_token_limit = field(default=0)

    @property
    def repeatable(self):
        """Whether an endpoint may run a request that another may have run."""
        return self.semantics is RequestSemantics.REPEATABLE or self.resumable

    @property
    def services(self):
        """Names of the services that it leads to."""
        return tuple(share.service for share in self.shares)


@frozen
class Account:
    """A client account and what it may ask for.

    Parameters
    ----------
    name : str
    keys : frozenset of str
    rate : float
        Requests a second over all hosts; 0 for no limit.
    burst : float
        Requests that may come at once.
    priority : int or None
        Rank of its requests, which goes before the route's; None for none.
    """

    name = field()
    keys = field(converter=frozenset)
    rate = field(default=0.0)
    burst = field(default=0.0)
    priority = field(default=None)


@frozen
class FleetEndpoint:
    """One endpoint, as it announced itself.

    Parameters
    ----------
    name : str
        Its identity; another one may get the same address later.
    service : str
    address : str
    data_centre : str
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it takes no new requests.
    start_time_ms : int
        Start of its process, in milliseconds since the Unix epoch; 0 if it
        does not say.
    """

    name = field()
    service = field()
    address = field()
    data_centre = field(default="")
    slots = field(default=1)
    leaving = field(default=False)
    start_time_ms = field(default=0)


@frozen
class Configuration:
    """Everything that operators have put in force.

    Parameters
    ----------
    version : int
    routes : tuple of PrefixRoute
    accounts : tuple of Account
        Empty if requests need no key.
    header_bytes, body_bytes : int
        Largest request head and body that a caller may send.
    header_timeout : float
        Seconds a caller has to send a request's head.
    idle_timeout : float
        Seconds after which an idle connection of a caller may be closed.
    """

    version = field()
    routes = field(converter=tuple)
    accounts = field(default=(), converter=tuple)
    header_bytes = field(default=32_768)
    body_bytes = field(default=8_388_608)
    header_timeout = field(default=30.0)
    idle_timeout = field(default=60.0)
