"""Bounds on what one connection may ask of a server."""

from attrs import field, frozen

__all__ = ["ServerLimits"]


@frozen
class ServerLimits:
    """Bounds on what one connection may ask for.

    Parameters
    ----------
    header_bytes : int
        Largest request head accepted, in bytes.
    body_bytes : int
        Largest request body that is read whole into memory, in bytes.
    header_timeout : float
        Seconds a caller has to send a request head, idle time included.
    body_timeout : float
        Seconds a caller may pause while it sends a body.
    write_timeout : float
        Seconds a caller may leave its receive window full.
    connections : int
        Largest number of connections open at once.
    """

    header_bytes = field(default=32_768)
    body_bytes = field(default=8_388_608)
    header_timeout = field(default=60.0)
    body_timeout = field(default=30.0)
    write_timeout = field(default=60.0)
    connections = field(default=4096)
