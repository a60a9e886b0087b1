"""Interfaces that translate requests and answers to and from their wire formats.

The dispatch pipeline handles requests, endpoints and answers as objects; subclasses
of these classes define how they are encoded in HTTP.
"""

import enum
from abc import ABC, abstractmethod

from attrs import field, frozen

__all__ = ["AnswerKind", "CallerDialect", "EndpointDialect", "EndpointRequest"]


class AnswerKind(enum.Enum):
    """Classification of an endpoint's answer by its status and headers."""

    SUCCESS = "success"
    # The endpoint states that it has not run the request and will not run it.
    NOT_RUN = "not run"
    # Another endpoint now uses this address.
    MISPLACED = "misplaced"
    # The endpoint ran the request and failed.
    FAILURE = "failure"
    # The endpoint gave up for a reason unrelated to the request, such as a timeout.
    EXPIRED = "expired"
    # The request is invalid: every endpoint would answer the same.
    REJECTED = "rejected"
    # The endpoint states that the request can never succeed.
    IMPOSSIBLE = "impossible"
    # Not a valid answer of an endpoint.
    GARBLED = "garbled"


@frozen
class EndpointRequest:
    """One transmission of a request, or of a batch item, to one endpoint.

    Parameters
    ----------
    request_id : str
    endpoint : FleetEndpoint
    account : str
    headers : Headers
        The caller's header fields to forward.
    seconds_left : float
        Time until the deadline.
    last_event : int or None
        Number of the event after which the answer has to resume.
    """

    request_id = field()
    endpoint = field()
    account = field()
    headers = field()
    seconds_left = field()
    last_event = field(default=None)


class CallerDialect(ABC):
    """Wire format of the requests and answers exchanged with callers."""

    @abstractmethod
    def read_request(self, exchange):
        """Parse the request of an `Exchange`.

        Returns
        -------
        IncomingRequest

        Raises
        ------
        Refusal
            If the request is malformed.
        """

    @abstractmethod
    async def refuse(self, exchange, refusal, request_id):
        """Send a `Refusal` as the answer of an `Exchange`."""


class EndpointDialect(ABC):
    """Wire format of the requests and answers exchanged with endpoints."""

    @abstractmethod
    def make_headers(self, request):
        """Return the `Headers` that encode an `EndpointRequest`."""

    @abstractmethod
    def read_shared_parts(self, headers):
        """Return the names of the parts that a request's prompt may share, in order.

        Parameters
        ----------
        headers : Headers
            The caller's header fields.
        """

    @abstractmethod
    def is_answer(self, request_id, headers, is_first):
        """Return whether an answer's headers belong to the request of that id.

        Parameters
        ----------
        request_id : str
        headers : Headers
        is_first : bool
            Whether the connection has carried no answer before. Otherwise an answer
            that names no request may be a copy of an earlier one.
        """

    @abstractmethod
    def classify_answer(self, status, headers):
        """Return the `AnswerKind` for an answer's status and headers."""

    @abstractmethod
    def announces_leaving(self, headers):
        """Return whether an answer's headers announce that its endpoint is leaving."""

    @abstractmethod
    def read_limit(self, headers):
        """Return how many requests a second an answer's endpoint takes.

        Parameters
        ----------
        headers : Headers

        Returns
        -------
        float or None
            `NO_LIMIT` if the answer names no limit; None if what it names is no rate,
            so that it says nothing.
        """

    def read_cold(self, headers):
        """Return for how many seconds an answer's endpoint stays cold.

        Parameters
        ----------
        headers : Headers

        Returns
        -------
        float or None
            None if the answer doesn't say, or what it says is no time.
        """
        return None
