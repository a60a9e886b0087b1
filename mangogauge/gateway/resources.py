"""Paths that a host serves itself rather than passing them on."""

from abc import ABC, abstractmethod

import orjson

from ..http import Headers

__all__ = ["Resource", "send_json"]


class Resource(ABC):
    """A part of the callers' port that is served by the host.

    Attributes
    ----------
    name : str
        Label in logs and metrics.
    settings : FleetSettings or None
        The newest settings.
    """

    name = ""
    settings = None

    def set_settings(self, settings):
        """Take newer settings."""
        self.settings = settings

    @abstractmethod
    def matches(self, path):
        """Return whether `path` belongs to this resource."""

    @abstractmethod
    async def serve(self, exchange, account, request_id):
        """Answer, or raise `Refusal`."""


async def send_json(exchange, value, request_id, status=200):
    """Answer with `value` as JSON."""
    headers = Headers([("Content-Type", "application/json")])
    headers.add("X-Request-Id", request_id)
    await exchange.respond(status, headers, orjson.dumps(value))
