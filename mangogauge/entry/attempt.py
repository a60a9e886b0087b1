"""Attempts to send a request to one endpoint, up to the head of the answer."""

import curio
from attrs import field, frozen
from returns.result import Failure, Success

from ..fleet import RequestSemantics
from ..http import HTTPConnectError, HTTPError
from ..paths import NoPeerAllowedError
from ..routing import Progress
from ..trust import AttemptObserver
from .dialect import AnswerKind, EndpointRequest
from .endings import RunEndings

__all__ = ["AttemptFailure", "EndpointClient", "BufferedAnswer"]

# Longest idle time of a connection that may carry a non-repeatable request. If the
# endpoint closed the connection meanwhile, the outcome would be unknown.
MAX_IDLE_SECONDS = 0.25
# Largest body of an error answer that is buffered, to be relayed to the caller if no
# other attempt succeeds.
BUFFERED_BODY_BYTES = 262_144
# Longest time to receive that body.
BUFFER_TIMEOUT_SECONDS = 1.0

# How far the request got, by the kind of an unsuccessful answer.
PROGRESS_BY_KIND = {
    AnswerKind.NOT_RUN: Progress.NOT_RUN,
    AnswerKind.MISPLACED: Progress.NOT_RUN,
    AnswerKind.FAILURE: Progress.RUN,
    AnswerKind.EXPIRED: Progress.RUN,
    AnswerKind.REJECTED: Progress.RUN,
    AnswerKind.IMPOSSIBLE: Progress.RUN,
    AnswerKind.GARBLED: Progress.MAYBE_RUN,
}

# Answers that show a fault of the endpoint, not of the request.
ENDPOINT_FAULT_KINDS = frozenset({AnswerKind.GARBLED, AnswerKind.MISPLACED})

# Answers that aren't the endpoint's own, and say nothing of its limit.
FOREIGN_KINDS = ENDPOINT_FAULT_KINDS


@frozen
class BufferedAnswer:
    """An endpoint's unsuccessful answer, read completely."""

    status = field()
    headers = field()
    body = field()


# What an answer shows of the endpoint's health; other kinds show nothing.
OBSERVER_ENDS_BY_KIND = {
    AnswerKind.FAILURE: AttemptObserver.end_failed,
    AnswerKind.GARBLED: AttemptObserver.end_failed,
    AnswerKind.NOT_RUN: AttemptObserver.end_refused,
}


class AttemptFailure(Exception):
    """An attempt failed.

    Parameters
    ----------
    progress : Progress
        How far the request got.
    reason : str
        Description for the log.
    endpoint_at_fault : bool, optional
        Whether the endpoint is at fault, so that it is avoided for a while.
    kind : AnswerKind, optional
        Kind of the endpoint's answer; None if there was none.
    answer : BufferedAnswer, optional
        The answer, if its body could be read.
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

    def end_attempt(self, observer):
        """End an `AttemptObserver` by what the attempt showed of its endpoint."""
        if self.kind is None and self.endpoint_at_fault:
            observer.end_interrupted()
        else:
            OBSERVER_ENDS_BY_KIND.get(self.kind, AttemptObserver.end)(observer)

    def report_to_health(self, health, endpoint):
        """Report to an `EndpointHealth` what the attempt showed of its endpoint."""
        if self.unreachable:
            health.note_unreachable(endpoint.name)
        elif self.endpoint_at_fault:
            # Without an answer, the path may have failed in place of the endpoint.
            is_confirmed = self.kind is not None
            health.note_failure(endpoint.name, is_confirmed)


async def _capture(request):
    """Return the `Result` of a request: curio logs each task that ends by an error."""
    try:
        return Success(await request)
    except (HTTPError, AttemptFailure) as error:
        return Failure(error)


def _find_no_obstacle(endpoint, scope):
    """Default of `EndpointClient`'s `find_obstacle`."""


async def _ignore_limit(endpoint, rate, asked_at):
    """Default of `EndpointClient`'s `note_limit`."""


def _ignore_cold(endpoint, cold_left, asked_at):
    """Default of `EndpointClient`'s `note_cold`."""


