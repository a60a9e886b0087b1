"""A caller's request, as it came and as it is run."""

from attrs import define, field, frozen

__all__ = ["IncomingRequest", "OnlineCall"]


@frozen
class IncomingRequest:
    """What a caller's request says, before it has been judged.

    Parameters
    ----------
    request_id : str
        Empty if the caller gave none.
    host : str
        Host name that was asked for.
    path : str
        Path without its query.
    key : str
        The caller's key; empty if there is none.
    timeout : float or None
        Seconds that the caller will wait; None if it doesn't say.
    last_event : int or None
        Number of the last event of an earlier answer that the caller has; None
        unless it asks for the rest.
    headers : Headers
        Fields that go on to an endpoint.
    """

    request_id = field()
    host = field()
    path = field()
    key = field(default="")
    timeout = field(default=None)
    last_event = field(default=None)
    headers = field(default=None)


@define(eq=False)
class OnlineCall:
    """A request that has been admitted.

    Parameters
    ----------
    request_id : str
    route : PrefixRoute
    account : str
        Client account; empty on routes open to all.
    method, target : str
        Request line, unchanged.
    headers : Headers
        Fields that go on to the endpoint.
    body : bytes
    received_at, deadline : float
        Elapsed time, by this host's clock.
    last_event : int or None
        Number of the last event that the caller already has.
    priority : int
        Its rank; 0 goes first.
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

    @property
    def repeatable(self):
        """Whether an endpoint may run it although another may have."""
        return self.route.repeatable
