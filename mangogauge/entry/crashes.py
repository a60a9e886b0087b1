"""Detect crashes of endpoints and quarantine the requests that cause them.

A network partition of a data centre may reset connections and refuse new ones, as the
crash of an endpoint does. During a partition, however, no reports arrive from the
hosts of that data centre either. Requests that crash endpoints may come while a data
centre is partitioned, so a failure counts as a crash only if such reports arrive.
"""

from contextlib import asynccontextmanager, contextmanager

import curio
import xxhash
from attrs import define, field

from ..fleet import RequestSemantics
from ..http import ClientConnection, HTTPConnectError
from ..refusals import Refusal, RefusalCode
from ..routing import Progress
from ..telemetry import get_logger
from ..ticks import sleep_to_tick
from .attempt import AttemptFailure

__all__ = ["CrashDetector"]

# Timeout of the connection that probes whether the endpoint still listens.
PROBE_TIMEOUT_SECONDS = 0.2
# Delay of that probe: a process that ends closes its connections shortly before its
# listening socket.
LISTENER_CLOSE_SECONDS = 0.15
# Reports that were in transit when the connection broke have arrived after this time.
IN_FLIGHT_SECONDS = 0.05
# How long to wait for a report from the endpoint's data centre: each host sends
# several within this time.
CONFIRM_TIMEOUT_SECONDS = 0.75
CONFIRM_POLL_SECONDS = 0.02
# An endpoint that crashes once its answer has gone on for so long crashed for another
# reason than the prompt of that request.
MAX_ACCUSING_SECONDS = 2.0
# One that crashes sooner after a call's answer began is likely to have crashed by it,
# so that the call isn't retried again and again.
EARLY_CRASH_SECONDS = 1.0
# A shorter time hasn't been measured for certain.
MIN_ANSWER_SECONDS = 0.1
# How often answers that go on are held against crashes.
LENGTH_POLL_SECONDS = 0.25
# After this time a suspected part has been quarantined or cleared.
SUSPECTED_RETRY_SECONDS = 1.0
# Most answers of a trial show by then whether its part is sound.
TRIAL_ANSWER_SECONDS = 1.5
UNRUN = frozenset({Progress.NOT_SENT, Progress.NOT_RUN})

log = get_logger("crashes")


@define(eq=False)
class _RunningAnswer:
    """An answer that goes on.

    Parameters
    ----------
    parts : tuple of str
        The shared parts of its prompt.
    service : str
    measure : callable
        Returns for how many seconds it has gone on; 0 if it did not begin.

    Attributes
    ----------
    seconds : float
        What `measure` last returned.
    """

    parts = field()
    service = field()
    measure = field()
    seconds = field(default=0.0)


