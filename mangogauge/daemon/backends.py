"""What a host that serves a fleet talks to."""

from attrs import field, frozen

__all__ = ["ServingBackends"]


@frozen
class ServingBackends:
    """What a host talks to, and how.

    Parameters
    ----------
    transport : DetourTransport
        Carries the store's calls.
    store : Store
    limits : StoreLimits
        The store's.
    feed : ChangeFeed
    source : FleetSource
    callers : CallerDialect
    endpoints : EndpointDialect
    jobs : JobDialect
    metrics : ServingMetrics
    """

    transport = field()
    store = field()
    limits = field()
    feed = field()
    source = field()
    callers = field()
    endpoints = field()
    jobs = field()
    metrics = field()
