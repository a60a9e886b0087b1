"""A UDP socket for reports between hosts, read in groups of pending datagrams."""

import socket
import struct
import time

import curio.io
from attrs import field, frozen

from ..telemetry import get_logger

__all__ = ["DATAGRAM_BYTES", "Datagram", "DatagramSocket"]

DATAGRAM_BYTES = 65_000
# Limits one read, so that other tasks can run in between.
MAX_DATAGRAMS_PER_READ = 128
# Linux's option that stamps each datagram with the calendar time of its arrival.
SO_TIMESTAMPNS = getattr(socket, "SO_TIMESTAMPNS", 35)
TIMESTAMP = struct.Struct("@ll")
TIMESTAMP_SPACE_BYTES = socket.CMSG_SPACE(TIMESTAMP.size)
NANOSECONDS = 1e-9

log = get_logger("sharing")


@frozen
class Datagram:
    """A datagram that was received.

    Parameters
    ----------
    data : bytes
    address : str
        Its sender's.
    waited : float
        Seconds between its arrival at this host and its being read; long after this
        process has been suspended. 0 if unknown.
    """

    data = field()
    address = field()
    waited = field(default=0.0)


class DatagramSocket:
    """A UDP socket, bound to one of several ports."""

    def __init__(self):
        # The same socket twice: for non-blocking reads, and for curio.
        self._raw = None
        self._sock = None
        self._addresses = {}

    @property
    def port(self):
        """Number of the port that the socket is bound to."""
        return self._raw.getsockname()[1]

    def bind(self, address, ports):
        """Bind the first free port of `ports`.

        Raises
        ------
        OSError
            If no port is free.
        """
        for port in ports:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind((address, port))
            except OSError as error:
                sock.close()
                last_error = error
                continue
            _enable_timestamps(sock)
            self._raw = sock
            self._sock = curio.io.Socket(sock)
            return
        raise OSError(f"None of the ports {list(ports)} is free: {last_error}.")

    async def read(self):
        """Wait for a `Datagram`."""
        received = await self._sock.recvmsg(DATAGRAM_BYTES, TIMESTAMP_SPACE_BYTES)
        return _make_datagram(*received)

    def read_pending(self):
        """Return the datagrams received so far, at most `MAX_DATAGRAMS_PER_READ`.

        Returns
        -------
        list of Datagram
            Empty if none is pending.
        """
        datagrams = []
        try:
            while len(datagrams) < MAX_DATAGRAMS_PER_READ:
                received = self._raw.recvmsg(DATAGRAM_BYTES, TIMESTAMP_SPACE_BYTES)
                datagrams.append(_make_datagram(*received))
        except OSError:
            # None is pending, or the next `read` raises the same error.
            pass
        return datagrams

    async def send(self, data, addresses):
        """Send a datagram to each address; drop those that can't be sent."""
        for address in addresses:
            try:
                await self._sock.sendto(data, self._parse_address(address))
            except (OSError, ValueError, OverflowError, TypeError) as error:
                log.debug(
                    "datagram not sent", extra={"peer": address, "reason": repr(error)}
                )

    def _parse_address(self, address):
        parsed = self._addresses.get(address)
        if parsed is None:
            host, _, port = address.rpartition(":")
            parsed = self._addresses[address] = (host, int(port))
        return parsed


def _enable_timestamps(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    except OSError as error:
        log.info("datagrams are not timestamped", extra={"reason": repr(error)})


def _make_datagram(data, ancillary, flags, sender):
    address = f"{sender[0]}:{sender[1]}"
    return Datagram(data, address, _measure_wait(ancillary))


def _measure_wait(ancillary):
    """Return the seconds since a datagram's arrival; 0 if it bears no timestamp."""
    for level, kind, value in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESTAMP.unpack(value)
            return max(0.0, time.time() - seconds - nanoseconds * NANOSECONDS)
    return 0.0