class CrashDetector:
    """Notes crashes of endpoints and refuses quarantined requests.

    Parameters
    ----------
    ledger : CrashLedger
        Counts crashes by request. Batch items are not counted: they wait, and their
        callers must get a result.
    part_quarantine : PartQuarantine
        Finds the parts of prompts that crash endpoints, in requests and items.
    trials : PartTrials
    notify : async callable
        Called after a crash, so that it is reported to the other hosts.
    clock : Clock
    has_reported_since : callable
        Takes a data centre and an elapsed time; returns whether a report of a host
        there has arrived since, or no other host is registered there.
    refuses_connections : async callable, optional
        Takes a `FleetEndpoint`; returns whether it refuses connections. By default
        this host's own connection decides.
    """

    def __init__(
        self,
        ledger,
        part_quarantine,
        trials,
        notify,
        clock,
        has_reported_since,
        refuses_connections=None,
    ):
        self._ledger = ledger
        self._part_quarantine = part_quarantine
        self._trials = trials
        self._notify = notify
        self._clock = clock
        self._has_reported_since = has_reported_since
        self._refuses_connections = refuses_connections or _refuses_connections
        self._running = {}
        self._has_news = False

    async def run(self):
        """Hold answers that go on against crashes, until cancelled."""
        while True:
            await sleep_to_tick(LENGTH_POLL_SECONDS)
            if self._part_quarantine.is_accusing:
                for answer in list(self._running.values()):
                    self._note_length(answer)
            if self._has_news:
                self._has_news = False
                await self._notify()

    @asynccontextmanager
    async def admit(self, call, service, measure_answer, executed="no"):
        """Let a call run, perhaps on trial, and watch its answer meanwhile.

        Parameters
        ----------
        call, service, measure_answer
            As `watch`.
        executed : str, optional
            As `check`.

        Raises
        ------
        Refusal
            As `check`.
        """
        self.check(call, executed)
        part = await self._begin_trial(call, executed)
        has_run = True
        try:
            with self.watch(call, service, measure_answer):
                yield
        except AttemptFailure as failure:
            has_run = failure.progress not in UNRUN
            raise
        finally:
            if part is not None:
                await self._trials.end(part, has_run)

    async def _begin_trial(self, call, executed):
        """Return the part that a call runs on trial for; None if it may run anyhow."""
        parts = call.shared_parts
        if not self._part_quarantine.is_quarantined(parts):
            return None
        part = await self._trials.begin(parts, may_be_alone=True)
        if part is None and self._part_quarantine.is_quarantined(parts):
            raise self._make_trial_refusal(parts, executed)
        return part

    @contextmanager
    def watch(self, call, service, measure_answer):
        """Note how long the answer of a run goes on, while it runs.

        Parameters
        ----------
        call : OnlineCall
        service : str
            The endpoint's.
        measure_answer : callable
            Returns for how many seconds the answer has gone on; 0 if it did not begin.
        """
        answer = _RunningAnswer(call.shared_parts, service, measure_answer)
        key = id(answer)
        self._running[key] = answer
        try:
            yield
        finally:
            del self._running[key]
            self._note_length(answer)

    def _note_length(self, answer):
        """Clear the parts of an answer of crashes that it has outlasted."""
        seconds = answer.measure()
        if seconds > answer.seconds:
            answer.seconds = seconds
            self._part_quarantine.note_work(answer.parts, answer.service)
        if self._part_quarantine.note_answer(answer.parts, seconds):
            self._has_news = True

    def check(self, call, executed="no"):
        """Raise `Refusal` if `call` is quarantined, and not to be run on trial.

        Parameters
        ----------
        call : OnlineCall
        executed : str, optional
            What the caller is told of earlier attempts, as in `Refusal`.
        """
        if self.is_quarantined(call):
            raise _make_quarantine_refusal(
                "This request has crashed the endpoints that ran it.", executed
            )
        if self._part_quarantine.is_quarantined(call.shared_parts):
            if not self._trials.is_due(call.shared_parts):
                raise self._make_trial_refusal(call.shared_parts, executed)
            # It is to run on trial.
            return
        if self._part_quarantine.is_suspected(call.shared_parts):
            raise _make_suspicion_refusal(executed)

    def _make_trial_refusal(self, parts, executed):
        """Return the `Refusal` of a call that has to wait for another one's trial."""
        if not self._trials.may_be_sound(parts):
            return _make_quarantine_refusal(
                "A part of this request's prompt has crashed endpoints.", executed
            )
        wait = self._trials.find_time(parts) - self._clock.read_elapsed()
        return _make_suspicion_refusal(executed, max(0.0, wait) + TRIAL_ANSWER_SECONDS)

    def is_quarantined(self, call):
        """Return whether `call` has crashed too many endpoints."""
        if self._ledger.is_empty:
            return False
        return self._ledger.is_quarantined(_make_fingerprint(call))

    def has_crashing_part(self, parts):
        """Return whether one of the parts of a prompt seems to crash endpoints."""
        quarantine = self._part_quarantine
        return quarantine.is_quarantined(parts) or quarantine.is_suspected(parts)

    def is_accused(self, call):
        """Return whether an endpoint crashed that ran a prompt with a part of this."""
        return self._part_quarantine.is_accused(call.shared_parts)

    async def note_answer(self, call):
        """Record that an endpoint ran `call` without a crash."""
        if not self._ledger.is_empty:
            self._ledger.note_answer(_make_fingerprint(call))
        if self._part_quarantine.note_answer(call.shared_parts):
            await self._notify()

    async def note_failure(self, call, endpoint, failure, answer_seconds):
        """Start to check whether a broken connection means that an endpoint crashed.

        Parameters
        ----------
        call : OnlineCall
        endpoint : FleetEndpoint
        failure : AttemptFailure
        answer_seconds : float
            How long the answer had gone on; 0 if it had not begun.

        Returns
        -------
        curio.Task or None
            Returns whether the endpoint crashed and the request may be the cause.
        """
        if not failure.connection_broken:
            return None
        return await curio.spawn(
            self._diagnose, call, endpoint, answer_seconds, daemon=True
        )

    async def _diagnose(self, call, endpoint, answer_seconds):
        broke_at = self._clock.read_elapsed()
        await curio.sleep(LISTENER_CLOSE_SECONDS)
        if not await self._refuses_connections(endpoint):
            return False
        if await self._is_data_centre_reporting(endpoint.data_centre, broke_at):
            await self._note_crash(call, endpoint, answer_seconds)
            return answer_seconds < EARLY_CRASH_SECONDS
        log.warning(
            "endpoint refuses connections, but its data centre does not report:"
            " treated as a network partition",
            extra={"request_id": call.request_id, "endpoint": endpoint.name},
        )
        return False

    async def _is_data_centre_reporting(self, data_centre, broke_at):
        """Return whether a report of a data centre arrives after a connection broke."""
        since = broke_at + IN_FLIGHT_SECONDS
        while not self._has_reported_since(data_centre, since):
            if self._clock.read_elapsed() >= broke_at + CONFIRM_TIMEOUT_SECONDS:
                return False
            await curio.sleep(CONFIRM_POLL_SECONDS)
        return True

    async def _note_crash(self, call, endpoint, answer_seconds):
        fingerprint = _make_fingerprint(call)
        if call.route.semantics is not RequestSemantics.BATCH:
            self._ledger.note_crash(fingerprint)
        is_accused = answer_seconds < MAX_ACCUSING_SECONDS
        if is_accused:
            crash = f"{endpoint.name}/{endpoint.start_time_ms}"
            if answer_seconds < MIN_ANSWER_SECONDS:
                answer_seconds = 0.0
            self._part_quarantine.note_crash(
                crash,
                fingerprint,
                call.shared_parts,
                answer_seconds,
                endpoint.service,
            )
        log.warning(
            "endpoint crashed within a request",
            extra={
                "request_id": call.request_id,
                "endpoint": endpoint.name,
                "fingerprint": fingerprint,
                "condemned": self._ledger.is_quarantined(fingerprint),
                "shared_parts": call.shared_parts,
                "accused": is_accused,
                "answer_seconds": round(answer_seconds, 3),
            },
        )
        await self._notify()


def _make_quarantine_refusal(message, executed):
    return Refusal(
        RefusalCode.QUARANTINED, message, executed=executed, step="check crashes"
    )


def _make_suspicion_refusal(executed, retry_after=SUSPECTED_RETRY_SECONDS):
    if executed == "no":
        return Refusal(
            RefusalCode.REQUEST_SUSPECTED,
            "A part of this request's prompt may have crashed endpoints.",
            retry_after=round(retry_after, 3),
            step="check crashes",
        )
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        "The endpoint crashed, and a part of this request's prompt may be the cause.",
        executed=executed,
        step="check crashes",
    )


async def _refuses_connections(endpoint):
    """Return whether the endpoint's address refuses connections."""
    try:
        connection = await ClientConnection.open(
            endpoint.address, PROBE_TIMEOUT_SECONDS
        )
    except HTTPConnectError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    await connection.close()
    return False


def _make_fingerprint(call):
    digest = xxhash.xxh3_64()
    for part in (call.account.encode(), call.target.encode(), call.body):
        digest.update(part)
        digest.update(b"\0")
    return digest.hexdigest()
