"""Errors of calls between hosts."""

import enum

from ..errors import PeerError

__all__ = ["CallError", "CallStatus", "ChannelError"]


class CallStatus(enum.IntEnum):
    """The gRPC status codes that are in use here."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    UNAUTHENTICATED = 16


class ChannelError(PeerError):
    """The connection to the peer failed.

    Parameters
    ----------
    sent : bool
        Whether the call may have reached the peer.
    """

    def __init__(self, message, *, step="", peer="", sent=True):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class CallError(PeerError):
    """The peer answered with a status other than OK."""

    def __init__(self, status, message, *, step="", peer=""):
        super().__init__(message, step=step, peer=peer)
        self.status = status
