"""States of the path from a host to one endpoint, and their transitions."""

import enum

__all__ = ["NEXT_ON_FAILED_CONNECTION", "PathState"]


class PathState(enum.Enum):
    """How a host reaches an endpoint."""

    DIRECT = "direct"
    # A connection failed, and no peer that was asked has tried one of its own.
    SUSPECTED = "suspected"
    # Peers reach the endpoint, but this host doesn't.
    TUNNELLED = "tunnelled"
    # No peer that was asked reaches it either.
    LOST = "lost"


# Next states after a connection failed, by whichever path it was tried.
NEXT_ON_FAILED_CONNECTION = {
    PathState.DIRECT: PathState.SUSPECTED,
    PathState.SUSPECTED: PathState.SUSPECTED,
    PathState.TUNNELLED: PathState.SUSPECTED,
    PathState.LOST: PathState.LOST,
}
