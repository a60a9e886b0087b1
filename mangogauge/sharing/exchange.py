"""Exchange reports and summaries with the other hosts by UDP."""

import curio
from attrs import evolve, field, frozen

from ..supervision import keep_running
from ..telemetry import get_logger
from ..ticks import measure_to_tick, sleep_to_tick
from .changenews import ChangeNews
from .copynews import CopyNews
from .datagrams import DATAGRAM_BYTES, DatagramSocket
from .messages import REBROADCAST_MARK, decode, join
from .pacing import ReportPacing, compute_read_delay
from .reports import HostReport, ReportError
from .summing import age_copies

__all__ = ["ReportExchange"]

# Interval of reports while nothing changes.
IDLE_REPORT_SECONDS = 0.25
# Interval at which an aggregator sends its data centre's summary.
SUMMARY_SECONDS = 0.15
# Summaries of other data centres received within this time are rebroadcast together.
REBROADCAST_SECONDS = 0.05
# Interval at which a host that is no aggregator checks whether it has become one.
ROLE_CHECK_SECONDS = 0.3
# How long reports are sent to an unregistered host after its last report.
UNREGISTERED_SECONDS = 1.5
# Datagrams that waited for less are taken as just received, which costs nothing.
LEAST_WAIT_SECONDS = 0.1

log = get_logger("sharing")


@frozen
class _UnregisteredHost:
    """Address, and elapsed time of the last report, of an unregistered host."""

    address = field()
    received_at = field()


