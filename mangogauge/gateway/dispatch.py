"""Run a call, trying again as the retry table and the budget allow."""

import curio

from ..http import HTTPReceiveError
from ..refusals import Refusal, RefusalCode
from ..routing import Decision, Progress
from ..telemetry import get_logger
from .attempts import AttemptFailed, EndpointAttempt
from .calls import Priority
from .forwarding import ForwardAttempt
from .relays import AnswerRelay

__all__ = ["Dispatcher"]

RETRY_AFTER_NO_ENDPOINT = 1.0
BACKOFF_SECONDS = 0.02

log = get_logger("dispatch")


class Dispatcher:
    """Run calls.

    Parameters
    ----------
    router : Router
    spill : SpillChooser
        Finds hosts of other data centres.
    peers : PeerChooser
        Finds hosts of this data centre.
    channels : ChannelPool
        Connections to hosts.
    crashes : CrashWatch
    gate : CapacityGate
    retry_policy : RetryPolicy
    times : AnswerTimes
    pool : ClientPool
        Connections to endpoints.
    clock : Clock
    random : random.Random
    metrics : HostMetrics
    """

    def __init__(
        self,
        router,
        spill,
        peers,
        channels,
        crashes,
        gate,
        retry_policy,
        times,
        pool,
        clock,
        random,
        metrics,
    ):
        self._router = router
        self._spill = spill
        self._peers = peers
        self._channels = channels
        self._crashes = crashes
        self._gate = gate
        self._retry_policy = retry_policy
        self._times = times
        self._pool = pool
        self._clock = clock
        self._random = random
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
        self._crashes.check(call)
        run = _Run(call, AnswerRelay(call, sink))
        while True:
            try:
                attempt = await self._try_once(run)
            except AttemptFailed as error:
                self._note_failure(run, error.attempt, error)
                self._continue(run, error.attempt, error)
            else:
                self._router.note_success(attempt.peer)
                self._retry_policy.note_success(call)
                self._count(attempt, "answered")
                return

    async def _try_once(self, run):
        """Make one attempt and return it."""
        entry = None
        has_endpoint = self._router.choose(run.call, run.tried) is not None
        if has_endpoint and self._find_peer(run) is None:
            entry = await self._gate.enter(run.call, urgent=bool(run.tried))
        try:
            attempt = await self._choose_attempt(run)
            if attempt.endpoint is None and entry is not None:
                entry = await self._gate.leave(entry)
            run.begin(attempt)
            try:
                await self._make_attempt(run, attempt)
            except AttemptFailed as error:
                error.attempt = attempt
                raise
            return attempt
        finally:
            if entry is not None:
                await self._gate.leave(entry)

    async def _choose_attempt(self, run):
        """Return the next attempt: here, at another host, or again here."""
        call = run.call
        peer = self._find_peer(run)
        if peer is not None:
            return self._make_forward(call, peer)
        if not run.tried and self._can_forward(call) and self._spill.should_spill(call):
            member = self._spill.choose(call)
            if member is not None:
                return self._make_forward(call, member)
        endpoint = self._router.choose(call, run.tried)
        if endpoint is None and self._can_forward(call):
            member = self._spill.choose(call, run.tried)
            if member is not None:
                return self._make_forward(call, member)
        if endpoint is None and run.tried:
            # Every way has failed once; the fault may have passed.
            await curio.sleep(self._compute_backoff(len(run.tried)))
        if endpoint is None:
            endpoint = self._router.choose(call, allow_down=True)
        if endpoint is None:
            raise self._refuse_unserved(run)
        return EndpointAttempt(
            call, endpoint, self._router, self._pool, self._times, self._clock
        )

    def _find_peer(self, run):
        """Return a host that reaches what this one can't connect to, or None."""
        call = run.call
        # A batch item has its place at one endpoint, counted at this host.
        if not self._can_forward(call) or call.priority is Priority.BATCH:
            return None
        if run.unreached or not self._reaches_next(run):
            return self._peers.choose(call, run.tried)
        return None

    def _reaches_next(self, run):
        """Return whether this host's path to the next endpoint isn't in doubt."""
        endpoint = self._router.choose(run.call, run.tried)
        if endpoint is None:
            return bool(run.tried)
        return not self._router.is_unreached(endpoint.name)

    def _can_forward(self, call):
        return not call.forwarded

    def _make_forward(self, call, member):
        return ForwardAttempt(call, member, self._channels, self._clock)

    async def _make_attempt(self, run, attempt):
        left = run.call.deadline - self._clock.read_elapsed()
        if left <= 0:
            raise AttemptFailed(
                Progress.NOT_SENT, "The deadline has passed.", blames=False
            )
        self._router.begin(attempt.peer)
        try:
            async with curio.timeout_after(left):
                bound = self._compute_bound(run, left)
                await self._run_watched(run, attempt, bound)
        except curio.TaskTimeout:
            raise AttemptFailed(
                attempt.progress, "No answer before the deadline.", blames=False
            ) from None
        finally:
            self._router.end(attempt.peer)

    async def _run_watched(self, run, attempt, bound):
        """Run an attempt; one at an endpoint is watched for a crash."""

        def may_retry(progress):
            return self._decide(run, progress) or run.contradicts(progress)

        endpoint = attempt.endpoint
        if endpoint is None:
            # The other host has made the attempts that an error allows.
            await attempt.run(run.relay, bound, run.contradicts)
            return
        attempt.may_give_up = lambda: self._may_give_up(run)
        executed = run.worst.executed
        on_trial = await self._crashes.enter(run.call, endpoint, executed)
        answered = False
        try:
            await attempt.run(run.relay, bound, may_retry)
            answered = True
        except AttemptFailed as error:
            if error.broken:
                await self._crashes.examine(run.call, endpoint)
            raise
        finally:
            await self._crashes.leave(run.call, endpoint, on_trial, answered)

    def _may_give_up(self, run):
        """Return whether another endpoint may go on with a silent endpoint's answer."""
        if run.relay.started and not run.relay.can_resume:
            return False
        run.call.resuming = run.relay.started
        return self._has_other(run) and self._decide(run, Progress.MAYBE_RUN)

    def _compute_bound(self, run, left):
        if not run.call.repeatable or not self._has_other(run):
            return left
        return self._times.compute_bound(
            run.call.timing_class, left, len(run.tried) - 1
        )

    def _has_other(self, run):
        if self._router.choose(run.call, run.tried) is not None:
            return True
        can_forward = self._can_forward(run.call)
        return can_forward and self._spill.choose(run.call, run.tried) is not None

    def _note_failure(self, run, attempt, error):
        run.note_failure(error)
        if error.blames:
            reached = error.progress is not Progress.NOT_SENT
            self._router.note_failure(attempt.peer, reached)
        self._count(attempt, error.progress.value)
        self._log_failure(run.call, attempt, error)

    def _decide(self, run, progress):
        """Return whether there may be another attempt; asked once for each."""
        if run.decision is None:
            left = run.call.deadline - self._clock.read_elapsed()
            run.decision = self._retry_policy.decide(
                progress, run.call, len(run.tried), left
            )
        return run.decision is Decision.RETRY

    def _continue(self, run, attempt, error):
        """Return if the call may go on with another attempt, else raise."""
        relay = run.relay
        if error.quarantined or not relay.started:
            self._check_quarantine(run, error)
        resumes = relay.can_resume or not relay.started
        if resumes and self._decide(run, error.progress):
            run.call.resuming = relay.started
            return
        if relay.started:
            raise HTTPReceiveError(
                f"The answer broke off: {error}", step="run", peer=attempt.peer
            ) from error
        raise self._refuse_failed(run, attempt) from error

    def _check_quarantine(self, run, error):
        self._crashes.check(run.call, run.worst.executed)
        if error.quarantined:
            raise Refusal(
                RefusalCode.QUARANTINED,
                "This request has crashed the endpoints that ran it.",
                executed=run.worst.executed,
                step="forward",
            )

    def _refuse_unserved(self, run):
        if run.relay.started:
            return HTTPReceiveError("No endpoint can resume the stream.", step="resume")
        is_certain = run.worst.executed == "no"
        return Refusal(
            RefusalCode.NO_ENDPOINT if is_certain else RefusalCode.OUTCOME_UNKNOWN,
            "No endpoint can run this request now.",
            executed=run.worst.executed,
            retry_after=RETRY_AFTER_NO_ENDPOINT,
            step="choose endpoint",
        )

    def _refuse_failed(self, run, attempt):
        executed = run.worst.executed
        code = RefusalCode.ENDPOINT_FAILED
        if executed == "unknown":
            code = RefusalCode.OUTCOME_UNKNOWN
        if run.call.deadline <= self._clock.read_elapsed():
            code = RefusalCode.DEADLINE_EXCEEDED
        return Refusal(
            code,
            "The endpoint gave no answer.",
            executed=executed,
            retry_after=RETRY_AFTER_NO_ENDPOINT if executed == "no" else None,
            step="run",
            peer=attempt.peer,
        )

    def _compute_backoff(self, attempts):
        return BACKOFF_SECONDS * 2**attempts * (0.5 + self._random.random())

    def _count(self, attempt, outcome):
        self._metrics.attempts.labels(attempt.peer, outcome).inc()

    def _log_failure(self, call, attempt, error):
        log.warning(
            "attempt failed",
            extra={
                "request_id": call.request_id,
                "attempt_id": attempt.attempt_id,
                "client_account": call.account,
                "peer": attempt.peer,
                "step": "attempt",
                "progress": error.progress.value,
                "reason": str(error),
            },
        )


class _Run:
    """The state of one call between its attempts."""

    def __init__(self, call, relay):
        self.call = call
        self.relay = relay
        self.tried = []
        self.worst = Progress.NOT_SENT
        self.unreached = False
        self.decision = None

    def begin(self, attempt):
        """Note that another attempt starts."""
        self.tried.append(attempt.peer)
        self.decision = None

    def contradicts(self, progress):
        """Return whether an earlier attempt may run what another one did not run."""
        return self.worst.executed == "unknown" and progress.executed == "no"

    def note_failure(self, error):
        """Keep the worst that is known of all attempts, and the last one's path."""
        self.unreached = error.progress is Progress.NOT_SENT
        if error.progress.executed == "unknown":
            self.worst = error.progress
