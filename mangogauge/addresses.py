"""Addresses of the form ``host:port``, the host by IP number."""

from ipaddress import IPv4Address

__all__ = ["parse_address"]

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_address(text):
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        If it is none that a connection can be made to.

    Examples
    --------
    >>> parse_address("192.0.2.1:80")
    ('192.0.2.1', 80)
    """
    if type(text) is not str:
        raise ValueError("an address must be a text")
    host, _, port = text.rpartition(":")
    IPv4Address(host)
    is_short = 0 < len(port) <= MAX_PORT_DIGITS
    if not (is_short and port.isascii() and port.isdecimal()):
        raise ValueError("an address must end with a port")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{port} is no port")
    return host, int(port)
