"""A caller's request as received and as dispatched."""

from attrs import define, field, frozen

from ..placement.eligibility import ANYWHERE

__all__ = ["IncomingRequest", "OnlineCall"]


@frozen
class IncomingRequest:
    """The parsed fields of a caller's request, before admission.

    Parameters
    ----------
    request_id : str
        Empty if the caller sent none.
    host : str
        Requested host name.
    path : str
        Path without the query string.
    key : str
        The caller's API key; empty if none was sent.
    timeout : float or None
        Seconds that the caller will wait; None if not given.
    last_event : int or None
        Number of the last event that the caller received of an interrupted
        answer; None unless it asks to resume that answer.
    resumed_id : str
        Id of the request that brought the first event of the interrupted answer;
        empty if not given.
    headers : Headers
        Header fields that are forwarded to the endpoint.
    shared_parts : tuple of str
        Names of the parts of the prompt that other requests may share, in order.
    """

    request_id = field()
    host = field()
    path = field()
    key = field(default="")
    timeout = field(default=None)
    last_event = field(default=None)
    headers = field(default=None)
    shared_parts = field(default=())
    resumed_id = field(default="")


@define(eq=False)
class OnlineCall:
    """An admitted request.

    Parameters
    ----------
    request_id : str
    route : PrefixRoute
    account : str
        Client account; empty on routes that need no key.
    method, target : str
        Method and target of the request line, unchanged.
    headers : Headers
        Header fields that are forwarded to the endpoint.
    body : bytes
    received_at, deadline : float
        Elapsed time in seconds, by this host's clock.
    last_event : int or None
        Number of the last event that the caller has already received.
    priority : int
        Queueing priority; 0 is served first.
    shared_parts : tuple of str
        Names of the parts of the prompt that other requests may share, in order.
    resumed_id : str
        Id of the request that brought the first event of the answer that is to be
        resumed; empty if not given.
    origin : StreamOrigin or None
        What the endpoints have in common that may resume the answer; None until it
        has begun.
    beginning : StreamBeginning or None
        Where the answer has begun, while that isn't certain yet.
    scope : WorkScope
        Regions in which the call may run.
    """

    request_id = field()
    route = field()
    account = field()
    method = field()
    target = field()
    headers = field()
    body = field()
    received_at = field()
    deadline = field()
    last_event = field(default=None)
    priority = field(default=0)
    shared_parts = field(default=())
    resumed_id = field(default="")
    origin = field(default=None)
    beginning = field(default=None)
    scope = field(default=ANYWHERE)

    @property
    def repeatable(self):
        """Whether the call may run again after another endpoint may have run it."""
        return self.route.repeatable
