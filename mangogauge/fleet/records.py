"""Records of routes, client accounts, endpoints and the configuration."""

import enum

from attrs import field, frozen

__all__ = [
    "Account",
    "Configuration",
    "FleetEndpoint",
    "PrefixRoute",
    "RequestSemantics",
    "Service",
    "ServiceShare",
]


class RequestSemantics(enum.Enum):
    """How a route's requests may be run and retried."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


@frozen
class Service:
    """A service, as far as the operators' configuration describes its endpoints.

    Parameters
    ----------
    name : str
    cold_seconds : float
        Time for which an endpoint that has just started is cold; 0 if it isn't.
    cold_rate : float
        Requests per second that a cold endpoint takes; 0 if that isn't limited.
    """

    name = field()
    cold_seconds = field(default=0.0)
    cold_rate = field(default=0.0)


@frozen
class ServiceShare:
    """A service behind a route and its share of the route's requests.

    Parameters
    ----------
    service : str
    weight : float
        Relative to the weights of the route's other services.
    """

    service = field()
    weight = field(default=1.0)


@frozen
class PrefixRoute:
    """Route of the requests to one host name below one path.

    Parameters
    ----------
    name : str
    host : str
        Requested host name, in lower case.
    prefix : str
        Start of the path; begins and ends with a slash.
    semantics : RequestSemantics
    shares : tuple of ServiceShare
    timeout : float
        Longest time in seconds until a request is answered.
    objective : float
        Latency objective of an answer, or of its first event, in seconds.
    gap_objective : float
        Objective of the longest pause between two events, in seconds.
    attempt_limit : int
        Largest number of endpoints that may run one request.
    priority : int
        Queueing priority of its requests; 0 is served first.
    open : bool
        Whether its requests need no API key.
    resumable : bool
        Whether another endpoint can resume an interrupted stream.
    due_after : float
        Seconds from a batch job's arrival within which its results are due.
    abandon_after : float
        Seconds from a batch job's arrival after which its items may be abandoned.
    waiting_token_limit : int
        Most tokens of one client account that may wait on this route; 0 for no
        limit.
    allowed_regions : frozenset of str, or None
        Regions in which its requests may run; None for any.
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
    allowed_regions = field(default=None)

    @property
    def repeatable(self):
        """Whether a request may run again after another endpoint may have run it."""
        return self.semantics is RequestSemantics.REPEATABLE or self.resumable

    @property
    def services(self):
        """Names of the services of the route."""
        return tuple(share.service for share in self.shares)


@frozen
class Account:
    """A client account and its limits.

    Parameters
    ----------
    name : str
    keys : frozenset of str
        API keys.
    rate : float
        Requests per second over all hosts; 0 for no limit.
    burst : float
        Requests that may arrive at once.
    priority : int or None
        Queueing priority of its requests, which overrides the route's; None to use
        the route's.
    allowed_regions : frozenset of str, or None
        Regions in which its requests may run; None for any.
    """

    name = field()
    keys = field(converter=frozenset)
    rate = field(default=0.0)
    burst = field(default=0.0)
    priority = field(default=None)
    allowed_regions = field(default=None)


@frozen
class FleetEndpoint:
    """One endpoint, as it registered itself.

    Parameters
    ----------
    name : str
        Its identity; another endpoint may get the same address later.
    service : str
    address : str
        ``host:port``.
    data_centre : str
    slots : int
        Number of requests that it runs concurrently.
    leaving : bool
        Whether it accepts no new requests.
    start_time_ms : int
        Start of its process, in milliseconds since the Unix epoch; 0 if unknown.
    software : str
        Version of its software; empty if unknown.
    cold_left : float or None
        Seconds for which it stays cold, from when its entry was written; 0 if it
        isn't cold, None if the entry doesn't say.
    cold_revision : int
        Revision of the entry that says that it is cold; 0 if it isn't.
    """

    name = field()
    service = field()
    address = field()
    data_centre = field(default="")
    slots = field(default=1)
    leaving = field(default=False)
    start_time_ms = field(default=0)
    software = field(default="")
    # Hosts of builds without these fields compare digests of this text.
    cold_left = field(default=None, repr=False)
    cold_revision = field(default=0, repr=False)


@frozen
class Configuration:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
    routes : tuple of PrefixRoute
    accounts : tuple of Account
        Empty if requests need no key.
    header_bytes, body_bytes : int
        Largest request head and body of a caller, in bytes.
    header_timeout : float
        Longest time in seconds to receive a request's head.
    idle_timeout : float
        Seconds after which an idle connection of a caller may be closed.
    services : tuple of Service
    """

    version = field()
    routes = field(converter=tuple)
    accounts = field(default=(), converter=tuple)
    header_bytes = field(default=32_768)
    body_bytes = field(default=8_388_608)
    header_timeout = field(default=30.0)
    idle_timeout = field(default=60.0)
    services = field(default=(), converter=tuple)
