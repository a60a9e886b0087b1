"""One sending of a request to one endpoint, up to the head of its answer."""

import curio
from attrs import field, frozen

from ..http import HTTPConnectError, HTTPError
from ..routing import Progress
from ..trust import AttemptObserver
from .dialect import AnswerKind, EndpointRequest

__all__ = ["AttemptFailure", "EndpointClient", "BufferedAnswer"]

# How lately a connection must have been used to carry a request that may run
# once only: on one that has gone dead meanwhile, its outcome would be unknown.
MAX_IDLE_SECONDS = 0.25
# Body of a failure that is read whole, to be passed on if nothing better comes.
BUFFERED_BODY_BYTES = 262_144
# How long it may take to come.
BUFFER_TIMEOUT_SECONDS = 1.0

# What an answer that is no success tells of how far the request got.
PROGRESS_BY_KIND = {
    AnswerKind.NOT_RUN: Progress.NOT_RUN,
    AnswerKind.MISPLACED: Progress.NOT_RUN,
    AnswerKind.FAILURE: Progress.RUN,
    AnswerKind.EXPIRED: Progress.RUN,
    AnswerKind.REJECTED: Progress.RUN,
    AnswerKind.IMPOSSIBLE: Progress.RUN,
    AnswerKind.GARBLED: Progress.MAYBE_RUN,
}

# Answers that the endpoint itself, not the request, is to blame for.
ENDPOINT_FAULT_KINDS = frozenset({AnswerKind.GARBLED, AnswerKind.MISPLACED})


@frozen
class BufferedAnswer:
    """An endpoint's whole answer that is no success."""

    status = field()
    headers = field()
    body = field()


# What an answer tells of the endpoint's soundness; others tell nothing.
SENDING_ENDS_BY_KIND = {
    AnswerKind.FAILURE: AttemptObserver.end_failed,
    AnswerKind.GARBLED: AttemptObserver.end_failed,
    AnswerKind.NOT_RUN: AttemptObserver.end_refused,
}


class AttemptFailure(Exception):
    """An attempt failed.

    Parameters
    ----------
    progress : Progress
    reason : str
    endpoint_at_fault : bool, optional
        Whether the endpoint is at fault, so that it is left alone for a while.
    kind : AnswerKind, optional
        What the endpoint answered, if it did.
    answer : BufferedAnswer, optional
    unreachable : bool, optional
        Whether no connection to the endpoint could be made.
    connection_broken : bool, optional
        Whether the connection broke while the endpoint may have run the request.
    """

    def __init__(
        self,
        progress,
        reason,
        endpoint_at_fault=False,
        kind=None,
        answer=None,
        unreachable=False,
        connection_broken=False,
    ):
        super().__init__(reason)
        self.progress = progress
        self.reason = reason
        self.endpoint_at_fault = endpoint_at_fault
        self.unreachable = unreachable
        self.connection_broken = connection_broken
        self.kind = kind
        self.answer = answer

    def end_attempt(self, sending):
        """Tell an `AttemptObserver` what the attempt showed of its endpoint."""
        if self.kind is None and self.endpoint_at_fault:
            sending.end_interrupted()
        else:
            SENDING_ENDS_BY_KIND.get(self.kind, AttemptObserver.end)(sending)

    def report_to_health(self, health, endpoint):
        """Tell an `EndpointHealth` what the attempt showed of its endpoint."""
        if self.unreachable:
            health.note_unreachable(endpoint.name)
        elif self.endpoint_at_fault:
            health.note_failure(endpoint.name)


class EndpointClient:
    """Sends requests to endpoints.

    Parameters
    ----------
    pool : ClientPool
    dialect : EndpointDialect
    directory : EndpointDirectory
        Told of endpoints whose answers say that they leave.
    clock : Clock
    """

    def __init__(self, pool, dialect, directory, clock):
        self._pool = pool
        self._dialect = dialect
        self._directory = directory
        self._clock = clock

    async def send(self, call, endpoint, last_event, response_timeout, is_resend=False):
        """Send `call` and return a successful `ClientResponse`, its body unread.

        Parameters
        ----------
        call : OnlineCall
        endpoint : FleetEndpoint
        last_event : int or None
            Number of the event after which the answer is to go on.
        response_timeout : float
            How long the endpoint may take to begin its answer.
        is_resend : bool, optional
            Whether the call was sent to this endpoint before. A late second copy
            of the earlier answer bears the same id, so it must not meet the call
            on a connection that both use.

        Raises
        ------
        AttemptFailure
            If there is no answer, or no success.
        """
        endpoint_request = EndpointRequest(
            call.request_id,
            endpoint,
            call.account,
            call.headers,
            call.deadline - self._clock.read_elapsed(),
            last_event,
        )
        try:
            async with curio.timeout_after(response_timeout):
                response = await self._request(call, endpoint_request, is_resend)
        except HTTPConnectError as error:
            raise AttemptFailure(
                Progress.NOT_SENT, str(error), unreachable=True
            ) from error
        except HTTPError as error:
            raise AttemptFailure(
                Progress.MAYBE_RUN,
                str(error),
                endpoint_at_fault=True,
                connection_broken=True,
            ) from error
        except curio.TaskTimeout:
            reason = f"no answer within {response_timeout:.3f} s"
            raise AttemptFailure(
                Progress.MAYBE_RUN, reason, endpoint_at_fault=True
            ) from None
        kind = self._dialect.classify_answer(response.status, response.headers)
        if kind is AnswerKind.SUCCESS:
            return response
        raise await self._make_failure(kind, response)

    async def _request(self, call, endpoint_request, is_resend):
        return await self._pool.request(
            endpoint_request.endpoint.address,
            call.method,
            call.target,
            self._dialect.make_headers(endpoint_request),
            call.body,
            fresh=is_resend,
            idle_limit=None if call.repeatable else MAX_IDLE_SECONDS,
            is_answer=lambda fields: self._check_head(endpoint_request, fields),
        )

    def _check_head(self, endpoint_request, fields):
        """Return whether a head answers the request; note if its endpoint leaves."""
        if self._dialect.announces_leaving(fields):
            self._directory.note_leaving(endpoint_request.endpoint)
        return self._dialect.is_answer(endpoint_request.request_id, fields)

    async def _make_failure(self, kind, response):
        """Read an answer that is no success, as far as it is worth it."""
        reason = f"{kind.value}: status {response.status}"
        answer = None
        endpoint_at_fault = kind in ENDPOINT_FAULT_KINDS
        try:
            # What isn't an endpoint's answer may never end, and nobody wants it.
            if kind is not AnswerKind.GARBLED:
                async with curio.timeout_after(BUFFER_TIMEOUT_SECONDS):
                    body = await response.read(BUFFERED_BODY_BYTES)
                answer = BufferedAnswer(response.status, response.headers, body)
        except (HTTPError, curio.TaskTimeout) as error:
            reason = f"{reason}, body not kept: {error or repr(error)}"
            endpoint_at_fault = True
        finally:
            await response.close()
        return AttemptFailure(
            PROGRESS_BY_KIND[kind], reason, endpoint_at_fault, kind, answer
        )
