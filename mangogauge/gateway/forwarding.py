"""Calls that another host runs, one hop at most.

A call that the local endpoints can't run, or only much later, is passed to an
entry host of another data centre over one stream between hosts; one that this
host alone can't connect for, to a host of its own data centre. Its deadline
and attempt id go with it; the caller's key does not, since the call has been
authenticated. Giving it up resets the stream, which cancels it there.
"""

import curio
from curio.meta import finalize

from ..daemon.parts import HostPart
from ..http import Headers, HTTPError, HTTPReceiveError
from ..protocol import CallError, CallStatus, ChannelError, Method
from ..protocol.forward_pb2 import (
    AttemptFailure,
    ForwardPart,
    ForwardRequest,
    HeaderField,
    ResponseHead,
)
from ..protocol.forward_pb2 import Progress as WireProgress
from ..refusals import Refusal, RefusalCode
from ..routing import Progress, find_failure
from ..settings import RouteKind
from .attempts import Attempt, AttemptFailed
from .calls import Call
from .sinks import Sink

__all__ = ["ForwardAttempt", "ForwardService"]

FORWARD_METHOD = "/mangogauge.Gateway/Forward"
BROKEN_CODE = "answer_broken"
UNRUN_STATUSES = frozenset({CallStatus.UNIMPLEMENTED, CallStatus.UNAUTHENTICATED})

TO_WIRE = {
    Progress.NOT_SENT: WireProgress.PROGRESS_NOT_SENT,
    Progress.NOT_RUN: WireProgress.PROGRESS_NOT_RUN,
    Progress.MAYBE_RUN: WireProgress.PROGRESS_MAYBE_RUN,
    Progress.RUN: WireProgress.PROGRESS_RUN,
}
# What is not said counts as the worst.
FROM_WIRE = {wire: progress for progress, wire in TO_WIRE.items()}
EXECUTED = {"no": Progress.NOT_RUN, "unknown": Progress.MAYBE_RUN}


class ForwardAttempt(Attempt):
    """An attempt through another entry host.

    Parameters
    ----------
    call : Call
    member : Member
    channels : ChannelPool
    clock : Clock
    """

    def __init__(self, call, member, channels, clock):
        super().__init__(call, member.name)
        self._member = member
        self._channels = channels
        self._clock = clock

    async def run(self, relay, bound, may_retry):
        """Run the call through the other host."""
        channel = self._channels.get(self._member.address)
        parts = channel.stream(FORWARD_METHOD, self._make_request(relay), ForwardPart)
        async with finalize(parts):
            try:
                head = await self._read_head(parts, bound)
                self._check_status(head.status, may_retry)
                headers = Headers((f.name, f.value) for f in head.headers)
                await relay.take(head.status, headers, self._iterate(parts))
            except ChannelError as error:
                progress = Progress.MAYBE_RUN if error.sent else Progress.NOT_SENT
                raise AttemptFailed(progress, str(error)) from error
            except CallError as error:
                unrun = error.status in UNRUN_STATUSES
                progress = Progress.NOT_RUN if unrun else Progress.MAYBE_RUN
                raise AttemptFailed(progress, str(error)) from error
            except HTTPError as error:
                raise AttemptFailed(Progress.MAYBE_RUN, str(error)) from error

    def _check_status(self, status, may_retry):
        """Raise if an endpoint's error is held back; else it is passed on."""
        progress = find_failure(self.call, status)
        if progress is not None and may_retry(progress):
            raise AttemptFailed(progress, f"Status {status}.", blames=False)

    async def _read_head(self, parts, bound):
        try:
            async with curio.timeout_after(bound):
                part = await self._read_part(parts)
        except curio.TaskTimeout:
            raise AttemptFailed(
                Progress.MAYBE_RUN, f"No answer within {bound:.3f} s."
            ) from None
        if part is None or part.WhichOneof("part") != "head":
            raise AttemptFailed(Progress.MAYBE_RUN, "The answer has no head.")
        return part.head

    async def _iterate(self, parts):
        while True:
            part = await self._read_part(parts)
            if part is None:
                raise HTTPReceiveError(
                    "The stream ended within the answer.",
                    step="forward",
                    peer=self.peer,
                )
            if part.WhichOneof("part") == "end":
                return
            yield part.data

    async def _read_part(self, parts):
        part = await anext(parts, None)
        if part is None:
            return None
        if part.attempt_id != self.attempt_id:
            raise AttemptFailed(
                Progress.MAYBE_RUN, "The answer belongs to another attempt."
            )
        if part.WhichOneof("part") == "failure":
            raise _read_failure(part.failure)
        return part

    def _make_request(self, relay):
        call = self.call
        left = max(0.001, call.deadline - self._clock.read_elapsed())
        return ForwardRequest(
            request_id=call.request_id,
            attempt_id=self.attempt_id,
            client_account=call.account,
            route=call.route.name,
            method=call.method,
            target=call.target,
            headers=[HeaderField(name=n, value=v) for n, v in call.headers],
            body=call.body,
            deadline_milliseconds=max(1, int(left * 1000)),
            fingerprint=call.fingerprint,
            resume_from=relay.tokens,
        )


