"""Callers' requests and refusals, as the platform writes them."""

import orjson

from ..entry import CallerDialect, IncomingRequest
from ..http import Headers
from ..refusals import Refusal, RefusalCode
from .names import HEADERS
from .prompts import read_shared_parts

__all__ = ["PlatformCallers", "read_count", "select_passed"]

# What an endpoint must not see, or gets from this host alone.
PRIVATE_HEADERS = (
    HEADERS.key,
    HEADERS.account,
    HEADERS.patience,
    HEADERS.expected_endpoint,
    HEADERS.last_event,
    "Content-Length",
    "Expect",
)


class PlatformCallers(CallerDialect):
    """Reads requests and writes refusals."""

    def read_request(self, exchange):
        """Return the `IncomingRequest`."""
        fields = exchange.headers
        patience = read_count(fields, HEADERS.patience)
        return IncomingRequest(
            request_id=fields.get(HEADERS.request_id, ""),
            host=fields.get("host", ""),
            path=exchange.path,
            key=fields.get(HEADERS.key, ""),
            timeout=None if patience is None else patience / 1000,
            last_event=read_count(fields, HEADERS.last_event),
            resumed_id=fields.get(HEADERS.resumed, ""),
            headers=select_passed(fields),
            shared_parts=read_shared_parts(fields.get(HEADERS.prompt_parts, "")),
        )

    async def refuse(self, exchange, refusal, request_id):
        """Answer by a refusal."""
        headers = Headers([("Content-Type", "application/json")])
        if request_id:
            headers.add(HEADERS.request_id, request_id)
        if refusal.retry_after is not None:
            headers.add(HEADERS.retry_after, f"{refusal.retry_after:.3f}")
        error = {"code": refusal.code.value.code, "message": refusal.message}
        body = orjson.dumps({"error": error})
        await exchange.respond(refusal.status, headers, body)


def select_passed(fields):
    """Return a copy of a caller's header fields without those kept from endpoints."""
    passed = fields.without_hop_by_hop()
    passed.remove(*PRIVATE_HEADERS)
    return passed


def read_count(fields, name):
    """Return a header field's whole number, or None if it is absent.

    Raises
    ------
    Refusal
        If it is something else.
    """
    text = fields.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdecimal():
        raise Refusal(
            RefusalCode.MALFORMED, f"{name} must be a whole number, not {text!r}."
        )
    return int(text)
