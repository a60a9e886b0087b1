"""What an endpoint's error statuses tell of how far a call got."""

from ..settings import RouteKind
from .progress import Progress

__all__ = ["find_failure"]

# An engine refuses before it admits a request to its batch. What a plain
# service did before it answered so is unknown.
FAILURES = {
    (RouteKind.MODEL, 429): Progress.NOT_RUN,
    (RouteKind.MODEL, 503): Progress.NOT_RUN,
    (RouteKind.MODEL, 500): Progress.MAYBE_RUN,
    (RouteKind.MODEL, 502): Progress.MAYBE_RUN,
    (RouteKind.MODEL, 504): Progress.MAYBE_RUN,
    (RouteKind.SERVICE, 429): Progress.MAYBE_RUN,
    (RouteKind.SERVICE, 502): Progress.MAYBE_RUN,
    (RouteKind.SERVICE, 503): Progress.MAYBE_RUN,
    (RouteKind.SERVICE, 504): Progress.MAYBE_RUN,
}


def find_failure(call, status):
    """Return the `Progress` of an answer that is worth another attempt.

    Parameters
    ----------
    call : Call
    status : int

    Returns
    -------
    Progress or None
        None if the answer is to be passed on as it is. That goes for every
        answer to a call that may not be repeated: the endpoint's own word is
        truer than a guess.
    """
    if not call.repeatable:
        return None
    return FAILURES.get((call.route.kind, status))
