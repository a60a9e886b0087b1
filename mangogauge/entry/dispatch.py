"""Run an online request: find a slot, send it, and try again where that is safe."""

import curio
from attrs import define, field

from ..http import HTTPError
from ..refusals import Refusal, RefusalCode
from ..routing import Decision, Progress
from ..telemetry import get_logger
from .attempt import AttemptFailure
from .dialect import AnswerKind
from .relay import AnswerRelay

__all__ = ["OnlineDispatcher"]

# An endpoint that is silent for so many times the objective is given up, where
# another may take over.
SILENCE_FACTOR = 4.0
LEAST_SILENCE_SECONDS = 0.8
RETRY_AFTER_SECONDS = 0.5
# Endpoints that were found full or gone are asked again from here on.
ATTEMPT_LIMIT = 8

# Answers that no other endpoint would better.
FINAL_KINDS = frozenset({AnswerKind.REJECTED, AnswerKind.IMPOSSIBLE})

log = get_logger("dispatch")


@define(eq=False)
class _Run:
    """How far a call has got.

    Attributes
    ----------
    tried : set of str
        Endpoints that are not to be asked now.
    asked : set of str
        Endpoints that the call was sent to.
    runs : int
        How many of them may have run it.
    sent : bool
        Whether any endpoint may be running it.
    failure : AttemptFailure or None
        The last one.
    """

    call = field()
    relay = field()
    tried = field(factory=set)
    asked = field(factory=set)
    attempts = field(default=0)
    runs = field(default=0)
    sent = field(default=False)
    failure = field(default=None)


