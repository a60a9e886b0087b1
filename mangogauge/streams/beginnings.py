"""Which process of an endpoint has begun a stream."""

from attrs import field, frozen

from .origins import StreamOrigin

__all__ = ["StreamBeginning", "is_same_process"]


@frozen
class StreamBeginning:
    """The endpoint that a stream began at, by an entry that may have been out of date.

    Parameters
    ----------
    endpoint : FleetEndpoint
        As this host's copy had it when the stream was sent there.
    connected_at : float
        Elapsed time at which the connection was made. A process has registered
        before, and answers on it until the connection ends.
    """

    endpoint = field()
    connected_at = field()


def is_same_process(endpoint, other):
    """Return whether two entries are of one process of an endpoint.

    Parameters
    ----------
    endpoint : FleetEndpoint
    other : FleetEndpoint or None
    """
    return (
        other is not None
        and endpoint.name == other.name
        and endpoint.start_time_ms == other.start_time_ms
        and StreamOrigin.of(endpoint) == StreamOrigin.of(other)
    )
