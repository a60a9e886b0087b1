"""Send this host's report to the others, and take in theirs, by datagrams."""

import curio
from curio import socket

from ..telemetry import get_logger
from .pacing import ReportPacing
from .reports import HostReport, ReportError

__all__ = ["ReportExchange"]

DATAGRAM_BYTES = 65_000
# How often a host reports even if nothing has changed.
IDLE_SECONDS = 0.25

log = get_logger("sharing")


class ReportExchange:
    """Exchanges reports with the other hosts.

    Parameters
    ----------
    board : LoadBoard
    members : MemberDirectory
    clock : Clock
    make_report : callable
        Returns this host's next `HostReport`.
    on_report : callable
        Called with each `HostReport` that was news.
    """

    def __init__(self, board, members, clock, make_report, on_report):
        self._board = board
        self._members = members
        self._make_report = make_report
        self._on_report = on_report
        self._sock = None
        self._pacing = ReportPacing(clock)
        self._changed = curio.Event()

    @property
    def port(self):
        """The port that reports are taken at."""
        return self._sock.getsockname()[1]

    def bind(self, address, ports):
        """Bind the first free port of `ports`.

        Raises
        ------
        OSError
            If none is free.
        """
        for port in ports:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind((address, port))
            except OSError as error:
                failure = error
                continue
            self._sock = sock
            return
        raise OSError(f"No port is free of {list(ports)}: {failure}.")

    async def note_change(self):
        """Report soon: a count has changed."""
        if not self._changed.is_set():
            await self._changed.set()

    async def run(self):
        """Send and receive until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._receive)
            await group.spawn(self._send)

    async def _receive(self):
        while True:
            data, sender = await self._sock.recvfrom(DATAGRAM_BYTES)
            try:
                report = HostReport.from_bytes(data)
            except ReportError as error:
                log.warning(
                    "datagram dropped",
                    extra={"peer": f"{sender[0]}:{sender[1]}", "reason": str(error)},
                )
                continue
            if self._board.take_report(report):
                await self._on_report(report)

    async def _send(self):
        while True:
            async with curio.ignore_after(IDLE_SECONDS):
                await self._changed.wait()
            others = len(self._members.list_others())
            await curio.sleep(self._pacing.measure_wait(others))
            self._changed.clear()
            await self._send_report()

    async def _send_report(self):
        """Send a report to every other host now."""
        self._pacing.note_sent()
        data = self._make_report().to_bytes()
        for member in self._members.list_others():
            host, _, port = member.address.rpartition(":")
            try:
                await self._sock.sendto(data, (host, int(port)))
            except (OSError, ValueError) as error:
                log.debug(
                    "report not sent",
                    extra={"member": member.name, "reason": repr(error)},
                )