class ReportExchange:
    """Exchanges reports with the other hosts.

    Reports go to registered hosts, and to hosts that have just reported though their
    registration isn't known here yet: so a host that starts gets reports as soon as
    its own first report arrives.

    Parameters
    ----------
    report_table : ReportTable
    members : MemberDirectory
    topology : ReportTopology
    clock : Clock
    make_report : callable
        Returns this host's next `HostReport`.
    make_summary : callable
        Returns the `DataCentreSummary` of this host's data centre.
    on_report : async callable
        Called with each `HostReport` that is newer than the one before.
    on_summary : async callable
        Called with each `DataCentreSummary` that is newer than the one before.
    on_news : dict of type to async callable
        Called with each message of the type.
    """

    def __init__(
        self,
        report_table,
        members,
        topology,
        clock,
        make_report,
        make_summary,
        on_report,
        on_summary,
        on_news,
    ):
        self._report_table = report_table
        self._members = members
        self._topology = topology
        self._make_report = make_report
        self._make_summary = make_summary
        self._on_report = on_report
        self._on_summary = on_summary
        self._on_news = on_news
        self._socket = DatagramSocket()
        self._clock = clock
        self._pacing = ReportPacing(clock)
        self._unregistered = {}
        self._changed = curio.Event()
        # By data centre, the last encoded summary that is to be rebroadcast.
        self._pending_summaries = {}
        self._has_pending_summaries = curio.Event()

    @property
    def port(self):
        """Number of the port at which reports are received."""
        return self._socket.port

    def bind(self, address, ports):
        """Bind the first free port of `ports`.

        Raises
        ------
        OSError
            If no port is free.
        """
        self._socket.bind(address, ports)

    async def note_change(self):
        """Send a report soon, because a count has changed."""
        if not self._changed.is_set():
            await self._changed.set()

    async def send(self, data, addresses):
        """Send a datagram to each of these addresses."""
        await self._socket.send(data, addresses)

    async def run(self):
        """Send and receive until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            for run in (
                self._receive,
                self._send_reports,
                self._send_summaries,
                self._rebroadcast_summaries,
            ):
                await group.spawn(keep_running, run.__qualname__, run)

    async def _receive(self):
        while True:
            datagrams = [await self._socket.read()]
            while datagrams:
                for datagram in datagrams:
                    await self._handle_datagram(datagram)
                datagrams = await self._read_pending()

    async def _read_pending(self):
        """Return what arrives during the read delay; empty if there is no delay."""
        others = len(self._members.list_others())
        delay = compute_read_delay(others, self._members.own.runs_batch)
        if not delay:
            return []
        await curio.sleep(delay)
        return self._socket.read_pending()

    async def _handle_datagram(self, datagram):
        """Handle the messages of one `Datagram`."""
        data, address = datagram.data, datagram.address
        encoded = data.removeprefix(REBROADCAST_MARK)
        try:
            messages = decode(encoded)
        except ReportError as error:
            log.warning(
                "datagram dropped", extra={"peer": address, "reason": str(error)}
            )
            return
        for message in messages:
            if isinstance(message, HostReport):
                await self._handle_report(_age(message, datagram), address)
                continue
            if isinstance(message, (CopyNews, ChangeNews)):
                message = _age(message, datagram)
            if type(message) in self._on_news:
                await self._on_news[type(message)](message)
                continue
            if data.startswith(REBROADCAST_MARK):
                self._pending_summaries[message.totals.data_centre] = encoded
                await self._has_pending_summaries.set()
            await self._handle_summary(_age_summary(message, datagram))

    async def _handle_report(self, report, address):
        await self._track_sender(report, address)
        if not self._topology.accepts_reports(report.host):
            return
        if self._report_table.merge_report(report):
            await self._on_report(report)

    async def _handle_summary(self, summary):
        if summary.totals.data_centre == self._members.own.data_centre:
            return
        if self._report_table.merge_summary(summary):
            await self._on_summary(summary)

    async def _track_sender(self, report, address):
        """Remember the sender of a report if its registration isn't known here yet."""
        member = self._members.get(report.host)
        if member is not None and member.address == address:
            self._unregistered.pop(report.host, None)
            return
        if report.host == self._report_table.host:
            return
        if report.host not in self._unregistered:
            log.info("report of an unregistered host", extra={"peer": report.host})
            await self.note_change()
        self._unregistered[report.host] = _UnregisteredHost(
            address, self._clock.read_elapsed()
        )

    async def _send_reports(self):
        while True:
            async with curio.ignore_after(measure_to_tick(IDLE_REPORT_SECONDS)):
                await self._changed.wait()
            hosts = len(self._list_report_targets())
            await curio.sleep(self._pacing.measure_wait(hosts))
            self._changed.clear()
            self._pacing.note_sent()
            await self._socket.send(
                self._make_report().to_bytes(), self._list_report_targets()
            )

    async def _send_summaries(self):
        """Send this data centre's summary to the others while an aggregator."""
        while True:
            if not self._topology.is_aggregator:
                await sleep_to_tick(ROLE_CHECK_SECONDS)
                continue
            await sleep_to_tick(SUMMARY_SECONDS)
            data = REBROADCAST_MARK + self._make_summary().to_bytes()
            await self._socket.send(data, self._topology.list_summary_targets())

    async def _rebroadcast_summaries(self):
        """Rebroadcast other data centres' summaries within this one, several at once.

        Notes
        -----
        Each data centre sends several summaries a second, and each datagram wakes up
        every host that receives it.
        """
        while True:
            await self._has_pending_summaries.wait()
            await curio.sleep(REBROADCAST_SECONDS)
            self._has_pending_summaries.clear()
            summaries, self._pending_summaries = (
                list(self._pending_summaries.values()),
                {},
            )
            for data in join(summaries, DATAGRAM_BYTES):
                await self._socket.send(data, self._topology.list_rebroadcast_targets())

    def _list_report_targets(self):
        """Return the addresses that reports are sent to, each once."""
        cutoff = self._clock.read_elapsed() - UNREGISTERED_SECONDS
        for name in [
            n for n, host in self._unregistered.items() if host.received_at < cutoff
        ]:
            del self._unregistered[name]
        registered = self._topology.list_report_targets()
        unregistered = [host.address for host in self._unregistered.values()]
        return list(dict.fromkeys(registered + unregistered))


def _age(report, datagram):
    """Return a report whose copies are older by the time that its datagram waited.

    Notes
    -----
    A process that has been suspended reads reports of before as if they had just come.
    """
    if datagram.waited < LEAST_WAIT_SECONDS:
        return report
    return age_copies(report, datagram.waited)


def _age_summary(summary, datagram):
    if datagram.waited < LEAST_WAIT_SECONDS:
        return summary
    return evolve(
        summary,
        totals=_age(summary.totals, datagram),
        runners=[_age(report, datagram) for report in summary.runners],
    )