class EndpointClient:
    """Sends requests to endpoints.

    Parameters
    ----------
    pool : EndpointPool
    dialect : EndpointDialect
    directory : EndpointDirectory
        Notified of endpoints whose answers announce that they are leaving.
    clock : Clock
    note_limit : async callable, optional
        Called with a `FleetEndpoint`, the requests a second that its answer says it
        takes, and the elapsed time at which the request was sent.
    find_obstacle : callable, optional
        Called with a `FleetEndpoint` and a `WorkScope` right before a request is sent;
        returns the `IneligibilityReason` for which it must not be, or None.
    note_cold : callable, optional
        Called in the same way with the seconds for which the endpoint stays cold, if
        its answer says that.
    """

    def __init__(
        self,
        pool,
        dialect,
        directory,
        clock,
        note_limit=_ignore_limit,
        find_obstacle=_find_no_obstacle,
        note_cold=_ignore_cold,
    ):
        self._pool = pool
        self._dialect = dialect
        self._directory = directory
        self._clock = clock
        self._endings = RunEndings()
        self._note_limit = note_limit
        self._find_obstacle = find_obstacle
        self._note_cold = note_cold

    async def send(
        self,
        call,
        endpoint,
        last_event,
        response_timeout,
        is_fresh=False,
        on_send=lambda: None,
        handover=None,
    ):
        """Send `call` and return a successful `ClientResponse` with its body unread.

        Parameters
        ----------
        call : OnlineCall
        endpoint : FleetEndpoint
        last_event : int or None
            Number of the event after which the answer has to resume.
        response_timeout : float
            Longest time in seconds until the head of the answer.
        is_fresh : bool, optional
            Whether to send it on a new connection. A call that was sent to this
            endpoint before must not share a connection with a late duplicate of the
            earlier answer, which has the same request id.
        on_send : callable, optional
            Called right before the first byte is sent: from then on the endpoint may
            run the call.
        handover : Handover, optional
            Decides when a silent endpoint is left, in place of `response_timeout`.

        Raises
        ------
        AttemptFailure
            If there is no answer, or an unsuccessful one.
        """

        if not await self._endings.wait(call.request_id):
            raise AttemptFailure(
                Progress.NOT_SENT, "the run before has not ended at its endpoint"
            )
        began_at = self._clock.read_elapsed()
        sent_at = None

        def make_headers():
            nonlocal sent_at
            # It may have become ineligible while a slot or a connection was awaited.
            self._check_eligible(call, endpoint)
            sent_at = self._clock.read_elapsed()
            on_send()
            return self._make_headers(call, endpoint, last_event)

        try:
            response = await self._await_response(
                self._request(call, endpoint, make_headers, is_fresh, handover),
                response_timeout,
                handover,
            )
        except HTTPConnectError as error:
            raise AttemptFailure(
                Progress.NOT_SENT,
                str(error),
                # Peers in other regions may still reach it.
                unreachable=not isinstance(error, NoPeerAllowedError),
            ) from error
        except HTTPError as error:
            raise AttemptFailure(
                Progress.MAYBE_RUN,
                str(error),
                endpoint_at_fault=True,
                connection_broken=True,
            ) from error
        except curio.TaskTimeout:
            seconds = self._clock.read_elapsed() - began_at
            reason = f"no answer within {seconds:.3f} s"
            if sent_at is None:
                # Whether a path leads there has still to be found out.
                raise AttemptFailure(Progress.NOT_SENT, reason) from None
            raise AttemptFailure(
                Progress.MAYBE_RUN, reason, endpoint_at_fault=True
            ) from None
        kind = self._dialect.classify_answer(response.status, response.headers)
        if kind not in FOREIGN_KINDS:
            await self._tell_limit(endpoint, response.headers, sent_at)
        if kind is AnswerKind.SUCCESS:
            return response
        raise await self._make_failure(kind, response)

    async def _await_response(self, request, response_timeout, handover):
        if handover is None:
            async with curio.timeout_after(response_timeout):
                return await request
        reading = await curio.spawn(_capture, request)
        try:
            if not await handover.wait(reading):
                raise curio.TaskTimeout(handover.limit)
            outcome = reading.result
        finally:
            await reading.cancel()
        if isinstance(outcome, Failure):
            raise outcome.failure()
        return outcome.unwrap()

    async def connect(self, endpoint):
        """Make a connection to an endpoint, for the next call there.

        Raises
        ------
        AttemptFailure
            If none can be made.
        """
        try:
            await self._pool.connect(endpoint)
        except HTTPConnectError as error:
            raise AttemptFailure(
                Progress.NOT_SENT, str(error), unreachable=True
            ) from error

    def _check_eligible(self, call, endpoint):
        reason = self._find_obstacle(endpoint, call.scope)
        if reason is not None:
            raise AttemptFailure(
                Progress.NOT_SENT, f"endpoint not eligible: {reason.value}"
            )

    def read_shared_parts(self, headers):
        """Return the shared parts of the prompt, as the caller's headers name them."""
        return self._dialect.read_shared_parts(headers)

    def _make_headers(self, call, endpoint, last_event):
        seconds_left = call.deadline - self._clock.read_elapsed()
        request = EndpointRequest(
            call.request_id,
            endpoint,
            call.account,
            call.headers,
            seconds_left,
            last_event,
        )
        return self._dialect.make_headers(request)

    async def _request(self, call, endpoint, make_headers, is_fresh, handover):
        return await self._pool.request(
            endpoint,
            call.method,
            call.target,
            make_headers,
            call.body,
            fresh=is_fresh,
            idle_limit=None if call.repeatable else MAX_IDLE_SECONDS,
            is_answer=lambda fields, is_first: self._check_head(
                call, endpoint, fields, is_first
            ),
            request_id=call.request_id,
            on_connection=self._choose_observer(call, handover),
            scope=call.scope,
        )

    def _choose_observer(self, call, handover):
        """Return what is told of the connection that carries a call; may be None."""
        if handover is not None:
            return handover.note_connection
        if call.route.semantics is RequestSemantics.BATCH:
            return lambda connection: self._endings.attach(connection, call.request_id)
        return None

    def _check_head(self, call, endpoint, fields, is_first):
        """Return whether a head answers the request; note if its endpoint leaves."""
        if self._dialect.announces_leaving(fields):
            self._directory.note_leaving(endpoint)
        return self._dialect.is_answer(call.request_id, fields, is_first)

    async def _tell_limit(self, endpoint, headers, sent_at):
        cold_left = self._dialect.read_cold(headers)
        if cold_left is not None:
            self._note_cold(endpoint, cold_left, sent_at)
        rate = self._dialect.read_limit(headers)
        if rate is not None:
            await self._note_limit(endpoint, rate, sent_at)

    async def _make_failure(self, kind, response):
        """Return the failure for an unsuccessful answer, with its body if useful."""
        reason = f"{kind.value}: status {response.status}"
        answer = None
        endpoint_at_fault = kind in ENDPOINT_FAULT_KINDS
        try:
            # An invalid answer may never end and is of no use to the caller.
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
