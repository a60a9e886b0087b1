"""Judge the heads of callers' requests, and refuse what can't be handled."""

import uuid

import orjson

from .headers import Headers

__all__ = ["has_body", "has_short_body", "judge_head", "render_unreadable"]

SPOKEN_VERSIONS = frozenset({b"1.0", b"1.1"})
UNREADABLE_CODES = {
    408: "request_timeout",
    413: "too_large",
    431: "too_large",
    503: "overloaded",
}
# Seconds after which a caller may come again, by status.
RETRY_AFTER_SECONDS = {503: 1}


def judge_head(request, limits):
    """Return the status with which a request's head is refused, or 0.

    Parameters
    ----------
    request : h11.Request
    limits : ServerLimits
    """
    if request.http_version not in SPOKEN_VERSIONS:
        return 505
    if _measure_head(request) > limits.header_bytes:
        return 431
    return 400 if _is_framed_twice(request) else 0


def has_body(request):
    """Return whether a body follows a request's head."""
    names = {name for name, _ in request.headers}
    return b"content-length" in names or b"transfer-encoding" in names


def has_short_body(request, limit):
    """Return whether reading a body that nobody wants is cheap.

    Parameters
    ----------
    request : h11.Request
    limit : int
        Largest short body in bytes.
    """
    headers = Headers.from_raw(request.headers)
    length = headers.get("content-length")
    if "expect" in headers or length is None:
        return False
    return int(length) <= limit


def render_unreadable(status, message="", executed="no"):
    """Return header fields and body for a request that can't be handled."""
    request_id = uuid.uuid4().hex
    default = "internal_error" if status == 500 else "malformed_request"
    error = {
        "code": UNREADABLE_CODES.get(status, default),
        "message": message or "The request can't be read as HTTP/1.1.",
        "type": "refusal",
        "request_id": request_id,
        "executed": executed,
    }
    body = orjson.dumps({"error": error})
    headers = Headers(
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("X-Request-Id", request_id),
            ("Connection", "close"),
        ]
    )
    if status in RETRY_AFTER_SECONDS:
        headers.add("Retry-After", str(RETRY_AFTER_SECONDS[status]))
    return headers, body


def _measure_head(request):
    fields = sum(len(name) + len(value) for name, value in request.headers)
    return len(request.target) + fields


def _is_framed_twice(request):
    # A length beside an encoding is how requests are smuggled past a proxy.
    names = {name for name, _ in request.headers}
    return b"content-length" in names and b"transfer-encoding" in names
