"""Run each call that has an ``Idempotency-Key`` once across the fleet."""

import curio
from returns.result import Failure

from ..http import HTTPError, HTTPReceiveError
from ..protocol.idempotency_pb2 import KeyedEntry
from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger
from .entries import (
    BODY_LIMIT_BYTES,
    compute_fingerprint,
    is_free,
    make_answer_entry,
    make_freed_entry,
    make_intent_entry,
    make_key,
    make_recording,
    make_unknown_entry,
)
from .grouping import KeyWrite
from .recording import Recording, RecordingSink

__all__ = ["KeyedDispatcher"]

# How long after the deadline of a run its outcome may still be recorded.
OUTCOME_GRACE_SECONDS = 10.0
# Lets the outcome of a run that ends at its deadline reach the caller.
END_GRACE_SECONDS = 0.5
POLL_SECONDS = 0.2
MAX_POLL_SECONDS = 2.0
MIN_POLLS_BEFORE_LOST = 5
OUTCOME_ATTEMPTS = 8
OUTCOME_PAUSE_SECONDS = 1.0
RETRY_AFTER_SECONDS = 2.0

log = get_logger("idempotency")


class KeyedDispatcher:
    """Dispatches calls and runs those with an idempotency key once.

    Parameters
    ----------
    dispatcher : Dispatcher
        Inner dispatcher, which runs the calls.
    records : RecordStore
    writer : FleetWriter
    view : MembershipView
    clock : Clock
    """

    def __init__(self, dispatcher, records, writer, view, clock):
        self._dispatcher = dispatcher
        self._records = records
        self._writer = writer
        self._view = view
        self._clock = clock
        self._running = {}

    @property
    def running_count(self):
        """Number of keyed calls that run or whose outcome isn't recorded yet."""
        return len(self._running)

    async def dispatch(self, call, sink):
        """Run `call`, or relay the recorded answer of its idempotency key.

        Raises
        ------
        Refusal
            For the reasons of the inner dispatcher; also if the key was used for
            another request, the outcome was lost, or the platform is unavailable.
        HTTPError
            If the answer was interrupted after a part of it had been relayed.
        """
        if not call.idempotency_key:
            await self._dispatcher.dispatch(call, sink)
            return
        fingerprint = compute_fingerprint(call)
        key = make_key(call, fingerprint)
        try:
            async with curio.timeout_after(
                self._compute_time_left(call) + END_GRACE_SECONDS
            ):
                await self._serve(call, key, fingerprint, sink)
        except curio.TaskTimeout:
            raise _make_timeout_error(sink) from None

    async def _serve(self, call, key, fingerprint, sink):
        while True:
            recording = self._running.get(key)
            if recording is None:
                # Set before the first await, so that a second call with this key
                # on this host follows the first one.
                recording = self._running[key] = Recording(fingerprint)
                await curio.spawn(self._run, call, key, recording, daemon=True)
            _check_fingerprint(recording.fingerprint, fingerprint)
            try:
                await recording.follow(sink)
                return
            except _KeyTaken as taken:
                _check_fingerprint(taken.entry.fingerprint, fingerprint)
            recorded = await self._wait_for_outcome(call, key)
            if recorded is not None:
                await recorded.follow(sink)
                return

    async def _wait_for_outcome(self, call, key):
        """Poll the platform until the outcome of another run is known.

        Returns
        -------
        Recording or None
            The recorded answer; None if the key is free again.

        Raises
        ------
        Refusal
            If the outcome was lost and the call must not be repeated.
        """
        polls = 0
        while True:
            polls += 1
            await curio.sleep(min(MAX_POLL_SECONDS, POLL_SECONDS * polls))
            found = await self._records.read(key)
            if isinstance(found, Failure):
                continue
            row = found.unwrap()
            if row is None:
                return None
            entry = KeyedEntry.FromString(row.payload)
            if is_free(entry):
                return None
            if entry.ended and not entry.unknown:
                return await make_recording(entry)
            if not entry.ended and not self._is_outcome_lost(entry, polls):
                continue
            if not call.repeatable:
                raise _make_unknown_refusal()
            freed = _encode(make_freed_entry(entry))
            await self._writer.write(KeyWrite(key, freed, row.revision))

    def _is_outcome_lost(self, entry, polls):
        """Return whether no host will record the outcome of a call any more."""
        if self._clock.read_calendar() > entry.ends_at + OUTCOME_GRACE_SECONDS:
            return True
        is_running = any(
            member.name == entry.host and member.incarnation == entry.incarnation
            for member in self._view.list_members(with_leaving=True)
        )
        return not is_running and polls >= MIN_POLLS_BEFORE_LOST

    async def _run(self, call, key, recording):
        """Record the intent, run the call, record its outcome.

        Runs in a task of its own, so that a caller that disconnects doesn't end the
        run and finds the answer when it sends the request again.
        """
        try:
            await self._run_recorded(call, key, recording)
        except Exception as error:
            log.exception("keyed call failed", extra={"step": "run keyed call"})
            await recording.end(error)
        finally:
            del self._running[key]

    async def _run_recorded(self, call, key, recording):
        seconds_left = self._compute_time_left(call)
        ends_at = self._clock.read_calendar() + seconds_left
        intent = make_intent_entry(self._view.own, recording.fingerprint, ends_at)
        granted = await self._write_intent(key, intent)
        if isinstance(granted, Failure):
            await self._run_without_platform(call, key, intent, recording)
            return
        outcome = granted.unwrap()
        if not outcome.written:
            entry = KeyedEntry.FromString(outcome.current)
            await self._answer_from_entry(entry, key, outcome.revision, call, recording)
            return
        await self._run_once(call, key, intent, outcome.revision, recording)

    async def _write_intent(self, key, intent):
        """Write an intent if the key is absent or free; return as `FleetWriter`."""
        revision = 0
        while True:
            write = KeyWrite(key, _encode(intent), revision)
            granted = await self._writer.write(write)
            if isinstance(granted, Failure) or granted.unwrap().written:
                return granted
            outcome = granted.unwrap()
            if not is_free(KeyedEntry.FromString(outcome.current)):
                return granted
            revision = outcome.revision

    async def _answer_from_entry(self, entry, key, revision, call, recording):
        """Answer from the entry that the platform has under the key."""
        if entry.fingerprint != recording.fingerprint or not entry.ended:
            await recording.end(_KeyTaken(entry))
        elif entry.unknown:
            await recording.end(_make_unknown_refusal())
        else:
            recorded = await make_recording(entry)
            await recording.start(recorded.status, recorded.headers)
            await recording.add(recorded.body)
            await recording.end()

    async def _run_once(self, call, key, intent, revision, recording):
        error = None
        try:
            await self._dispatcher.dispatch(call, RecordingSink(recording))
        except (Refusal, HTTPError) as raised:
            error = raised
        payload = self._encode_outcome(call, intent, recording, error)
        # The answer is sent before its entry is written: if this host is lost in
        # between, only the intent remains, and the outcome of a resend is unknown.
        await recording.end(error)
        await self._record_outcome(KeyWrite(key, payload, revision))

    def _encode_outcome(self, call, intent, recording, error):
        """Return the payload to record."""
        if error is None and len(recording.body) <= BODY_LIMIT_BYTES:
            return _encode(make_answer_entry(intent, recording))
        not_run = isinstance(error, Refusal) and error.executed == "no"
        if not_run or call.repeatable:
            return _encode(make_freed_entry(intent))
        return _encode(make_unknown_entry(intent))

    async def _record_outcome(self, write):
        for _ in range(OUTCOME_ATTEMPTS):
            result = await self._writer.write(write)
            if not isinstance(result, Failure):
                return
            await curio.sleep(OUTCOME_PAUSE_SECONDS)
        log.error(
            "outcome not recorded", extra={"step": "keep outcome", "peer": write.key}
        )

    async def _run_without_platform(self, call, key, intent, recording):
        """Run a repeatable call without a record; refuse any other."""
        if call.repeatable:
            error = None
            try:
                await self._dispatcher.dispatch(call, RecordingSink(recording))
            except (Refusal, HTTPError) as raised:
                error = raised
            await recording.end(error)
            return
        await recording.end(
            Refusal(
                RefusalCode.PLATFORM_AWAY,
                "The platform's store, which keeps keyed calls apart, is away.",
                executed="no",
                retry_after=RETRY_AFTER_SECONDS,
                step="record intent",
            )
        )
        await self._free_key(key, intent)

    async def _free_key(self, key, intent):
        """Free the key of an intent that may be written although its write failed."""
        freed = _encode(make_freed_entry(intent))
        for _ in range(OUTCOME_ATTEMPTS):
            found = await self._records.read(key)
            if not isinstance(found, Failure):
                row = found.unwrap()
                if row is not None and row.payload != _encode(intent):
                    return
                revision = 0 if row is None else row.revision
                written = await self._writer.write(KeyWrite(key, freed, revision))
                if not isinstance(written, Failure) and written.unwrap().written:
                    return
            await curio.sleep(OUTCOME_PAUSE_SECONDS)

    def _compute_time_left(self, call):
        return max(0.001, call.deadline - self._clock.read_elapsed())


def _make_timeout_error(sink):
    message = "No answer before the deadline."
    if sink.started:
        return HTTPReceiveError(message, step="follow run")
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED, message, executed="unknown", step="follow run"
    )


class _KeyTaken(Exception):
    """The key is held by a run on another host, or by another request."""

    def __init__(self, entry):
        super().__init__(entry.host)
        self.entry = entry


def _check_fingerprint(recorded, received):
    if recorded != received:
        raise Refusal(
            RefusalCode.CONFLICT,
            "This Idempotency-Key was used for another request.",
            step="compare request",
        )


def _make_unknown_refusal():
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        "The request may have been run; its outcome was lost.",
        executed="unknown",
        step="read outcome",
    )


def _encode(entry):
    return entry.SerializeToString()
