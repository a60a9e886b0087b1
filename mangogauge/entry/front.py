"""Take callers' requests: route, key, rate, and on to the dispatcher."""

import curio

from ..fleet import RouteNature
from ..http import HTTPError, HTTPRequestError
from ..refusals import Refusal, RefusalCode
from ..telemetry import get_logger
from .calls import OnlineCall

__all__ = ["FleetFront"]

FORBIDDEN_SEGMENTS = ("/../", "/./")
UNREADABLE_CODES = {
    408: RefusalCode.REQUEST_TIMEOUT,
    413: RefusalCode.TOO_LARGE,
}
STARTING_RETRY_SECONDS = 0.5

log = get_logger("front")


class _Note:
    """What is known of a request so far, for its log line."""

    def __init__(self):
        self.request_id = ""
        self.route = ""
        self.account = ""
        self.outcome = "answered"


class FleetFront:
    """Serves the callers of one host.

    Parameters
    ----------
    state : FleetState
        Routes, accounts and hosts in force.
    confirmation : OrderConfirmation
    dialect : CallerDialect
    quota : SharedQuota
    dispatcher : OnlineDispatcher
    jobs : JobRequestHandler
    notify : async callable
        Called after an admission, which other hosts should hear of.
    clock : Clock
    metrics : ServingMetrics
    """

    def __init__(
        self,
        state,
        confirmation,
        dialect,
        quota,
        dispatcher,
        jobs,
        notify,
        clock,
        metrics,
    ):
        self._state = state
        self._confirmation = confirmation
        self._dialect = dialect
        self._quota = quota
        self._dispatcher = dispatcher
        self._jobs = jobs
        self._notify = notify
        self._clock = clock
        self._metrics = metrics

    async def handle(self, exchange):
        """Serve one request."""
        started = self._clock.read_elapsed()
        note = _Note()
        try:
            await self._serve(exchange, note, started)
        except Refusal as refusal:
            note.outcome = refusal.code.value.code
            await self._refuse(exchange, note, refusal)
        except HTTPRequestError as error:
            code = UNREADABLE_CODES.get(error.status, RefusalCode.MALFORMED)
            note.outcome = code.value.code
            await self._refuse(exchange, note, Refusal(code, error.message))
        except HTTPError as error:
            # The caller has a part of the answer: only the connection's end
            # without the last chunk tells that it is not whole.
            note.outcome = "broken"
            self._log(note, "answer broke off", reason=str(error))
            raise ConnectionAbortedError(str(error)) from error
        except OSError as error:
            note.outcome = "caller_lost"
            self._log(note, "caller lost", reason=repr(error))
            raise
        except curio.CancelledError:
            note.outcome = "cancelled"
            self._log(note, "caller hung up")
            raise
        finally:
            seconds = self._clock.read_elapsed() - started
            self._observe(note, seconds)

    async def _serve(self, exchange, note, started):
        request = self._dialect.read_request(exchange)
        note.request_id = request.request_id
        if self._state.routes is None:
            raise Refusal(
                RefusalCode.SHUTTING_DOWN,
                "The host is starting.",
                retry_after=STARTING_RETRY_SECONDS,
                step="start",
            )
        _check_path(request.path)
        target = self._jobs.find_target(exchange)
        find = self._find_route if target is None else self._find_caller
        route, account = await self._find_surely(find, request, note, started)
        if target is not None:
            await self._jobs.serve(exchange, target, account)
            return
        if route.nature is RouteNature.BATCH:
            await self._jobs.submit(exchange, request, route, account, started)
            return
        await self._run(exchange, request, route, account, started)

    async def _run(self, exchange, request, route, account, started):
        if account is not None:
            await self._admit(account)
        patience = route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        body = await self._read_body(exchange, started + patience)
        call = OnlineCall(
            request.request_id,
            route,
            account.name if account else "",
            exchange.method,
            exchange.target,
            request.headers,
            body,
            started,
            started + patience,
            request.last_event,
            _find_priority(route, account),
        )
        await self._dispatcher.run(call, exchange)

    async def _find_surely(self, find, request, note, started):
        """Return what `find` does; refuse only by a configuration that is confirmed."""
        try:
            return find(request, note)
        except Refusal:
            await self._confirmation.confirm(started)
            return find(request, note)

    def _find_route(self, request, note):
        """Return the route, and the account if it needs a key."""
        routes = self._state.routes
        route = routes.find(request.host, request.path)
        if route is None:
            raise Refusal(RefusalCode.ROUTE_UNKNOWN, "There is no such route.")
        note.route = route.name
        if route.open or not routes.asks_for_keys:
            return route, None
        return route, self._find_account(request, note)

    def _find_caller(self, request, note):
        """Return no route, and the account of a request for a job."""
        account = self._find_account(request, note)
        note.route = "jobs"
        return None, account

    def _find_account(self, request, note):
        account = self._state.routes.find_account(request.key)
        if account is None:
            code = RefusalCode.KEY_UNKNOWN if request.key else RefusalCode.KEY_MISSING
            raise Refusal(code, "The key is not known." if request.key else "No key.")
        note.account = account.name
        return account

    async def _admit(self, account):
        admission = self._quota.admit(account, self._state.measure_share())
        if not admission.admitted:
            raise Refusal(
                RefusalCode.RATE_EXCEEDED,
                "The client account's rate is used up.",
                retry_after=admission.retry_after,
                step="admit",
            )
        if account.rate:
            await self._notify()

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

    async def _refuse(self, exchange, note, refusal):
        self._metrics.refusals.labels(note.route, refusal.code.value.code).inc()
        self._log(
            note,
            "refused",
            code=refusal.code.value.code,
            executed=refusal.executed,
            step=refusal.step,
            reason=refusal.message,
            retry_after=refusal.retry_after,
        )
        if exchange.response_started:
            raise ConnectionAbortedError(refusal.message)
        await self._dialect.refuse(exchange, refusal, note.request_id)

    def _observe(self, note, seconds):
        self._metrics.requests.labels(note.route, note.outcome).inc()
        self._metrics.request_seconds.labels(note.route).observe(seconds)

    def _log(self, note, message, **extra):
        log.info(
            message,
            extra={
                "request_id": note.request_id,
                "client_account": note.account,
                "route": note.route,
                "configuration": self._state.version,
                "configuration_age": self._state.measure_age(),
                **extra,
            },
        )


def _check_path(path):
    # An endpoint could resolve such a path to another route's.
    if any(segment in path + "/" for segment in FORBIDDEN_SEGMENTS):
        raise Refusal(
            RefusalCode.MALFORMED, "The path must not have '.' or '..' segments."
        )


def _find_priority(route, account):
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority
