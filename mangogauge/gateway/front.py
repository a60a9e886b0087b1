"""Serve callers: find the route, check the key and the rate, dispatch."""

import re
import uuid
from urllib.parse import unquote

import curio

from ..http import HTTPError, HTTPRequestError
from ..refusals import Refusal, RefusalCode, make_request_refusal, render_refusal
from ..settings import RouteKind
from ..telemetry import get_logger
from .calls import Call
from .routes import RouteTable
from .sinks import ExchangeSink

__all__ = ["Front"]

DEADLINE_HEADER = "x-deadline-ms"
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
DEADLINE_PATTERN = re.compile(r"[1-9][0-9]{0,9}")
DOT_SEGMENTS = frozenset({".", ".."})
# Fields that this connection, this host or its orders to endpoints own.
PRIVATE_HEADERS = (
    "authorization",
    "content-length",
    "expect",
    "host",
    "x-attempt-id",
    "x-resume-from",
    DEADLINE_HEADER,
)
IDEMPOTENCY_HEADER = "idempotency-key"
KEY_LIMIT = 255
FIRST_SERVER_ERROR = 500
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

log = get_logger("front")


class Front:
    """Handles the exchanges of the callers' port.

    Parameters
    ----------
    doorkeeper : Doorkeeper
        Checks callers' keys.
    limiter : Limiter
    dispatcher : Dispatcher
    clock : Clock
    metrics : HostMetrics
    resources : list of Resource, optional
        Paths that the host serves itself, such as files and batches.
    """

    def __init__(self, doorkeeper, limiter, dispatcher, clock, metrics, resources=()):
        self._doorkeeper = doorkeeper
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
        for resource in self._resources:
            resource.set_settings(settings)

    async def handle(self, exchange):
        """Serve one request."""
        started = self._clock.read_elapsed()
        request_id = _read_request_id(exchange)
        labels = _Labels()
        outcome = ""
        try:
            await self._serve(exchange, request_id, labels, started)
        except Refusal as refusal:
            outcome = refusal.code.value.code
            await self._refuse(exchange, request_id, refusal, labels)
        except HTTPRequestError as error:
            outcome = "malformed"
            refusal = make_request_refusal(error)
            await self._refuse(exchange, request_id, refusal, labels)
        except HTTPError as error:
            # The caller has part of an answer; ending the connection without
            # the last chunk is the one way to tell that it is not whole.
            outcome = "broken"
            self._log(request_id, labels, "answer broke off", reason=str(error))
            raise ConnectionAbortedError(str(error)) from error
        except ConnectionAbortedError as error:
            outcome = "caller_lost"
            self._log(request_id, labels, "caller lost", reason=repr(error))
            raise
        except (Exception, curio.TaskTimeout) as error:
            outcome = "internal_error"
            log.exception("request failed", extra={"request_id": request_id})
            refusal = Refusal(
                RefusalCode.INTERNAL,
                "The host failed; the request may have been run.",
                executed="unknown",
                step=type(error).__name__,
            )
            await self._refuse(exchange, request_id, refusal, labels)
        except curio.CancelledError as error:
            outcome = "cancelled"
            if exchange.caller_left:
                self._log(request_id, labels, "caller hung up")
            else:
                reason = repr(error)
                self._log(request_id, labels, "ended without an answer", reason=reason)
            raise
        finally:
            seconds = self._clock.read_elapsed() - started
            self._observe(labels, outcome or labels.outcome, seconds)

    async def _serve(self, exchange, request_id, labels, started):
        if self._settings is None:
            raise Refusal(
                RefusalCode.SHUTTING_DOWN, "The host is starting.", retry_after=1.0
            )
        _check_path(exchange.path)
        for resource in self._resources:
            if resource.matches(exchange.path):
                labels.route = resource.name
                async with self._doorkeeper.hold(exchange) as record:
                    labels.account = record.account
                    await resource.serve(exchange, record.account, request_id)
                return
        route = self._find_route(exchange)
        labels.route = route.name
        if route.open:
            await self._run(exchange, request_id, route, labels, started)
            return
        async with self._doorkeeper.hold(exchange) as record:
            labels.account = record.account
            _check_account(route, record)
            await self._admit(record.account)
            await self._run(exchange, request_id, route, labels, started)

    async def _run(self, exchange, request_id, route, labels, started):
        call = await self._read_call(exchange, request_id, route, labels.account)

        def observe_first():
            seconds = self._clock.read_elapsed() - started
            names = (labels.route, labels.account)
            self._metrics.first_token.labels(*names).observe(seconds)

        sink = ExchangeSink(exchange, request_id, observe_first)
        await self._dispatcher.dispatch(call, sink)
        if sink.status >= FIRST_SERVER_ERROR:
            labels.outcome = "endpoint_error"

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

    async def _admit(self, account):
        admission = await self._limiter.admit(account)
        if not admission.admitted:
            raise Refusal(
                RefusalCode.RATE_EXCEEDED,
                "The client account's rate is used up.",
                retry_after=admission.retry_after,
                step="admit",
            )

    async def _read_call(self, exchange, request_id, route, account):
        deadline = self._read_deadline(exchange, route)
        body = await self._read_body(exchange, deadline)
        headers = _make_passed_headers(exchange)
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
            idempotency_key=_read_idempotency_key(exchange),
        )
        if route.kind is RouteKind.MODEL:
            self._read_model(call)
        return call

    async def _read_body(self, exchange, deadline):
        try:
            async with curio.timeout_after(deadline - self._clock.read_elapsed()):
                return await exchange.read_body()
        except curio.TaskTimeout:
            raise Refusal(
                RefusalCode.DEADLINE_EXCEEDED,
                "The deadline passed before the whole request had come.",
                step="read request",
                peer=exchange.peer,
            ) from None

    def _read_deadline(self, exchange, route):
        seconds = route.deadline
        given = exchange.headers.get(DEADLINE_HEADER)
        if given is not None:
            if not DEADLINE_PATTERN.fullmatch(given):
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


def _read_request_id(exchange):
    """Return the caller's request id if it is well formed, else a new one."""
    given = exchange.headers.get("x-request-id", "")
    return given if REQUEST_ID_PATTERN.fullmatch(given) else uuid.uuid4().hex


def _check_path(path):
    # An endpoint would resolve such a path to another route's.
    segments = unquote(path).replace("\\", "/").split("/")
    if DOT_SEGMENTS.intersection(segments):
        raise Refusal(
            RefusalCode.MALFORMED, "The path must not have '.' or '..' segments."
        )


def _make_passed_headers(exchange):
    """Return the header fields that an endpoint may see."""
    headers = exchange.headers.without_hop_by_hop()
    headers.remove(*PRIVATE_HEADERS)
    key = exchange.headers.get("authorization", "").partition(" ")[2].strip()
    if key:
        headers.remove(*(name for name, value in headers if key in value))
    return headers


def _read_idempotency_key(exchange):
    """Return the caller's key; safe methods need none, so theirs is left out."""
    key = exchange.headers.get(IDEMPOTENCY_HEADER, "")
    if len(key) > KEY_LIMIT:
        raise Refusal(
            RefusalCode.MALFORMED,
            f"Idempotency-Key is longer than {KEY_LIMIT} characters.",
        )
    return "" if exchange.method in SAFE_METHODS else key


def _check_account(route, record):
    if route.accounts and record.account not in route.accounts:
        raise Refusal(RefusalCode.ROUTE_FORBIDDEN, "This key may not use this route.")


class _Labels:
    """Route, account and outcome of an exchange, as far as they are known."""

    def __init__(self):
        self.outcome = "answered"
        self.route = ""
        self.account = ""