class OnlineDispatcher:
    """Runs online calls.

    Parameters
    ----------
    slots : SlotQueue
    attempt : EndpointAttempt
    health : EndpointHealth
    trust : EndpointTrust
    crashes : CrashWatch
    retry_policy : RetryPolicy
    clock : Clock
    random : random.Random
    metrics : ServingMetrics
    """

    def __init__(
        self,
        slots,
        attempt,
        health,
        trust,
        crashes,
        retry_policy,
        clock,
        random,
        metrics,
    ):
        self._slots = slots
        self._attempt = attempt
        self._health = health
        self._trust = trust
        self._crashes = crashes
        self._retry_policy = retry_policy
        self._clock = clock
        self._random = random
        self._metrics = metrics

    async def run(self, call, exchange):
        """Run `call` and pass its answer to `exchange`.

        Raises
        ------
        Refusal
            If nothing was passed on and the call is given up.
        HTTPError
            If the answer broke off after some of it had been passed on.
        """
        self._crashes.check(call)
        relay = AnswerRelay(call, exchange, lambda: self._note_first(call))
        run = _Run(call, relay)
        try:
            async with curio.timeout_after(self._compute_time_left(call)):
                await self._try_until_done(run)
        except curio.TaskTimeout:
            raise self._give_up(run) from None

    async def _try_until_done(self, run):
        while True:
            service = self._choose_service(run.call.route)
            endpoint = await self._slots.acquire(run.call, service, run.tried)
            started = self._clock.read_elapsed()
            sending = run.relay.sending = self._trust.begin(endpoint)
            try:
                await self._try_once(run, endpoint)
            except AttemptFailure as failure:
                failure.end(sending)
                self._note_failure(run, endpoint, failure)
                await self._crashes.note_failure(run.call, endpoint, failure)
            else:
                sending.end_answered()
                self._crashes.note_answer(run.call)
                self._retry_policy.note_success(run.call)
                return
            finally:
                sending.end()
                held = self._clock.read_elapsed() - started
                await self._slots.release(endpoint, held)
            if await self._is_settled(run):
                return

    async def _try_once(self, run, endpoint):
        call = run.call
        run.attempts += 1
        run.tried.add(endpoint.name)
        again = endpoint.name in run.asked
        run.asked.add(endpoint.name)
        before, run.sent = run.sent, True
        silence = self._bound_silence(run)
        run.relay.pause_limit = silence
        if silence is None:
            silence = self._compute_time_left(call)
        try:
            response = await self._attempt.open(
                call, endpoint, run.relay.last_event, silence, again
            )
        except AttemptFailure as failure:
            run.sent = before or failure.progress not in (
                Progress.NOT_SENT,
                Progress.NOT_RUN,
            )
            raise
        self._health.note_answer(endpoint.name)
        self._log(call, "sent", endpoint=endpoint.name, attempt=run.attempts)
        try:
            await run.relay.take(response)
        except HTTPError as error:
            raise AttemptFailure(
                Progress.MAYBE_RUN, str(error), blames=True, broken=True
            ) from error

    def _note_failure(self, run, endpoint, failure):
        run.failure = failure
        failure.note_in(self._health, endpoint)
        if failure.progress in (Progress.MAYBE_RUN, Progress.RUN):
            run.runs += 1
        self._metrics.attempt_failures.labels(failure.progress.value).inc()
        self._log(
            run.call,
            "attempt failed",
            endpoint=endpoint.name,
            attempt=run.attempts,
            progress=failure.progress.value,
            reason=failure.reason,
        )

    async def _is_settled(self, run):
        """Return whether the call has its answer; raise if it is given up."""
        call, failure = run.call, run.failure
        if self._may_retry(run):
            if run.attempts >= 2 and failure.progress is Progress.NOT_RUN:
                # All that were asked are full: ask the first ones again.
                run.tried.clear()
            return False
        if run.relay.started:
            raise HTTPError(failure.reason, step="relay", peer=call.request_id)
        if failure.progress is Progress.RUN and failure.answer is not None:
            await run.relay.pass_whole(failure.answer)
            return True
        raise self._refuse(run)

    def _may_retry(self, run):
        call, failure = run.call, run.failure
        if run.attempts >= ATTEMPT_LIMIT or failure.kind in FINAL_KINDS:
            return False
        if run.relay.started and not call.route.resumable:
            # The caller has a part of one run; another's would not fit it.
            return False
        time_left = self._compute_time_left(call)
        if failure.progress is Progress.RUN:
            # The endpoint failed; another may do better where that is safe.
            progress = Progress.MAYBE_RUN
        else:
            progress = failure.progress
        if progress is Progress.MAYBE_RUN and run.runs >= call.route.attempt_limit:
            return False
        decision = self._retry_policy.decide(progress, call, 0, time_left)
        return decision is Decision.RETRY

    def _refuse(self, run):
        """Return the refusal that tells truly whether the call may have run."""
        if run.sent or run.runs:
            return Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                f"The endpoint's answer was lost: {run.failure.reason}.",
                executed="unknown",
                step="dispatch",
            )
        return Refusal(
            RefusalCode.NO_ENDPOINT,
            f"No endpoint took the request: {run.failure.reason}.",
            retry_after=RETRY_AFTER_SECONDS,
            step="dispatch",
        )

    def _give_up(self, run):
        if run.relay.started:
            return HTTPError("The deadline passed within the answer.", step="relay")
        if run.sent or run.runs:
            return Refusal(
                RefusalCode.DEADLINE_EXCEEDED,
                "The deadline passed before the endpoint answered.",
                executed="unknown",
                step="dispatch",
            )
        return Refusal(
            RefusalCode.OVERLOADED,
            "The deadline passed before an endpoint was free.",
            retry_after=RETRY_AFTER_SECONDS,
            step="dispatch",
        )

    def _bound_silence(self, run):
        """Return how long an endpoint may be silent; None for any time.

        Notes
        -----
        Only where another may take over: to end the last run that is allowed would
        cut off an answer that may still come.
        """
        call = run.call
        if not call.repeatable or run.runs + 1 >= call.route.attempt_limit:
            return None
        if run.relay.started and not call.route.resumable:
            return None
        objective = max(call.route.objective, call.route.gap_objective)
        return max(LEAST_SILENCE_SECONDS, objective * SILENCE_FACTOR)

    def _choose_service(self, route):
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def _compute_time_left(self, call):
        return max(0.0, call.deadline - self._clock.read_elapsed())

    def _note_first(self, call):
        seconds = self._clock.read_elapsed() - call.received_at
        self._metrics.first_piece.labels(call.route.name).observe(seconds)

    def _log(self, call, message, **extra):
        extra["request_id"] = call.request_id
        log.info(message, extra=extra)
