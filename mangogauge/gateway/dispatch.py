"""Run a call at an endpoint, trying others as the retry table allows."""

import uuid

import curio

from ..http import HTTPConnectError, HTTPError
from ..routing import Decision, Progress
from ..telemetry import get_logger
from .refusals import Refusal, RefusalCode

__all__ = ["Dispatcher"]

RETRY_AFTER_NO_ENDPOINT = 1.0
BUSY_STATUSES = frozenset({429, 503})

log = get_logger("dispatch")


class AttemptFailed(Exception):
    """One attempt failed with this `Progress`."""

    def __init__(self, progress, message):
        super().__init__(message)
        self.progress = progress


class Dispatcher:
    """Run calls.

    Parameters
    ----------
    router : Router
    retry_policy : RetryPolicy
    pool : ClientPool
        Connections to endpoints.
    clock : Clock
    metrics : HostMetrics
    """

    def __init__(self, router, retry_policy, pool, clock, metrics):
        self._router = router
        self._retry_policy = retry_policy
        self._pool = pool
        self._clock = clock
        self._metrics = metrics

    async def dispatch(self, call, sink):
        """Run `call` and pass its answer to `sink`.

        Raises
        ------
        Refusal
            If nothing was passed on and the call is given up.
        HTTPError
            If the answer broke off after some of it had been passed on.
        """
        tried = []
        worst = Progress.NOT_SENT
        while True:
            endpoint = self._router.choose(call, tried)
            if endpoint is None:
                raise self._refuse_unserved(call, worst)
            tried.append(endpoint.name)
            try:
                await self._attempt(call, endpoint, sink)
                return
            except AttemptFailed as error:
                if error.progress.executed == "unknown":
                    worst = error.progress
                self._log_failure(call, endpoint, error)
                left = call.deadline - self._clock.read_elapsed()
                decision = self._retry_policy.decide(
                    error.progress, call.repeatable, len(tried), left
                )
                if decision is Decision.REFUSE:
                    raise self._refuse_failed(error, worst, endpoint, left) from error

    async def _attempt(self, call, endpoint, sink):
        left = call.deadline - self._clock.read_elapsed()
        if left <= 0:
            raise AttemptFailed(Progress.NOT_SENT, "The deadline has passed.")
        self._router.begin(endpoint)
        progress = None
        try:
            async with curio.timeout_after(left):
                await self._run(call, endpoint, sink)
            self._count(endpoint, "answered")
        except curio.TaskTimeout:
            progress = Progress.MAYBE_RUN
            raise AttemptFailed(progress, "No answer before the deadline.") from None
        except AttemptFailed as error:
            progress = error.progress
            self._count(endpoint, progress.value)
            raise
        finally:
            self._router.end(endpoint, progress)

    async def _run(self, call, endpoint, sink):
        headers = call.headers.copy()
        headers.set("Host", endpoint.address)
        headers.set("X-Request-Id", call.request_id)
        headers.set("X-Attempt-Id", uuid.uuid4().hex)
        try:
            response = await self._pool.request(
                endpoint.address,
                call.method,
                call.target,
                headers,
                call.body,
                fresh=not call.repeatable,
            )
        except HTTPConnectError as error:
            raise AttemptFailed(Progress.NOT_SENT, str(error)) from error
        except HTTPError as error:
            raise AttemptFailed(Progress.MAYBE_RUN, str(error)) from error
        try:
            await self._pass_answer(response, sink)
        finally:
            await response.close()

    async def _pass_answer(self, response, sink):
        if response.status in BUSY_STATUSES:
            raise AttemptFailed(Progress.NOT_RUN, f"Status {response.status}.")
        try:
            await sink.start(response.status, response.headers)
            async for piece in response.iterate():
                await sink.write(piece)
            await sink.finish()
        except HTTPError as error:
            if sink.started:
                raise
            raise AttemptFailed(Progress.MAYBE_RUN, str(error)) from error

    def _refuse_unserved(self, call, worst):
        return Refusal(
            RefusalCode.NO_ENDPOINT,
            "No endpoint can run this request now.",
            executed=worst.executed,
            retry_after=RETRY_AFTER_NO_ENDPOINT,
            step="choose endpoint",
        )

    def _refuse_failed(self, error, worst, endpoint, left):
        code = RefusalCode.ENDPOINT_FAILED
        if worst.executed == "unknown":
            code = RefusalCode.OUTCOME_UNKNOWN
        if left <= 0:
            code = RefusalCode.DEADLINE_EXCEEDED
        return Refusal(
            code,
            "The endpoint gave no answer.",
            executed=worst.executed,
            retry_after=RETRY_AFTER_NO_ENDPOINT if worst.executed == "no" else None,
            step="run",
            peer=endpoint.name,
        )

    def _count(self, endpoint, outcome):
        self._metrics.attempts.labels(endpoint.name, outcome).inc()

    def _log_failure(self, call, endpoint, error):
        log.warning(
            "attempt failed",
            extra={
                "request_id": call.request_id,
                "client_account": call.account,
                "peer": endpoint.name,
                "step": "attempt",
                "progress": error.progress.value,
                "reason": str(error),
            },
        )
