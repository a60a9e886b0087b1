"""Refusals: what a caller is told when a request is not served."""

import enum
import math

import orjson
from attrs import field, frozen

from .errors import MangogaugeError
from .http import Headers

__all__ = [
    "Refusal",
    "RefusalCode",
    "RefusalKind",
    "make_request_refusal",
    "render_refusal",
]

BUSY_RETRY_SECONDS = 1.0


@frozen
class RefusalKind:
    """Status and whether waiting helps."""

    status = field()
    code = field()


class RefusalCode(enum.Enum):
    """Stable codes; their statuses follow HTTP's meaning."""

    MALFORMED = RefusalKind(400, "malformed_request")
    KEY_MISSING = RefusalKind(401, "key_missing")
    KEY_UNKNOWN = RefusalKind(401, "key_unknown")
    KEY_WITHDRAWN = RefusalKind(401, "key_withdrawn")
    ROUTE_FORBIDDEN = RefusalKind(403, "route_forbidden")
    ROUTE_UNKNOWN = RefusalKind(404, "route_unknown")
    MODEL_UNKNOWN = RefusalKind(404, "model_unknown")
    NOT_FOUND = RefusalKind(404, "not_found")
    METHOD_FORBIDDEN = RefusalKind(405, "method_forbidden")
    REQUEST_TIMEOUT = RefusalKind(408, "request_timeout")
    CONFLICT = RefusalKind(409, "conflict")
    TOO_LARGE = RefusalKind(413, "too_large")
    RATE_EXCEEDED = RefusalKind(429, "rate_exceeded")
    QUARANTINED = RefusalKind(422, "request_quarantined")
    INTERNAL = RefusalKind(500, "internal_error")
    ENDPOINT_FAILED = RefusalKind(502, "endpoint_failed")
    OUTCOME_UNKNOWN = RefusalKind(502, "outcome_unknown")
    CONFIGURATION_STALE = RefusalKind(503, "configuration_stale")
    OVERLOADED = RefusalKind(503, "overloaded")
    KEYS_STALE = RefusalKind(503, "keys_stale")
    NO_ENDPOINT = RefusalKind(503, "no_endpoint")
    PLATFORM_AWAY = RefusalKind(503, "platform_away")
    REQUEST_SUSPECTED = RefusalKind(503, "request_suspected")
    SHUTTING_DOWN = RefusalKind(503, "shutting_down")
    DEADLINE_EXCEEDED = RefusalKind(504, "deadline_exceeded")


class Refusal(MangogaugeError):
    """A request is refused.

    Parameters
    ----------
    code : RefusalCode
    message : str
        One sentence for the caller.
    executed : str, optional
        ``"no"`` if it certainly was not run, else ``"unknown"``.
    retry_after : float, optional
        Seconds after which asking again may help; None if it won't.
    """

    def __init__(
        self, code, message, *, executed="no", retry_after=None, step="", peer=""
    ):
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.executed = executed
        self.retry_after = retry_after

    @property
    def status(self):
        """HTTP status."""
        return self.code.value.status


# What a request that can't be read is refused by, where it isn't malformed.
CODES_BY_STATUS = {
    408: RefusalCode.REQUEST_TIMEOUT,
    413: RefusalCode.TOO_LARGE,
    503: RefusalCode.OVERLOADED,
}


def make_request_refusal(error):
    """Return the `Refusal` for an `HTTPRequestError`: the request wasn't read whole."""
    code = CODES_BY_STATUS.get(error.status, RefusalCode.MALFORMED)
    return Refusal(
        code,
        error.message,
        retry_after=BUSY_RETRY_SECONDS if code is RefusalCode.OVERLOADED else None,
        step=error.step,
        peer=error.peer,
    )


def render_refusal(refusal, request_id):
    """Return the header fields and body that tell a caller."""
    headers = Headers([("Content-Type", "application/json")])
    headers.add("X-Request-Id", request_id)
    error = {
        "code": refusal.code.value.code,
        "message": refusal.message,
        "type": "refusal",
        "request_id": request_id,
        "executed": refusal.executed,
    }
    if refusal.retry_after is not None and math.isfinite(refusal.retry_after):
        error["retry_after"] = round(refusal.retry_after, 3)
        headers.add("Retry-After", str(max(1, math.ceil(refusal.retry_after))))
    if refusal.status == 401:
        headers.add("WWW-Authenticate", "Bearer")
    return headers, orjson.dumps({"error": error})