class ForwardService(HostPart):
    """Runs calls for other hosts.

    Parameters
    ----------
    dispatcher : Dispatcher
    clock : Clock
    """

    def __init__(self, dispatcher, clock):
        self._dispatcher = dispatcher
        self._clock = clock
        self._fleet = None
        self._running = 0

    @property
    def busy(self):
        """Whether a call of another host runs here."""
        return self._running > 0

    def protocol_methods(self):
        """Return the method that peers call."""
        return [Method(FORWARD_METHOD, ForwardRequest, self._serve)]

    def take_fleet(self, fleet):
        """Put newer settings in force."""
        self._fleet = fleet

    async def _serve(self, request, context):
        sink = _ForwardSink(context, request.attempt_id)
        self._running += 1
        try:
            call = self._make_call(request)
            await self._dispatcher.dispatch(call, sink)
        except Refusal as refusal:
            code = refusal.code.value.code
            progress = EXECUTED[refusal.executed]
            await sink.fail(progress, refusal, code, refusal.retry_after)
        except HTTPError as error:
            await sink.fail(Progress.MAYBE_RUN, error, BROKEN_CODE)
        finally:
            self._running -= 1

    def _make_call(self, request):
        route = self._fleet.routes.get(request.route) if self._fleet else None
        if route is None:
            raise CallError(
                CallStatus.UNIMPLEMENTED, f"There is no route {request.route!r} here."
            )
        call = Call(
            request_id=request.request_id,
            account=request.client_account,
            route=route,
            method=request.method,
            target=request.target,
            headers=Headers((f.name, f.value) for f in request.headers),
            body=request.body,
            deadline=self._clock.read_elapsed() + request.deadline_milliseconds / 1000,
            repeatable=request.method in route.repeatable,
            resume_from=request.resume_from,
            resuming=request.resume_from > 0,
            forwarded=True,
        )
        if route.kind is RouteKind.MODEL:
            call.read_body()
        return call


class _ForwardSink(Sink):
    """Passes an answer to the host that asked for it."""

    def __init__(self, context, attempt_id):
        self._context = context
        self._attempt_id = attempt_id

    async def start(self, status, headers):
        self.started = True
        fields = [HeaderField(name=n, value=v) for n, v in headers.without_hop_by_hop()]
        await self._send(head=ResponseHead(status=status, headers=fields))

    async def write(self, data):
        await self._send(data=data)

    async def finish(self):
        await self._send(end=True)

    async def fail(self, progress, error, code, retry_after=None):
        """Tell how far the call got."""
        failure = AttemptFailure(
            progress=TO_WIRE[progress],
            code=code,
            message=str(error),
            retry_after_milliseconds=int((retry_after or 0) * 1000),
        )
        await self._send(failure=failure)

    async def _send(self, **part):
        await self._context.send(ForwardPart(attempt_id=self._attempt_id, **part))


def _read_failure(failure):
    progress = FROM_WIRE.get(failure.progress, Progress.MAYBE_RUN)
    seconds = failure.retry_after_milliseconds / 1000
    return AttemptFailed(
        progress,
        failure.message,
        quarantined=failure.code == RefusalCode.QUARANTINED.value.code,
        retry_after=seconds or None,
    )
