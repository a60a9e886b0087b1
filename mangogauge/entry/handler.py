"""Handle callers' requests: find the route, check key and rate, then dispatch."""

import curio

from ..fleet import RequestSemantics
from ..http import HTTPError, HTTPRequestError
from ..placement import WorkScope
from ..refusals import Refusal, RefusalCode, make_request_refusal
from ..telemetry import get_logger
from .calls import OnlineCall

__all__ = ["CallerRequestHandler"]

FORBIDDEN_SEGMENTS = ("/../", "/./")
STARTING_RETRY_SECONDS = 0.5
# Another host takes the request; the caller need not wait.
STOPPING_RETRY_SECONDS = 0.05

log = get_logger("front")


class _RequestRecord:
    """Fields of a request's log lines and metrics, set as they become known."""

    def __init__(self):
        self.request_id = ""
        self.route = ""
        self.account = ""
        self.outcome = "answered"


class CallerRequestHandler:
    """Handles the requests of callers at one host.

    Parameters
    ----------
    state : FleetState
        Routes, client accounts and hosts as known to this host.
    confirmation : ConfigurationConfirmation
    dialect : CallerDialect
    admission : RequestAdmission
    dispatcher : OnlineDispatcher
    jobs : JobRequestHandler
    measure_serving_time : callable
        Returns the seconds until this host cuts off what still runs; infinity unless
        it is about to stop.
    clock : Clock
    metrics : ServingMetrics
    """

    def __init__(
        self,
        state,
        confirmation,
        dialect,
        admission,
        dispatcher,
        jobs,
        measure_serving_time,
        clock,
        metrics,
    ):
        self._state = state
        self._confirmation = confirmation
        self._dialect = dialect
        self._admission = admission
        self._dispatcher = dispatcher
        self._jobs = jobs
        self._measure_serving_time = measure_serving_time
        self._clock = clock
        self._metrics = metrics

    async def handle(self, exchange):
        """Handle one request and answer it.

        Raises
        ------
        ConnectionAbortedError
            If the answer has to be cut off after a part of it was sent, or the
            connection to the caller is lost.
        """
        started_at = self._clock.read_elapsed()
        record = _RequestRecord()
        try:
            await self._serve(exchange, record, started_at)
        except Refusal as refusal:
            record.outcome = refusal.code.value.code
            await self._refuse(exchange, record, refusal)
        except HTTPRequestError as error:
            refusal = make_request_refusal(error)
            record.outcome = refusal.code.value.code
            await self._refuse(exchange, record, refusal)
        except HTTPError as error:
            # A part of the answer has been sent: closing the connection without
            # the last chunk shows the caller that the answer is incomplete.
            record.outcome = "broken"
            self._log(record, "answer broke off", reason=str(error))
            raise ConnectionAbortedError(str(error)) from error
        except ConnectionAbortedError as error:
            record.outcome = "caller_lost"
            self._log(record, "caller lost", reason=repr(error))
            raise
        except (Exception, curio.TaskTimeout) as error:
            record.outcome = "internal_error"
            log.exception("request failed", extra={"request_id": record.request_id})
            await self._refuse(exchange, record, _make_internal_refusal(error))
        except curio.CancelledError as error:
            record.outcome = "cancelled"
            if exchange.caller_left:
                self._log(record, "caller hung up")
            else:
                self._log(record, "ended without an answer", reason=repr(error))
            raise
        finally:
            seconds = self._clock.read_elapsed() - started_at
            self._record_metrics(record, seconds)

    async def _serve(self, exchange, record, started_at):
        request = self._dialect.read_request(exchange)
        record.request_id = request.request_id
        if self._state.routes is None:
            raise Refusal(
                RefusalCode.SHUTTING_DOWN,
                "The host is starting.",
                retry_after=STARTING_RETRY_SECONDS,
                step="start",
            )
        _check_path(request.path)
        target = self._jobs.find_target(exchange)
        look_up = self._find_route if target is None else self._find_job_account
        route, account = await self._find_confirmed(
            look_up, request, record, started_at
        )
        if target is not None:
            await self._jobs.serve(exchange, target, account)
            return
        timeout = _find_timeout(request, route)
        self._check_serving_time(timeout)
        if route.semantics is RequestSemantics.BATCH:
            await self._submit(exchange, request, route, account, started_at + timeout)
            return
        await self._run(exchange, request, route, account, started_at, timeout)

    async def _submit(self, exchange, request, route, account, deadline):
        body = await self._read_body(exchange, deadline)
        await self._jobs.submit(exchange, request, route, account, body, deadline)

    async def _run(self, exchange, request, route, account, started_at, timeout):
        if account is not None:
            await self._admission.admit(account, route, started_at, timeout)
        body = await self._read_body(exchange, started_at + timeout)
        call = OnlineCall(
            request.request_id,
            route,
            account.name if account else "",
            exchange.method,
            exchange.target,
            request.headers,
            body,
            started_at,
            started_at + timeout,
            request.last_event,
            _find_priority(route, account),
            request.shared_parts,
            request.resumed_id,
            scope=WorkScope.of(route, account),
        )
        await self._dispatcher.run(call, exchange)

    async def _find_confirmed(self, look_up, request, record, started_at):
        """Call `look_up`, and again with a confirmed configuration if it refuses.

        A refusal is final only if the configuration is known to be the newest.
        """
        try:
            return look_up(request, record)
        except Refusal:
            await self._confirmation.confirm(started_at)
            return look_up(request, record)

    def _find_route(self, request, record):
        """Return the route, and the client account if the route needs a key."""
        routes = self._state.routes
        route = routes.find(request.host, request.path)
        if route is None:
            raise Refusal(RefusalCode.ROUTE_UNKNOWN, "There is no such route.")
        record.route = route.name
        if route.open or not routes.requires_keys:
            return route, None
        return route, self._find_account(request, record)

    def _find_job_account(self, request, record):
        """Return no route, and the client account of a request for a job."""
        account = self._find_account(request, record)
        record.route = "jobs"
        return None, account

    def _find_account(self, request, record):
        account = self._state.routes.find_account(request.key)
        if account is None:
            code = RefusalCode.KEY_UNKNOWN if request.key else RefusalCode.KEY_MISSING
            raise Refusal(code, "The key is not known." if request.key else "No key.")
        record.account = account.name
        return account

    def _check_serving_time(self, timeout):
        """Refuse a request that may still run when this host stops."""
        if timeout > self._measure_serving_time():
            raise Refusal(
                RefusalCode.SHUTTING_DOWN,
                "The host stops before the request might end.",
                retry_after=STOPPING_RETRY_SECONDS,
                step="stop",
            )

    async def _read_body(self, exchange, deadline):
        try:
            async with curio.timeout_after(deadline - self._clock.read_elapsed()):
                return await exchange.read_body()
        except curio.TaskTimeout:
            raise Refusal(
                RefusalCode.REQUEST_TIMEOUT,
                "The deadline passed before the whole request had come.",
                step="read request",
            ) from None

    async def _refuse(self, exchange, record, refusal):
        self._metrics.refusals.labels(record.route, refusal.code.value.code).inc()
        self._log(
            record,
            "refused",
            code=refusal.code.value.code,
            executed=refusal.executed,
            step=refusal.step,
            reason=refusal.message,
            retry_after=refusal.retry_after,
        )
        if exchange.response_started:
            raise ConnectionAbortedError(refusal.message)
        await self._dialect.refuse(exchange, refusal, record.request_id)

    def _record_metrics(self, record, seconds):
        self._metrics.requests.labels(record.route, record.outcome).inc()
        self._metrics.request_seconds.labels(record.route).observe(seconds)

    def _log(self, record, message, **extra):
        log.info(
            message,
            extra={
                "request_id": record.request_id,
                "client_account": record.account,
                "route": record.route,
                "configuration": self._state.version,
                "configuration_age": self._state.measure_age(),
                **extra,
            },
        )


def _make_internal_refusal(error):
    return Refusal(
        RefusalCode.INTERNAL,
        "The host failed; the request may have been run.",
        executed="unknown",
        step=type(error).__name__,
    )


def _check_path(path):
    # An endpoint could resolve such a path to one of another route.
    if any(segment in path + "/" for segment in FORBIDDEN_SEGMENTS):
        raise Refusal(
            RefusalCode.MALFORMED, "The path must not have '.' or '..' segments."
        )


def _find_timeout(request, route):
    """Return the seconds that a request may take."""
    if request.timeout is None:
        return route.timeout
    return min(route.timeout, request.timeout)


def _find_priority(route, account):
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority
