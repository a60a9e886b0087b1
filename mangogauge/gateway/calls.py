"""A call: one request of a caller or one item of a batch job, on its way."""

import enum

from attrs import define, field

from ..settings import EndpointKind, RouteKind

__all__ = ["Call", "Priority"]


class Priority(enum.Enum):
    """What a call may displace."""

    ONLINE = "online"
    BATCH = "batch"


@define(eq=False)
class Call:
    """What has to be run somewhere.

    Parameters
    ----------
    request_id : str
    account : str
        Client account; empty on routes open to all.
    route : Route
    method, target : str
    headers : Headers
        Without hop-by-hop fields and without the caller's key.
    body : bytes
    deadline : float
        Elapsed time, by this host's clock, after which an answer is no use.
    model : str
        Model that is asked for; empty on service routes.
    repeatable : bool
        Whether running it twice does no harm.
    priority : Priority
    streams : bool
        Whether the caller wants the answer as a stream.
    endpoint : str
        Name of the one endpoint that may run it; empty for any.
    idempotency_key : str
        The caller's ``Idempotency-Key``; empty for none.
    """

    request_id = field()
    account = field()
    route = field()
    method = field()
    target = field()
    headers = field()
    body = field()
    deadline = field()
    model = field(default="")
    repeatable = field(default=True)
    priority = field(default=Priority.ONLINE)
    streams = field(default=False)
    endpoint = field(default="")
    idempotency_key = field(default="")

    def suits(self, endpoint):
        """Return whether `endpoint` can run this call."""
        if self.endpoint and endpoint.name != self.endpoint:
            return False
        if self.route.kind is RouteKind.MODEL:
            return (
                endpoint.kind is EndpointKind.ENGINE and self.model in endpoint.models
            )
        return endpoint.name in self.route.endpoints
