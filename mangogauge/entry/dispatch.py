"""Dispatch online requests: acquire a slot, send, and retry where that is safe."""

import curio

from ..http import HTTPError
from ..paths import PathState
from ..refusals import Refusal
from ..routing import Decision, Progress
from ..telemetry import get_logger
from .attempt import AttemptFailure
from .dialect import AnswerKind
from .handover import Handover
from .outcomes import include_attempts, make_refusal, make_timeout_error
from .relay import AnswerRelay
from .state import DispatchState, HeldSlot

__all__ = ["OnlineDispatcher"]

# Longest time without an answer or an event, as a multiple of the route's objective;
# applies only if another endpoint may take over.
SILENCE_FACTOR = 4.0
MIN_SILENCE_SECONDS = 0.8
# Most attempts of one call, including those at endpoints that were full or gone.
MAX_ATTEMPTS = 8
# Endpoints that may crash before they begin to answer one call.
MAX_CRASHES = 2

# Answers that are final: another endpoint would answer the same.
NON_RETRYABLE_KINDS = frozenset({AnswerKind.REJECTED, AnswerKind.IMPOSSIBLE})

log = get_logger("dispatch")


class OnlineDispatcher:
    """Runs online calls.

    Parameters
    ----------
    slots : SlotQueue
    endpoint_client : EndpointClient
    health : EndpointHealth
    trust : EndpointTrust
    crashes : CrashDetector
    streams : OriginFinder
    retry_policy : RetryPolicy
    clock : Clock
    random : random.Random
    metrics : ServingMetrics
    """

    def __init__(
        self,
        slots,
        endpoint_client,
        health,
        trust,
        crashes,
        streams,
        retry_policy,
        clock,
        random,
        metrics,
    ):
        self._slots = slots
        self._endpoint_client = endpoint_client
        self._health = health
        self._trust = trust
        self._crashes = crashes
        self._streams = streams
        self._retry_policy = retry_policy
        self._clock = clock
        self._random = random
        self._metrics = metrics

    async def run(self, call, exchange):
        """Run `call` and relay its answer to `exchange`.

        Raises
        ------
        Refusal
            If the call failed before a part of an answer was relayed.
        HTTPError
            If the answer was interrupted after a part of it had been relayed.
        """
        self._crashes.check(call)
        relay = AnswerRelay(
            call,
            exchange,
            lambda: self._note_first_piece(state),
            lambda: self._streams.note_events(call),
            self._clock,
        )
        state = DispatchState(call, relay)
        try:
            async with curio.timeout_after(self._compute_time_left(call)):
                call.origin = await self._streams.find(call)
                await self._run_attempts(state)
        except curio.TaskTimeout:
            raise make_timeout_error(state) from None
        finally:
            await self._release_successor(state)

    async def _run_attempts(self, state):
        while True:
            endpoint = await self._acquire_endpoint(state)
            state.slot = HeldSlot(self._slots, endpoint, self._clock)
            observer = self._trust.begin(endpoint)
            state.relay.begin_attempt(observer)
            try:
                # It may have been quarantined while it waited for a slot.
                async with self._crashes.admit(
                    state.call,
                    endpoint.service,
                    lambda: state.relay.answer_seconds,
                    state.executed,
                ):
                    await self._run_attempt(state, endpoint)
            except AttemptFailure as failure:
                failure.end_attempt(observer)
                self._note_failure(state, endpoint, failure)
                await self._diagnose(state, endpoint, failure)
            else:
                observer.end_answered()
                await self._crashes.note_answer(state.call)
                self._retry_policy.note_success(state.call)
                return
            finally:
                observer.end()
                await state.slot.release()
            if await self._handle_failure(state):
                return

    async def _acquire_endpoint(self, state):
        """Return the endpoint of the next attempt, at which a slot is held."""
        successor, state.successor = state.successor, None
        if successor is not None:
            return successor
        service = self._choose_service(state.call)
        try:
            return await self._slots.acquire(state.call, service, state.excluded)
        except Refusal as refusal:
            raise include_attempts(refusal, state) from None

    async def _reserve_successor(self, state):
        """Return whether another endpoint goes on with a silent endpoint's answer.

        Notes
        -----
        A silent endpoint may be sound. Its answer is given up only for one that has
        a slot and can be reached, so that no answer ends for nothing: the silence may
        be that of this host's own links.
        """
        call = state.call
        if not self._retry_policy.has_budget(call):
            return False
        if not await self._streams.settle(call):
            return False
        service = self._choose_service(call)
        endpoint = await self._slots.try_acquire(call, service, state.excluded)
        if endpoint is None:
            return False
        state.successor = endpoint
        if await self._reaches(endpoint) and self._takes_retry(state):
            state.connected = endpoint.name
            return True
        await self._release_successor(state)
        return False

    async def _release_successor(self, state):
        endpoint, state.successor = state.successor, None
        if endpoint is not None:
            await self._slots.release(endpoint, 0.0)

    async def _reaches(self, endpoint):
        try:
            await self._endpoint_client.connect(endpoint)
        except AttemptFailure as failure:
            failure.report_to_health(self._health, endpoint)
            return False
        return True

    def _takes_retry(self, state):
        """Return whether a running call may be retried; charge its budget."""
        call = state.call
        time_left = self._compute_time_left(call)
        decision = self._retry_policy.decide(Progress.MAYBE_RUN, call, 0, time_left)
        return state.attempts < MAX_ATTEMPTS and decision is Decision.RETRY

    async def _run_attempt(self, state, endpoint):
        call = state.call
        state.attempts += 1
        state.endpoint = endpoint
        state.excluded.add(endpoint.name)
        if state.relay.last_event is not None:
            await self._check_origin(call, endpoint)
        is_fresh = state.needs_new_connection(endpoint)
        state.contacted.add(endpoint.name)
        was_running = state.may_be_running
        handover = state.relay.handover = self._make_handover(state)
        response_timeout = self._compute_time_left(call)
        try:
            response = await self._endpoint_client.send(
                call,
                endpoint,
                state.relay.last_event,
                response_timeout,
                is_fresh,
                state.note_sending,
                handover,
            )
        except AttemptFailure as failure:
            state.may_be_running = was_running or failure.progress not in (
                Progress.NOT_SENT,
                Progress.NOT_RUN,
            )
            raise
        self._health.note_answer(endpoint.name)
        # The endpoint is done with it while its end is looked at.
        response.on_ended = state.slot.release
        state.connected_at = self._clock.read_elapsed() - response.open_seconds
        self._log(
            call,
            "sent",
            endpoint=endpoint.name,
            attempt=state.attempts,
            path=self._health.paths.get(endpoint.name).value,
            software=endpoint.software,
            after_event=state.relay.last_event,
            resumes=call.resumed_id,
        )
        try:
            await state.relay.relay(response)
        except HTTPError as error:
            raise AttemptFailure(
                Progress.MAYBE_RUN,
                str(error),
                endpoint_at_fault=True,
                connection_broken=True,
            ) from error

    async def _check_origin(self, call, endpoint):
        """Raise `AttemptFailure` if an endpoint can't go on with a stream any more.

        Notes
        -----
        A process with other software may have taken its place since this host's copy
        was read.
        """
        if call.origin is None or await self._streams.may_resume(call.origin, endpoint):
            return
        raise AttemptFailure(Progress.NOT_SENT, "the endpoint was replaced or removed")

    def _note_failure(self, state, endpoint, failure):
        state.failure = failure
        failure.report_to_health(self._health, endpoint)
        if failure.progress in (Progress.MAYBE_RUN, Progress.RUN):
            state.possible_runs += 1
        self._metrics.attempt_failures.labels(failure.progress.value).inc()
        self._log(
            state.call,
            "attempt failed",
            endpoint=endpoint.name,
            attempt=state.attempts,
            progress=failure.progress.value,
            reason=failure.reason,
            shared_parts=state.call.shared_parts,
            answer_begun=state.relay.begun_at is not None,
        )

    async def _handle_failure(self, state):
        """Handle the failure of the last attempt.

        Returns
        -------
        bool
            False if another attempt has to follow; True if the call is answered.

        Raises
        ------
        Refusal, HTTPError
            As `run`, if the call can't be retried.
        """
        call, failure = state.call, state.failure
        if self._may_retry(state) and not await self._has_crashed_endpoints(state):
            if state.attempts >= 2 and failure.progress is Progress.NOT_RUN:
                # Several endpoints were full: allow them again.
                state.excluded.clear()
            if await self._streams.settle(call):
                return False
            self._log(call, "stream not resumed: its software version is not certain")
        if state.relay.started:
            raise HTTPError(failure.reason, step="relay", peer=call.request_id)
        if failure.progress is Progress.RUN and failure.answer is not None:
            await state.relay.relay_buffered(failure.answer)
            return True
        raise make_refusal(state)

    async def _diagnose(self, state, endpoint, failure):
        diagnosis = await self._crashes.note_failure(
            state.call, endpoint, failure, state.relay.answer_seconds
        )
        if diagnosis is not None:
            state.diagnoses.append(diagnosis)

    async def _has_crashed_endpoints(self, state):
        """Return whether so many endpoints crashed under a call that it is the cause.

        Notes
        -----
        Waits for the diagnoses only if there is a reason to: a call at its first crash
        is hardly ever the cause, and is retried at once. If others with a part of its
        prompt were at crashes too, it may have become suspected after the diagnosis.
        """
        must_wait = len(state.diagnoses) >= MAX_CRASHES or (
            state.diagnoses and self._crashes.is_accused(state.call)
        )
        if not must_wait:
            return False
        crashes = [await diagnosis.join() for diagnosis in state.diagnoses]
        return sum(crashes) >= MAX_CRASHES

    def _may_retry(self, state):
        call, failure = state.call, state.failure
        if failure.kind in NON_RETRYABLE_KINDS:
            return False
        if state.successor is not None:
            return True
        if state.attempts >= MAX_ATTEMPTS:
            return False
        if state.relay.started and not call.route.resumable:
            # The caller has a part of one run's answer; another run may differ.
            return False
        time_left = self._compute_time_left(call)
        if failure.progress is Progress.RUN:
            # The endpoint failed; another may succeed where a retry is safe.
            progress = Progress.MAYBE_RUN
        else:
            progress = failure.progress
        if (
            progress is Progress.MAYBE_RUN
            and state.possible_runs >= call.route.attempt_limit
        ):
            return False
        decision = self._retry_policy.decide(progress, call, 0, time_left)
        return decision is Decision.RETRY

    def _make_handover(self, state):
        """Return a `Handover` for the next attempt; None if no other may follow it."""
        limit = self._compute_silence_limit(state)
        if limit is None:
            return None
        paths, name = self._health.paths, state.endpoint.name
        return Handover(
            state.call,
            state.endpoint,
            limit,
            lambda: self._reserve_successor(state),
            lambda: self._release_successor(state),
            lambda: paths.get(name) is PathState.DIRECT,
            self._clock,
        )

    def _compute_silence_limit(self, state):
        """Return how long an endpoint may send nothing, in seconds; None for no limit.

        Notes
        -----
        There is a limit only if another endpoint may take over: ending the last
        permitted run would discard an answer that may still arrive.
        """
        call = state.call
        if not call.repeatable or state.possible_runs + 1 >= call.route.attempt_limit:
            return None
        if state.relay.started and not call.route.resumable:
            return None
        objective = max(call.route.objective, call.route.gap_objective)
        return max(MIN_SILENCE_SECONDS, objective * SILENCE_FACTOR)

    def _choose_service(self, call):
        if call.origin is not None:
            return call.origin.service
        shares = call.route.shares
        weights = [share.weight for share in shares]
        return self._random.choices(shares, weights)[0].service

    def _compute_time_left(self, call):
        return max(0.0, call.deadline - self._clock.read_elapsed())

    def _note_first_piece(self, state):
        call = state.call
        self._streams.note(call, state.endpoint, state.connected_at)
        seconds = self._clock.read_elapsed() - call.received_at
        self._metrics.first_piece.labels(call.route.name).observe(seconds)

    def _log(self, call, message, **extra):
        extra["request_id"] = call.request_id
        log.info(message, extra=extra)
