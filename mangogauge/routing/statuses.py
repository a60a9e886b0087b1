"""How far a call got, derived from the endpoint's error status."""

from ..settings import RouteKind
from .progress import Progress

__all__ = ["find_failure"]

# An engine refuses a request before admitting it to its batch. A plain service
# may have done any part of the work before it answered with an error.
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
    """Return the `Progress` behind an error answer that may be retried.

    Parameters
    ----------
    call : Call
    status : int

    Returns
    -------
    Progress or None
        None if the answer is passed on unchanged. This holds for every answer to
        a call that isn't repeatable: the endpoint's own answer is more accurate
        than a refusal with an inferred progress.
    """
    if not call.repeatable:
        return None
    return FAILURES.get((call.route.kind, status))
