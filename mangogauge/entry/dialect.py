"""How requests and answers are written for callers and for endpoints.

The pipeline knows requests, endpoints and answers; what they look like on the
wire is an implementation of these classes.
"""

import enum
from abc import ABC, abstractmethod

from attrs import field, frozen

__all__ = ["AnswerKind", "CallerDialect", "EndpointDialect", "EndpointRequest"]


class AnswerKind(enum.Enum):
    """What the head of an endpoint's answer means."""

    SUCCESS = "success"
    # The endpoint states that it has not run the request and won't.
    NOT_RUN = "not run"
    # Another endpoint has this address now.
    MISPLACED = "misplaced"
    # The endpoint ran the request and failed.
    FAILURE = "failure"
    # The endpoint gave up for another reason than the request, such as time.
    EXPIRED = "expired"
    # The request itself is at fault: no endpoint would answer otherwise.
    REJECTED = "rejected"
    # The endpoint states that the request can never be done.
    IMPOSSIBLE = "impossible"
    # Nothing that an endpoint would answer.
    GARBLED = "garbled"


@frozen
class EndpointRequest:
    """One sending of a request, or an item, to one endpoint.

    Parameters
    ----------
    request_id : str
    endpoint : FleetEndpoint
    account : str
    headers : Headers
        Fields that the caller sent for the endpoint.
    seconds_left : float
    last_event : int or None
        Number of the event after which the answer is to go on.
    """

    request_id = field()
    endpoint = field()
    account = field()
    headers = field()
    seconds_left = field()
    last_event = field(default=None)


class CallerDialect(ABC):
    """Callers' side."""

    @abstractmethod
    def read_request(self, exchange):
        """Return the `IncomingRequest` of an `Exchange`; raise `Refusal`."""

    @abstractmethod
    async def refuse(self, exchange, refusal, request_id):
        """Answer an `Exchange` by a `Refusal`."""


class EndpointDialect(ABC):
    """Endpoints' side."""

    @abstractmethod
    def make_headers(self, request):
        """Return the `Headers` of an `EndpointRequest`."""

    @abstractmethod
    def is_answer(self, request_id, headers):
        """Return whether an answer's header fields belong to a request."""

    @abstractmethod
    def classify_answer(self, status, headers):
        """Return the `AnswerKind` of an answer's head."""

    @abstractmethod
    def announces_leaving(self, headers):
        """Return whether an answer's header fields say that its endpoint leaves."""
