"""Watch for requests that crash endpoints, together with the other hosts.

In each data centre the first live host in order of name hears of every crash
and grants trials; what it finds goes to all hosts with the exchange of views.
"""

from collections import Counter

import curio
import orjson

from ..daemon.parts import HostPart
from ..http import Headers
from ..protocol import CallError, ChannelError, Method
from ..protocol.quarantine_pb2 import (
    CrashReport,
    QuarantineState,
    ReachReply,
    ReachRequest,
    TrialReply,
    TrialRequest,
    TrialStep,
)
from ..refusals import Refusal, RefusalCode
from ..routing.quarantine import QuarantineStatus
from ..settings import RouteKind
from ..telemetry import get_logger

__all__ = ["CrashWatch"]

QUARANTINE_ENTRY = "quarantine"
REPORT_METHOD = "/mangogauge.Quarantine/Report"
TRIAL_METHOD = "/mangogauge.Quarantine/Trial"
REACH_METHOD = "/mangogauge.Quarantine/Reach"
SHARE_SECONDS = 0.2
COLLECT_SECONDS = 0.3
CALL_TIMEOUT = 2.0
PROBE_TIMEOUT = 0.5
REACH_TIMEOUT = 1.0
ASKED_HOSTS = 2
# A process that ends closes its connections a moment before its listener.
PROBE_PAUSES = (0.0, 0.15)
TRIAL_POLL_SECONDS = 0.1

log = get_logger("crashes")


