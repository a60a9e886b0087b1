"""Bounds on what one connection may ask of a server, and on what a server may send."""

from attrs import field, frozen

from .buffers import BufferBudget

__all__ = ["ClientLimits", "ServerLimits"]


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
    buffered_bytes : int
        What the bodies of all requests may hold in memory together, in bytes.
    """

    header_bytes = field(default=32_768)
    body_bytes = field(default=8_388_608)
    header_timeout = field(default=60.0)
    body_timeout = field(default=30.0)
    write_timeout = field(default=60.0)
    connections = field(default=4096)
    buffered_bytes = field(default=67_108_864)


@frozen
class ClientLimits:
    """Bounds on what a server may send in return for one request.

    Parameters
    ----------
    head_bytes : int
        Largest head, chunk header or trailer part, in bytes.
    interim_answers : int
        Most answers with a status below 200 before the final one.
    skipped_answers : int
        Most answers to other requests that are read past.
    skipped_bytes : int
        Largest body of such an answer, in bytes.
    body_bytes : int or None
        Largest body, in bytes; None for any.
    whole_bytes : int or None
        Largest body that is read whole into memory, in bytes; None for any.
    buffers : BufferBudget
        What unfinished answers hold in memory, on all connections with these limits.
    """

    head_bytes = field(default=32_768)
    interim_answers = field(default=16)
    skipped_answers = field(default=4)
    skipped_bytes = field(default=1_048_576)
    body_bytes = field(default=None)
    whole_bytes = field(default=8_388_608)
    buffers = field(factory=lambda: BufferBudget(16_777_216), eq=False)
