"""A UDP socket for reports between hosts, read in groups of pending datagrams."""

import socket

import curio.io

from ..telemetry import get_logger

__all__ = ["DATAGRAM_BYTES", "DatagramSocket"]

DATAGRAM_BYTES = 65_000
# Limits one read, so that other tasks can run in between.
MAX_DATAGRAMS_PER_READ = 128

log = get_logger("sharing")


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
            self._raw = sock
            self._sock = curio.io.Socket(sock)
            return
        raise OSError(f"None of the ports {list(ports)} is free: {last_error}.")

    async def read(self):
        """Wait for a datagram; return its data and its sender's address."""
        data, sender = await self._sock.recvfrom(DATAGRAM_BYTES)
        return data, _format_address(sender)

    def read_pending(self):
        """Return the datagrams received so far, at most `MAX_DATAGRAMS_PER_READ`.

        Returns
        -------
        list of (bytes, str)
            Data and sender's address of each; empty if none is pending.
        """
        datagrams = []
        try:
            while len(datagrams) < MAX_DATAGRAMS_PER_READ:
                data, sender = self._raw.recvfrom(DATAGRAM_BYTES)
                datagrams.append((data, _format_address(sender)))
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


def _format_address(sender):
    return f"{sender[0]}:{sender[1]}"
