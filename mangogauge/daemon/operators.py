"""The operators' port: health, metrics and the state of the host."""

import hmac

from ..gateway.resources import send_json
from ..http import Headers, HTTPServer

__all__ = ["OperatorPort"]

OPEN_PATHS = frozenset({"/healthz", "/readyz"})


class OperatorPort:
    """Serves operators and their tools.

    Parameters
    ----------
    host : Host
    secret : str
        The operators' secret; all but health checks ask for it.
    """

    def __init__(self, host, secret):
        self._host = host
        self._secret = secret
        self._handlers = {
            "/healthz": self._show_health,
            "/readyz": self._show_readiness,
            "/metrics": self._show_metrics,
            "/state": self._show_state,
            "/keys/uses": self._show_key_uses,
        }
        self.server = HTTPServer(self.handle)

    def add_handler(self, path, handler):
        """Serve `path` by an async callable that takes the exchange."""
        self._handlers[path] = handler

    async def handle(self, exchange):
        """Serve one request."""
        if exchange.path not in OPEN_PATHS and not self._is_operator(exchange):
            await send_json(exchange, {"error": "The secret is needed."}, "", 401)
            return
        handler = self._handlers.get(exchange.path)
        if handler is None:
            await send_json(exchange, {"error": "There is no such path."}, "", 404)
            return
        await handler(exchange)

    def _is_operator(self, exchange):
        given = exchange.headers.get("authorization", "")
        return hmac.compare_digest(given.encode(), f"Bearer {self._secret}".encode())

    async def _show_health(self, exchange):
        await send_json(exchange, {"alive": True}, "")

    async def _show_readiness(self, exchange):
        status = 200 if self._host.ready else 503
        await send_json(exchange, {"ready": self._host.ready}, "", status)

    async def _show_metrics(self, exchange):
        headers = Headers([("Content-Type", "text/plain; version=0.0.4")])
        await exchange.respond(200, headers, self._host.metrics.render())

    async def _show_state(self, exchange):
        host = self._host
        value = {
            "host": host.member.name,
            "data_centre": host.member.data_centre,
            "incarnation": host.member.incarnation,
            "ready": host.ready,
            "draining": host.draining,
            "configuration_version": host.fleet.version if host.fleet else 0,
            "positions": host.distributor.positions,
            "keys_age": round(host.trust.age, 3),
            "members": [member.name for member in host.view.list_members()],
            "hosts": [_show_member(m) for m in host.view.list_members()],
            "endpoints": [_show_endpoint(e) for e in _list_endpoints(host)],
        }
        await send_json(exchange, value, "")

    async def _show_key_uses(self, exchange):
        await send_json(exchange, self._host.ring.get_last_uses(), "")


def _list_endpoints(host):
    return host.fleet.endpoints.values() if host.fleet else ()


def _show_member(member):
    return {
        "name": member.name,
        "data_centre": member.data_centre,
        "peer_address": member.address,
        "incarnation": member.incarnation,
    }


def _show_endpoint(endpoint):
    return {
        "name": endpoint.name,
        "data_centre": endpoint.data_centre,
        "kind": endpoint.kind.value,
        "address": endpoint.address,
        "models": list(endpoint.models),
        "slots": endpoint.slots,
    }
