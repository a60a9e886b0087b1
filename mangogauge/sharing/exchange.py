"""Send this host's report to the others, and take in theirs, by datagrams."""

import curio
from attrs import field, frozen

from ..supervision import keep_running
from ..telemetry import get_logger
from ..ticks import measure_to_tick, sleep_to_tick
from .datagrams import DATAGRAM_BYTES, DatagramSocket
from .messages import PASS_ON, decode, join
from .pacing import ReportPacing, compute_hearing_pause
from .reports import HostReport, ReportError

__all__ = ["ReportExchange"]

# How often a host reports even if nothing has changed.
IDLE_SECONDS = 0.25
# How often a host that speaks for its data centre does so.
SUMMARY_SECONDS = 0.15
# Summaries of other data centres that come within this time are passed on together.
PASS_ON_SECONDS = 0.05
# How often a host looks whether it is one that speaks.
LOOK_SECONDS = 0.3
# How long a host that isn't known to be registered is told after it was heard.
STRANGER_SECONDS = 1.5

log = get_logger("sharing")


@frozen
class _Stranger:
    """Where a host reports from whose registration isn't known, and since when."""

    address = field()
    heard_at = field()


class ReportExchange:
    """Exchanges reports with the other hosts.

    Reports go to all that are registered, and to those that have just been heard
    though this host doesn't know of their registration yet: a host that starts
    hears the others as soon as they hear it.

    Parameters
    ----------
    board : ReportTable
    members : MemberDirectory
    topology : ReportTopology
    clock : Clock
    make_report : callable
        Returns this host's next `HostReport`.
    make_summary : callable
        Returns the `DataCentreSummary` of this host's data centre.
    on_report : async callable
        Called with each `HostReport` that was news.
    on_summary : async callable
        Called with each `DataCentreSummary` that was news.
    """

    def __init__(
        self,
        board,
        members,
        topology,
        clock,
        make_report,
        make_summary,
        on_report,
        on_summary,
    ):
        self._board = board
        self._members = members
        self._topology = topology
        self._make_report = make_report
        self._make_summary = make_summary
        self._on_report = on_report
        self._on_summary = on_summary
        self._socket = DatagramSocket()
        self._clock = clock
        self._pacing = ReportPacing(clock)
        self._strangers = {}
        self._changed = curio.Event()
        # The last encoded summary of each other data centre that is to be passed on.
        self._passed = {}
        self._has_passed = curio.Event()

    @property
    def port(self):
        """The port that reports are taken at."""
        return self._socket.port

    def bind(self, address, ports):
        """Bind the first free port of `ports`.

        Raises
        ------
        OSError
            If none is free.
        """
        self._socket.bind(address, ports)

    async def note_change(self):
        """Report soon: a count has changed."""
        if not self._changed.is_set():
            await self._changed.set()

    async def run(self):
        """Send and receive until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            for run in (self._receive, self._send, self._send_summaries, self._pass_on):
                await group.spawn(keep_running, run.__qualname__, run)

    async def _receive(self):
        while True:
            found = [await self._socket.read()]
            while found:
                for data, address in found:
                    await self._take(data, address)
                found = await self._gather()

    async def _gather(self):
        """Return the datagrams that come within the next moment, if many are heard."""
        others = len(self._members.list_others())
        pause = compute_hearing_pause(others, self._members.own.runs_batch)
        if not pause:
            return []
        await curio.sleep(pause)
        return self._socket.read_waiting()

    async def _take(self, data, address):
        """Take in one datagram."""
        encoded = data.removeprefix(PASS_ON)
        try:
            messages = decode(encoded)
        except ReportError as error:
            log.warning(
                "datagram dropped", extra={"peer": address, "reason": str(error)}
            )
            return
        for message in messages:
            if isinstance(message, HostReport):
                await self._take_report(message, address)
                continue
            if data.startswith(PASS_ON):
                self._passed[message.totals.data_centre] = encoded
                await self._has_passed.set()
            await self._take_summary(message)

    async def _take_report(self, report, address):
        await self._note_sender(report, address)
        if not self._topology.accepts_reports(report.host):
            return
        if self._board.merge_report(report):
            await self._on_report(report)

    async def _take_summary(self, summary):
        if summary.totals.data_centre == self._members.own.data_centre:
            return
        if self._board.merge_summary(summary):
            await self._on_summary(summary)

    async def _note_sender(self, report, address):
        """Remember a host whose registration isn't known here yet."""
        member = self._members.get(report.host)
        if member is not None and member.address == address:
            self._strangers.pop(report.host, None)
            return
        if report.host == self._board.host:
            return
        if report.host not in self._strangers:
            log.info("host heard first", extra={"peer": report.host})
            await self.note_change()
        self._strangers[report.host] = _Stranger(address, self._clock.read_elapsed())

    async def _send(self):
        while True:
            async with curio.ignore_after(measure_to_tick(IDLE_SECONDS)):
                await self._changed.wait()
            hosts = len(self._list_report_targets())
            await curio.sleep(self._pacing.measure_wait(hosts))
            self._changed.clear()
            self._pacing.note_sent()
            await self._socket.send(
                self._make_report().to_bytes(), self._list_report_targets()
            )

    async def _send_summaries(self):
        """Tell the other data centres how this one stands, while that is up to it."""
        while True:
            if not self._topology.is_aggregator:
                await sleep_to_tick(LOOK_SECONDS)
                continue
            await sleep_to_tick(SUMMARY_SECONDS)
            data = PASS_ON + self._make_summary().to_bytes()
            await self._socket.send(data, self._topology.list_summary_targets())

    async def _pass_on(self):
        """Pass other data centres' summaries on to the hosts near by, several at once.

        Notes
        -----
        They come from each data centre several times a second, and each datagram
        wakes each of these hosts.
        """
        while True:
            await self._has_passed.wait()
            await curio.sleep(PASS_ON_SECONDS)
            self._has_passed.clear()
            summaries, self._passed = list(self._passed.values()), {}
            for data in join(summaries, DATAGRAM_BYTES):
                await self._socket.send(data, self._topology.list_relay_targets())

    def _list_report_targets(self):
        """Return where reports go, each address once."""
        oldest = self._clock.read_elapsed() - STRANGER_SECONDS
        for name in [n for n, s in self._strangers.items() if s.heard_at < oldest]:
            del self._strangers[name]
        known = self._topology.list_report_targets()
        unknown = [stranger.address for stranger in self._strangers.values()]
        return list(dict.fromkeys(known + unknown))
