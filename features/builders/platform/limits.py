"""What an endpoint that announces a limit may get, by the rule of the users' pages."""

__all__ = ["STABLE_SECONDS", "WINDOW_SECONDS", "allow_requests", "find_most"]

# From so long after an endpoint first named its limit, the rule holds.
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
# Hosts that have passed on such an answer count from half a second later. By twice
# that time each host here has passed one on.
HEARD_SECONDS = 1.0
TOLERANCE = 1.5
SPARE_REQUESTS = 5


def allow_requests(rate):
    """Return how many requests an endpoint may get within a window."""
    return TOLERANCE * rate * WINDOW_SECONDS + SPARE_REQUESTS


def find_most(times, named_at, ended_at=float("inf")):
    """Return the most requests in a window to which the rule applies.

    Parameters
    ----------
    times : iterable of float
        When requests came.
    named_at, ended_at : float
        When the endpoint first named its limit, and when it no longer did.
    """
    counted = sorted(t for t in times if named_at + HEARD_SECONDS <= t < ended_at)
    ends = [t for t in counted if t >= named_at + STABLE_SECONDS]
    return max(
        (sum(end - WINDOW_SECONDS < t <= end for t in counted) for end in ends),
        default=0,
    )
