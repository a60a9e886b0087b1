"""One attempt at running a call, at an endpoint."""

import uuid
from abc import ABC, abstractmethod

import curio

from ..http import HTTPConnectError, HTTPError
from ..routing import Progress, find_failure

__all__ = ["Attempt", "AttemptFailed", "EndpointAttempt"]

ATTEMPT_HEADER = "X-Attempt-Id"
RESUME_HEADER = "X-Resume-From"
STALL_FACTOR = 20.0
SHORTEST_STALL_SECONDS = 2.0
UNBOUNDED_SECONDS = 86_400.0


class AttemptFailed(Exception):
    """One attempt failed.

    Parameters
    ----------
    progress : Progress
        How far it got.
    message : str
    broken : bool, optional
        Whether a connection ended that had carried the request.
    blames : bool, optional
        Whether the peer is at fault.
    quarantined : bool, optional
        Whether the peer refused a request that crashes endpoints.
    retry_after : float, optional
        Seconds after which the peer says that it can take work again.

    Attributes
    ----------
    attempt : Attempt
        The one that failed.
    """

    def __init__(
        self,
        progress,
        message,
        *,
        broken=False,
        blames=True,
        quarantined=False,
        retry_after=None,
    ):
        super().__init__(message)
        self.attempt = None
        self.quarantined = quarantined
        self.progress = progress
        self.broken = broken
        self.blames = blames
        self.retry_after = retry_after


class Attempt(ABC):
    """An attempt, not yet made.

    Attributes
    ----------
    attempt_id : str
    peer : str
        Name of the endpoint or host that it is made at.
    endpoint : Endpoint or None
        The endpoint, if it is one of this data centre.
    progress : Progress
        How far it may have got if it is given up without an answer.
    """

    endpoint = None
    progress = Progress.MAYBE_RUN

    def __init__(self, call, peer):
        self.call = call
        self.peer = peer
        self.attempt_id = uuid.uuid4().hex

    @abstractmethod
    async def run(self, relay, bound, may_retry):
        """Run the call and pass its answer to `relay`.

        Parameters
        ----------
        relay : AnswerRelay
        bound : float
            Seconds until the first byte of the answer.
        may_retry : callable
            Tells whether an endpoint's error is held back: another attempt could
            follow, or the error says that the call was not run and an earlier attempt
            may have run it. It is passed on as it is otherwise.

        Raises
        ------
        AttemptFailed
        """


class EndpointAttempt(Attempt):
    """An attempt at an endpoint of this data centre.

    Parameters
    ----------
    call : Call
    endpoint : Endpoint
    router : Router
    pool : ClientPool
    times : AnswerTimes
    clock : Clock
    """

    def __init__(self, call, endpoint, router, pool, times, clock):
        super().__init__(call, endpoint.name)
        self.endpoint = endpoint
        self._router = router
        self._pool = pool
        self._times = times
        self._clock = clock
        self.progress = Progress.NOT_SENT
        # Whether an answer that stands still may be given up.
        self.may_give_up = lambda: True

    async def run(self, relay, bound, may_retry):
        """Run the call at the endpoint."""
        started = self._clock.read_elapsed()
        response = await self._request(relay, bound)
        try:
            progress = find_failure(self.call, response.status)
            if progress is not None:
                self._take_error(progress, response, relay, may_retry)
            else:
                self._note_time(self._clock.read_elapsed() - started)
            pieces = self._iterate(response)
            await relay.take(response.status, response.headers, pieces)
        except HTTPError as error:
            raise AttemptFailed(Progress.MAYBE_RUN, str(error), broken=True) from error
        finally:
            await response.close()

    def _take_error(self, progress, response, relay, may_retry):
        """Raise if there can be another attempt; else the error is passed on."""
        if progress is not Progress.NOT_RUN:
            self._router.note_failure(self.peer)
        if relay.started or may_retry(progress):
            raise AttemptFailed(progress, f"Status {response.status}.", blames=False)

    def _note_time(self, seconds):
        usual = self._times.estimate(self.call.timing_class, 0.5)
        if usual:
            self._router.note_slowness(self.peer, seconds / usual)
        self._times.note(self.call.timing_class, seconds)

    async def _request(self, relay, bound):
        def begin_sending():
            self.progress = Progress.MAYBE_RUN
            return self._make_headers(relay)

        arguments = (
            self.endpoint.address,
            self.call.method,
            self.call.target,
            begin_sending,
            self.call.body,
        )
        fresh = not self.call.repeatable
        try:
            async with curio.timeout_after(bound):
                return await self._pool.request(*arguments, fresh=fresh)
        except curio.TaskTimeout:
            raise AttemptFailed(
                self.progress, f"No answer within {bound:.3f} s."
            ) from None
        except HTTPConnectError as error:
            raise AttemptFailed(Progress.NOT_SENT, str(error)) from error
        except HTTPError as error:
            raise AttemptFailed(Progress.MAYBE_RUN, str(error), broken=True) from error

    def _make_headers(self, relay):
        headers = self.call.headers.copy()
        headers.remove(RESUME_HEADER)
        headers.set("Host", self.endpoint.address)
        headers.set("X-Request-Id", self.call.request_id)
        headers.set(ATTEMPT_HEADER, self.attempt_id)
        first = relay.tokens + self.call.resume_from
        if first:
            headers.set(RESUME_HEADER, str(first))
        return headers

    async def _iterate(self, response):
        """Yield the body; a stream that stands still may be given up."""
        pieces = response.iterate()
        gap_class = ("gap", *self.call.timing_class)
        while True:
            started = self._clock.read_elapsed()
            try:
                async with curio.timeout_after(self._compute_stall(gap_class)):
                    piece = await anext(pieces, None)
            except curio.TaskTimeout:
                if self.may_give_up():
                    raise AttemptFailed(
                        Progress.MAYBE_RUN, "The answer stands still."
                    ) from None
                # Its generator has ended with the time-out; nothing read is lost.
                pieces = response.iterate()
                continue
            if piece is None:
                return
            self._times.note(gap_class, self._clock.read_elapsed() - started)
            yield piece

    def _compute_stall(self, gap_class):
        if not (self.call.repeatable and self.call.streams):
            return UNBOUNDED_SECONDS
        usual = self._times.estimate(gap_class)
        return max(SHORTEST_STALL_SECONDS, STALL_FACTOR * (usual or 0.0))
