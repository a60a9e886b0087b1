"""Run an item at an endpoint, resuming after the last event received."""

from ..entry import AnswerKind, AttemptFailure, EventStream, OnlineCall
from ..http import Headers, HTTPError, HTTPReceiveError
from ..routing import Progress
from ..streams import StreamBeginning, StreamOrigin
from ..telemetry import get_logger
from .backoff import compute_backoff
from .records import ItemState

__all__ = ["ItemRunner"]

# Longest wait for an endpoint's response to begin, and between two reads of it.
IDLE_TIMEOUT_SECONDS = 3.0
# Events of items are read in batches, since no caller waits for single ones.
GATHER_SECONDS = 0.04
# Time between an item's trials, and until the first where its part is likely to have
# crashed endpoints.
TRIAL_INTERVAL_SECONDS = 17.0
# How soon an item may be considered again that is to wait for a trial.
TRIAL_CHECK_SECONDS = 0.5
# An item that must not run for now backs off as after this many interrupted runs.
QUARANTINE_BACKOFF_COUNT = 5

log = get_logger("items")


class ItemRunner:
    """Runs items at endpoints and records how each run ended.

    Parameters
    ----------
    endpoint_client : EndpointClient
    health : EndpointHealth
    trust : EndpointTrust
    crashes : CrashDetector
    trials : PartTrials
    streams : OriginFinder
    clock : Clock
    random : random.Random
    metrics : ServingMetrics

    Notes
    -----
    Unlike requests, items are not quarantined by themselves when endpoints crash under
    them: an item can wait, and its caller must still get a result. While a part of its
    prompt is quarantined, an item waits, and is run on trial now and then.
    """

    def __init__(
        self,
        endpoint_client,
        health,
        trust,
        crashes,
        trials,
        streams,
        clock,
        random,
        metrics,
    ):
        self._endpoint_client = endpoint_client
        self._health = health
        self._trust = trust
        self._crashes = crashes
        self._trials = trials
        self._streams = streams
        self._clock = clock
        self._random = random
        self._metrics = metrics

    async def run(self, item, route, endpoint):
        """Run an item until it ends or is interrupted; record its progress in it.

        Parameters
        ----------
        item : OwnedItem
        route : PrefixRoute
        endpoint : FleetEndpoint
        """
        # The part may have been quarantined since dispatch.
        parts = self._read_shared_parts(item)
        if not self._plan_trial(item, parts):
            await self._run_once(item, route, endpoint)
            return
        part = await self._trials.begin(parts, item.trial_at)
        if part is None:
            self._wait_for_trial(item, parts)
            return
        item.trial_at = self._clock.read_elapsed() + TRIAL_INTERVAL_SECONDS
        has_run = True
        try:
            has_run = await self._run_once(item, route, endpoint)
        finally:
            await self._trials.end(part, has_run)

    async def _run_once(self, item, route, endpoint):
        """Run an item; return whether the endpoint may have run it."""
        call = self._make_call(item, route)
        observer = self._trust.begin(endpoint)
        try:
            with self._crashes.watch(
                call, endpoint.service, lambda: item.answer_seconds
            ):
                await self._run(item, call, endpoint, observer)
        except AttemptFailure as failure:
            failure.end_attempt(observer)
            failure.report_to_health(self._health, endpoint)
            await self._crashes.note_failure(
                call, endpoint, failure, item.answer_seconds
            )
            self._handle_failure(item, route, endpoint, failure)
            return failure.progress not in (Progress.NOT_SENT, Progress.NOT_RUN)
        else:
            observer.end_answered()
            await self._crashes.note_answer(call)
            self._health.note_answer(endpoint.name)
            self._finish(item, ItemState.DONE, "ran to its end")
            return True
        finally:
            observer.end()

    def hold_back(self, item):
        """Pause an item that must not run for now; return whether it must not.

        Parameters
        ----------
        item : OwnedItem
        """
        parts = self._read_shared_parts(item)
        if not self._plan_trial(item, parts):
            return False
        if self._trials.take_turn(parts, item.trial_at):
            return False
        self._wait_for_trial(item, parts)
        return True

    def _plan_trial(self, item, parts):
        """Return whether an item may run on trial only; if so, it has a time for it."""
        if not self._crashes.has_crashing_part(parts):
            item.trial_at = None
            return False
        if item.trial_at is None:
            item.trial_at = self._clock.read_elapsed() + TRIAL_INTERVAL_SECONDS
            log.info(
                "item waits",
                extra={
                    "request_id": item.item.item_id,
                    "job": item.job.job_id,
                    "reason": "a part of its prompt has crashed endpoints",
                },
            )
        return True

    def _wait_for_trial(self, item, parts):
        """Postpone an item until it may be run on trial, or its part be let go."""
        now = self._clock.read_elapsed()
        backoff = compute_backoff(QUARANTINE_BACKOFF_COUNT, self._random)
        next_trial = now + TRIAL_CHECK_SECONDS
        if not self._trials.may_be_sound(parts):
            trial_at = self._trials.find_time(parts, item.trial_at)
            next_trial = max(next_trial, trial_at)
        item.delay_until(min(now + backoff, next_trial))

    def give_up(self, item, reason):
        """Finish an item as given up.

        Parameters
        ----------
        item : OwnedItem
        reason : str
            For the log.
        """
        self._finish(item, ItemState.GIVEN_UP, reason)

    def pause(self, item, reason, count):
        """Postpone an item's next run by an exponential backoff with jitter.

        Parameters
        ----------
        item : OwnedItem
        reason : str
            For the log.
        count : int
            Consecutive runs that ended for this reason; 1 at least.
        """
        seconds = compute_backoff(count, self._random)
        item.delay_until(self._clock.read_elapsed() + seconds)
        log.info(
            "item waits",
            extra={
                "request_id": item.item.item_id,
                "job": item.job.job_id,
                "reason": reason,
                "count": count,
                "pause": round(seconds, 3),
            },
        )

    async def _run(self, item, call, endpoint, observer):
        is_retry = endpoint.name in item.tried_endpoints
        item.tried_endpoints.add(endpoint.name)
        item.answer_begun_at = None
        item.answer_seconds = 0.0
        await self._check_origin(item, endpoint)
        response = await self._endpoint_client.send(
            call, endpoint, item.last_event, IDLE_TIMEOUT_SECONDS, is_retry
        )
        response.gather(GATHER_SECONDS)
        connected_at = self._clock.read_elapsed() - response.open_seconds
        beginning = StreamBeginning(endpoint, connected_at)
        stream = EventStream(response)
        try:
            await self._read_events(item, beginning, stream, observer)
            if item.answer_begun_at is None:
                self._check_empty_rest(item, response)
        except HTTPError as error:
            raise AttemptFailure(
                Progress.MAYBE_RUN,
                str(error),
                endpoint_at_fault=True,
                connection_broken=True,
            ) from error
        finally:
            await stream.close()

    async def _check_origin(self, item, endpoint):
        """Raise `AttemptFailure` if an endpoint can't go on with an item any more.

        Notes
        -----
        An item whose own beginning is unknown starts anew. One whose endpoint was
        replaced or removed since it was chosen keeps its events for another endpoint.
        """
        if item.beginning is not None:
            if await self._streams.has_begun_elsewhere(item.beginning):
                item.discard_events()
        if item.last_event is None or item.origin is None:
            return
        if not await self._streams.may_resume(item.origin, endpoint):
            raise AttemptFailure(
                Progress.NOT_SENT, "the endpoint was replaced or removed"
            )

    async def _read_events(self, item, beginning, stream, observer):
        while True:
            events = await stream.read_events(IDLE_TIMEOUT_SECONDS)
            if not events:
                break
            observer.note_progress(len(events))
            self._note_answer_progress(item)
            if item.last_event is None:
                item.origin = StreamOrigin.of(beginning.endpoint)
                item.beginning = beginning
            for event in events:
                item.add_event(event)
            self._note_certain(item)

    def _note_certain(self, item):
        if item.beginning is not None and self._streams.is_certain(item.beginning):
            item.beginning = None

    def _check_empty_rest(self, item, response):
        """Raise `HTTPReceiveError` if a run without events doesn't complete an item.

        Notes
        -----
        An answer that ends with its connection may be a crash. The item then starts
        anew, since an endpoint that has nothing to add would end each run so.
        """
        if item.last_event is not None and not response.ends_with_connection:
            return
        item.discard_events()
        raise HTTPReceiveError("The stream ended without an event.", step="receive")

    def _note_answer_progress(self, item):
        now = self._clock.read_elapsed()
        if item.answer_begun_at is None:
            item.answer_begun_at = now
        item.answer_seconds = now - item.answer_begun_at

    def _make_call(self, item, route):
        manifest = item.job.manifest
        headers = Headers([("Host", manifest.host), *item.item.headers])
        now = self._clock.read_elapsed()
        remaining = manifest.abandon_at - self._clock.read_calendar()
        return OnlineCall(
            item.item.item_id,
            route,
            manifest.account,
            "POST",
            item.item.path,
            headers,
            item.body,
            now,
            now + max(1.0, remaining),
            shared_parts=self._read_shared_parts(item),
            scope=item.scope,
        )

    def _read_shared_parts(self, item):
        return self._endpoint_client.read_shared_parts(Headers(item.item.headers))

    def _handle_failure(self, item, route, endpoint, failure):
        log.info(
            "item broke off",
            extra={
                "request_id": item.item.item_id,
                "job": item.job.job_id,
                "endpoint": endpoint.name,
                "progress": failure.progress.value,
                "reason": failure.reason,
                "last_event": item.last_event,
            },
        )
        if failure.kind is AnswerKind.IMPOSSIBLE:
            self.give_up(item, "the endpoint says that it can never be done")
        elif failure.kind is AnswerKind.FAILURE:
            self._record_failed_run(item, route)
        elif failure.progress in (Progress.NOT_SENT, Progress.NOT_RUN):
            item.refusals += 1
            self.pause(item, "refused by the endpoint", item.refusals)
        else:
            item.record_interruption(self._clock.read_elapsed())
            self.pause(item, "run interrupted", item.interruptions)

    def _record_failed_run(self, item, route):
        item.failures += 1
        if item.failures >= route.attempt_limit:
            self.give_up(item, f"failed {item.failures} times")
        else:
            self.pause(item, "failed", item.failures)

    def _finish(self, item, state, reason):
        item.job.finish(item, state)
        self._metrics.items.labels(state.value).inc()
        log.info(
            "item ended",
            extra={
                "request_id": item.item.item_id,
                "job": item.job.job_id,
                "state": state.value,
                "reason": reason,
                "events": len(item.event_texts),
            },
        )
