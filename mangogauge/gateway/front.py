"""Serve callers: find the route, check the key and the rate, dispatch."""

import uuid

from ..http import HTTPError, HTTPRequestError
from ..settings import RouteKind
from ..telemetry import get_logger
from .calls import Call
from .refusals import Refusal, RefusalCode, render_refusal
from .routes import RouteTable
from .sinks import ExchangeSink

__all__ = ["Front"]

DEADLINE_HEADER = "x-deadline-ms"
PRIVATE_HEADERS = ("authorization", "host", "content-length", DEADLINE_HEADER)
STATUS_CODES = {413: RefusalCode.TOO_LARGE}

log = get_logger("front")


class Front:
    """Handles the exchanges of the callers' port.

    Parameters
    ----------
    ring : KeyRing
    limiter : Limiter
    dispatcher : Dispatcher
    clock : Clock
    metrics : HostMetrics
    resources : list of Resource, optional
        Paths that the host serves itself, such as files and batches.
    """

    def __init__(self, ring, limiter, dispatcher, clock, metrics, resources=()):
        self._ring = ring
        self._limiter = limiter
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._resources = list(resources)
        self._routes = RouteTable()
        self._settings = None

    def set_settings(self, settings):
        """Take new settings."""
        self._settings = settings
        self._routes = RouteTable(settings.routes.values())

    async def handle(self, exchange):
        """Serve one request."""
        started = self._clock.read_elapsed()
        request_id = exchange.headers.get("x-request-id") or uuid.uuid4().hex
        labels = _Labels()
        outcome = "answered"
        try:
            await self._serve(exchange, request_id, labels)
        except Refusal as refusal:
            outcome = refusal.code.value.code
            await self._refuse(exchange, request_id, refusal, labels)
        except HTTPRequestError as error:
            outcome = "malformed"
            code = STATUS_CODES.get(error.status, RefusalCode.MALFORMED)
            refusal = Refusal(code, error.message, step=error.step, peer=error.peer)
            await self._refuse(exchange, request_id, refusal, labels)
        except HTTPError as error:
            # The caller has part of an answer; ending the connection without
            # the last chunk is the one way to tell that it is not whole.
            outcome = "broken"
            self._log(request_id, labels, "answer broke off", reason=str(error))
            raise ConnectionAbortedError(str(error)) from error
        finally:
            seconds = self._clock.read_elapsed() - started
            self._observe(labels, outcome, seconds)

    async def _serve(self, exchange, request_id, labels):
        if self._settings is None:
            raise Refusal(
                RefusalCode.SHUTTING_DOWN, "The host is starting.", retry_after=1.0
            )
        for resource in self._resources:
            if resource.matches(exchange.path):
                record = self._authenticate(exchange)
                labels.account, labels.route = record.account, resource.name
                await resource.serve(exchange, record.account, request_id)
                return
        route = self._find_route(exchange)
        labels.route = route.name
        labels.account = self._identify(exchange, route)
        self._admit(labels.account)
        call = await self._read_call(exchange, request_id, route, labels.account)
        await self._dispatcher.dispatch(call, ExchangeSink(exchange, request_id))

    def _find_route(self, exchange):
        route = self._routes.find(exchange.path)
        if route is None:
            raise Refusal(RefusalCode.ROUTE_UNKNOWN, "There is no such route.")
        if route.methods and exchange.method not in route.methods:
            raise Refusal(
                RefusalCode.METHOD_FORBIDDEN,
                f"{exchange.method} is not passed on for this route.",
            )
        return route

    def _identify(self, exchange, route):
        """Return the client account's name; empty on an open route."""
        if route.open:
            return ""
        record = self._authenticate(exchange)
        if route.accounts and record.account not in route.accounts:
            raise Refusal(
                RefusalCode.ROUTE_FORBIDDEN, "This key may not use this route."
            )
        return record.account

    def _authenticate(self, exchange):
        scheme, _, key = exchange.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise Refusal(
                RefusalCode.KEY_MISSING, "A key is needed: Authorization: Bearer KEY."
            )
        record = self._ring.find(key.strip())
        if record is None:
            raise Refusal(RefusalCode.KEY_UNKNOWN, "This key does not work.")
        return record

    def _admit(self, account):
        if not account:
            return
        admission = self._limiter.admit(account)
        if not admission.admitted:
            raise Refusal(
                RefusalCode.RATE_EXCEEDED,
                "The client account's rate is used up.",
                retry_after=admission.retry_after,
                step="admit",
            )

    async def _read_call(self, exchange, request_id, route, account):
        deadline = self._read_deadline(exchange, route)
        body = await exchange.read_body()
        headers = exchange.headers.without_hop_by_hop()
        headers.remove(*PRIVATE_HEADERS)
        call = Call(
            request_id=request_id,
            account=account,
            route=route,
            method=exchange.method,
            target=exchange.target,
            headers=headers,
            body=body,
            deadline=deadline,
            repeatable=exchange.method in route.repeatable,
        )
        if route.kind is RouteKind.MODEL:
            self._read_model(call)
        return call

    def _read_deadline(self, exchange, route):
        seconds = route.deadline
        given = exchange.headers.get(DEADLINE_HEADER)
        if given is not None:
            if not given.isdigit() or int(given) == 0:
                raise Refusal(
                    RefusalCode.MALFORMED,
                    "X-Deadline-Ms must be a whole number of milliseconds above 0.",
                )
            seconds = min(seconds, int(given) / 1000)
        return self._clock.read_elapsed() + seconds

    def _read_model(self, call):
        try:
            call.read_body()
        except (ValueError, KeyError, TypeError, AttributeError):
            raise Refusal(
                RefusalCode.MALFORMED, "The body must be JSON with a 'model'."
            ) from None
        model = self._settings.models.get(call.model)
        if model is None or (model.accounts and call.account not in model.accounts):
            raise Refusal(
                RefusalCode.MODEL_UNKNOWN, f"There is no model {call.model!r} here."
            )

    async def _refuse(self, exchange, request_id, refusal, labels):
        code = refusal.code.value.code
        self._metrics.refusals.labels(labels.route, labels.account, code).inc()
        self._log(request_id, labels, "refused", code=code, step=refusal.step)
        if exchange.response_started:
            raise ConnectionAbortedError(refusal.message)
        headers, body = render_refusal(refusal, request_id)
        await exchange.respond(refusal.status, headers, body)

    def _observe(self, labels, outcome, seconds):
        names = (labels.route, labels.account)
        self._metrics.requests.labels(*names, outcome).inc()
        self._metrics.duration.labels(*names).observe(seconds)

    def _log(self, request_id, labels, message, **extra):
        log.info(
            message,
            extra={
                "request_id": request_id,
                "client_account": labels.account,
                "route": labels.route,
                **extra,
            },
        )


class _Labels:
    """Route and account of an exchange, as far as they are known."""

    def __init__(self):
        self.route = ""
        self.account = ""
