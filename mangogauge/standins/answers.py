"""JSON answers shared by the stand-ins."""

import orjson

from ..http import Headers

__all__ = ["read_json", "send_json"]


async def send_json(exchange, status, value):
    """Answer with `value` as JSON."""
    headers = Headers([("Content-Type", "application/json")])
    await exchange.respond(status, headers, orjson.dumps(value))


async def read_json(exchange):
    """Return the request's body as JSON; an empty body is an empty object."""
    return orjson.loads(await exchange.read_body() or b"{}")