class CrashWatch(HostPart):
    """Keeps suspects apart and refuses condemned requests.

    Parameters
    ----------
    quarantine : Quarantine
    view : MembershipView
    channels : ChannelPool
    clock : Clock
    """

    def __init__(self, quarantine, view, channels, clock):
        self._quarantine = quarantine
        self._view = view
        self._channels = channels
        self._clock = clock
        self._running = {}
        self._endpoints = {}

    def protocol_methods(self):
        """Return the methods that peers call."""
        return [
            Method(REPORT_METHOD, CrashReport, self._serve_report),
            Method(TRIAL_METHOD, TrialRequest, self._serve_trial),
            Method(REACH_METHOD, ReachRequest, self._serve_reach),
        ]

    def take_fleet(self, fleet):
        """Put newer settings in force."""
        self._endpoints = fleet.endpoints

    def operator_handlers(self):
        """Return the path that shows suspects and condemned requests."""
        return {"/quarantine": self._show}

    async def run(self):
        """Share findings until cancelled."""
        merged = {}
        while True:
            state = self._quarantine.export()
            self._view.publish(QUARANTINE_ENTRY, state.SerializeToString())
            for member in self._view.list_members(with_leaving=True):
                raw = self._view.read(member.name, QUARANTINE_ENTRY)
                if raw and merged.get(member.name) != raw:
                    merged[member.name] = raw
                    self._quarantine.merge(QuarantineState.FromString(raw))
            await curio.sleep(SHARE_SECONDS)

    def check(self, call, executed="no"):
        """Raise `Refusal` if the request is condemned."""
        if not _is_watched(call):
            return
        if self._quarantine.get_status(call.fingerprint) is QuarantineStatus.CONDEMNED:
            raise Refusal(
                RefusalCode.QUARANTINED,
                "This request has crashed the endpoints that ran it.",
                executed=executed,
                step="check quarantine",
            )

    async def enter(self, call, endpoint, executed):
        """Note that `call` starts at `endpoint`; a suspect waits for its trial.

        Returns
        -------
        bool
            Whether it runs on trial.

        Raises
        ------
        Refusal
            If the request is condemned meanwhile.
        """
        if not _is_watched(call):
            return False
        on_trial = False
        while self._quarantine.get_status(call.fingerprint) is QuarantineStatus.SUSPECT:
            on_trial = await self._ask_trial(call, endpoint, TrialStep.TRIAL_STEP_BEGIN)
            if on_trial:
                break
            await curio.sleep(TRIAL_POLL_SECONDS)
        self.check(call, executed)
        running = self._running.setdefault(endpoint.name, Counter())
        running[call.fingerprint] += 1
        return on_trial

    async def leave(self, call, endpoint, on_trial, answered):
        """Note that the attempt has ended."""
        if not _is_watched(call):
            return
        running = self._running.get(endpoint.name, Counter())
        running[call.fingerprint] -= 1
        if running[call.fingerprint] <= 0:
            del running[call.fingerprint]
        if not running:
            self._running.pop(endpoint.name, None)
        if on_trial:
            step = TrialStep.TRIAL_STEP_ENDED
            if answered:
                step = TrialStep.TRIAL_STEP_ANSWERED
            await self._ask_trial(call, endpoint, step)

    async def examine(self, call, endpoint):
        """Report a crash if the endpoint that broke off is no longer there."""
        if not _is_watched(call):
            return
        present = sorted(self._running.get(endpoint.name, ()))
        if not await _is_dead(endpoint):
            return
        if await self._is_reached_by_peers(endpoint):
            log.warning("own path to an endpoint lost", extra={"peer": endpoint.name})
            return
        log.warning("an endpoint crashed", extra={"peer": endpoint.name})
        report = CrashReport(endpoint=endpoint.name, fingerprints=present)
        state = await self._call_judge(REPORT_METHOD, report, QuarantineState)
        if state is None:
            state = await self._judge_crash(report)
        self._quarantine.merge(state)

    async def _is_reached_by_peers(self, endpoint):
        """Return whether another host connects to an endpoint that refuses this one."""
        own = self._view.own
        members = self._view.list_members(own.data_centre)
        others = [member for member in members if member.name != own.name]
        for member in others[:ASKED_HOSTS]:
            if await self._is_reached_by(member, endpoint):
                return True
        return False

    async def _is_reached_by(self, member, endpoint):
        request = ReachRequest(endpoint=endpoint.name)
        channel = self._channels.get(member.address)
        try:
            reply = await channel.call(REACH_METHOD, request, ReachReply, REACH_TIMEOUT)
        except (ChannelError, CallError):
            return False
        return reply.reached

    async def _ask_trial(self, call, endpoint, step):
        request = TrialRequest(
            fingerprint=call.fingerprint, endpoint=endpoint.name, step=step
        )
        reply = await self._call_judge(TRIAL_METHOD, request, TrialReply)
        if reply is None:
            return self._judge_trial(request)
        self._quarantine.merge(reply.state)
        if step != TrialStep.TRIAL_STEP_BEGIN:
            self._judge_trial(request)
        return reply.granted

    async def _call_judge(self, method, request, reply_type):
        """Return the judge's answer; None if this host has to judge itself."""
        own = self._view.own
        judge = self._view.list_members(own.data_centre, with_leaving=True)[0]
        if judge.name == own.name:
            return None
        channel = self._channels.get(judge.address)
        try:
            return await channel.call(method, request, reply_type, CALL_TIMEOUT)
        except (ChannelError, CallError):
            return None

    async def _judge_crash(self, report):
        # Other hosts that lost requests by the same crash report them now.
        self._quarantine.note_crash(report.endpoint, report.fingerprints)
        await curio.sleep(COLLECT_SECONDS)
        self._quarantine.condemn_suspects(report.endpoint)
        return self._quarantine.export()

    def _judge_trial(self, request):
        names = (request.fingerprint, request.endpoint)
        if request.step == TrialStep.TRIAL_STEP_BEGIN:
            return self._quarantine.begin_trial(*names)
        answered = request.step == TrialStep.TRIAL_STEP_ANSWERED
        self._quarantine.end_trial(*names, answered)
        return False

    async def _serve_report(self, request, context):
        await context.send(await self._judge_crash(request))

    async def _serve_trial(self, request, context):
        granted = self._judge_trial(request)
        await context.send(TrialReply(granted=granted, state=self._quarantine.export()))

    async def _serve_reach(self, request, context):
        endpoint = self._endpoints.get(request.endpoint)
        reached = endpoint is not None and await _connects(endpoint)
        await context.send(ReachReply(reached=reached))

    async def _show(self, exchange):
        state = self._quarantine.export()
        value = {
            "suspects": [row.fingerprint for row in state.suspects],
            "condemned": [
                {"fingerprint": row.fingerprint, "seconds_left": row.seconds_left}
                for row in state.condemned
            ],
        }
        headers = Headers([("Content-Type", "application/json")])
        await exchange.respond(200, headers, orjson.dumps(value))


def _is_watched(call):
    # A plain service's calls may be alike without being the same request.
    return call.route.kind is RouteKind.MODEL


async def _is_dead(endpoint):
    """Return whether nothing listens at the endpoint's address any more."""
    for pause in PROBE_PAUSES:
        await curio.sleep(pause)
        if await _refuses(endpoint):
            return True
    return False


async def _refuses(endpoint):
    try:
        await _try_connect(endpoint)
    except ConnectionRefusedError:
        return True
    except (OSError, curio.TaskTimeout):
        return False
    return False


async def _connects(endpoint):
    try:
        await _try_connect(endpoint)
    except (OSError, curio.TaskTimeout):
        return False
    return True


async def _try_connect(endpoint):
    host, _, port = endpoint.address.rpartition(":")
    async with curio.timeout_after(PROBE_TIMEOUT):
        sock = await curio.open_connection(host, int(port))
    await sock.close()
