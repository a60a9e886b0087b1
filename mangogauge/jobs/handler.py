"""Handle callers' requests to submit, read and cancel batch jobs."""

import curio
from returns.result import Failure

from ..http import Headers
from ..refusals import Refusal, RefusalCode
from ..store import Operation, StoreLostAnswerError, Transaction
from ..telemetry import get_logger
from .dialect import JobOperation
from .keys import CANCELLED, make_work_key

__all__ = ["JobRequestHandler"]

JSON = Headers([("Content-Type", "application/json")])
BYTES = Headers([("Content-Type", "application/octet-stream")])
# Largest text of the results in one response, unless a single result is larger.
PAGE_BYTES = 900_000
MAX_WAIT_SECONDS = 5.0
# Time to read results once the wait is over, one call to the store included.
READ_SECONDS = 1.5
CANCEL_ATTEMPTS = 6
RETRY_SECONDS = 0.15
RETRY_AFTER_SECONDS = 0.5

log = get_logger("jobs")


class JobRequestHandler:
    """Handles callers' requests for batch jobs.

    Parameters
    ----------
    dialect : JobDialect
    acceptance : JobAcceptance
    reader : JobReader
    store : Store
    measure_serving_time : callable
        Returns the seconds until this host cuts off what still runs; infinity unless
        it is about to stop.
    clock : Clock
    metrics : ServingMetrics
    """

    def __init__(
        self, dialect, acceptance, reader, store, measure_serving_time, clock, metrics
    ):
        self._dialect = dialect
        self._acceptance = acceptance
        self._reader = reader
        self._store = store
        self._measure_serving_time = measure_serving_time
        self._clock = clock
        self._metrics = metrics
        self._handlers = {
            JobOperation.READ_RESULTS: self._serve_results,
            JobOperation.READ_BODY: self._serve_body,
            JobOperation.CANCEL: self._serve_cancellation,
        }

    def find_target(self, exchange):
        """Return the `JobTarget` of a request, or None if it is for no job."""
        return self._dialect.find_target(exchange)

    async def serve(self, exchange, target, account):
        """Respond to a request for a `JobTarget`.

        Parameters
        ----------
        exchange : Exchange
        target : JobTarget
        account : ClientAccount

        Raises
        ------
        Refusal
            If the account has no such job, or the store is unavailable.
        """
        handler = self._handlers[target.operation]
        await handler(exchange, target.job_id, account.name)

    async def submit(self, exchange, request, route, account, body, deadline):
        """Accept a new job, or confirm one that is submitted again.

        Parameters
        ----------
        exchange : Exchange
        request : IncomingRequest
        route : PrefixRoute
        account : ClientAccount or None
        body : bytes
        deadline : float
            Elapsed time by which the caller is answered.

        Raises
        ------
        Refusal
            If the job is invalid or not accepted.
        """
        if not request.request_id:
            raise Refusal(RefusalCode.MALFORMED, "A job needs an id.")
        submission = self._dialect.read_submission(request, body)
        remaining = deadline - self._clock.read_elapsed()
        name = account.name if account else ""
        try:
            async with curio.timeout_after(remaining):
                await self._acceptance.accept(submission, route, name, remaining)
        except curio.TaskTimeout:
            raise _make_timeout_refusal() from None
        self._metrics.jobs.labels("accepted").inc()
        await exchange.respond(202, JSON, b"{}")

    async def _serve_results(self, exchange, job_id, account):
        position = self._dialect.read_position(exchange)
        wait = self._limit_wait(self._dialect.read_wait(exchange))
        manifest, results = await self._reader.read_results(
            job_id, account, position, wait
        )
        page = _cut_page(results)
        body = self._dialect.render_results(len(manifest.items), position, page)
        await exchange.respond(200, JSON, body)

    def _limit_wait(self, seconds):
        """Return how long a read may wait, so that it is answered before a stop."""
        time_left = self._measure_serving_time() - READ_SECONDS
        return max(0.0, min(seconds, MAX_WAIT_SECONDS, time_left))

    async def _serve_body(self, exchange, job_id, account):
        item_id = self._dialect.read_item_id(exchange)
        body = await self._reader.read_body(job_id, account, item_id)
        await exchange.respond(200, BYTES, body)

    async def _serve_cancellation(self, exchange, job_id, account):
        await self._reader.check_job(job_id, account)
        mark = Operation(make_work_key(job_id, CANCELLED), b"-")
        await self._write_mark(mark)
        log.info("job ended by its caller", extra={"job": job_id})
        await exchange.respond(200, JSON, b"{}")

    async def _write_mark(self, mark):
        answer_lost = False
        for _ in range(CANCEL_ATTEMPTS):
            answer = await self._store.transact(Transaction((), (mark,)))
            if not isinstance(answer, Failure):
                return
            # A call without an answer may take effect after the last attempt.
            answer_lost |= isinstance(answer.failure(), StoreLostAnswerError)
            await curio.sleep(RETRY_SECONDS)
        raise Refusal(
            RefusalCode.OUTCOME_UNKNOWN if answer_lost else RefusalCode.PLATFORM_AWAY,
            f"The job's end was not confirmed: {answer.failure()}.",
            executed="unknown" if answer_lost else "no",
            retry_after=None if answer_lost else RETRY_AFTER_SECONDS,
            step="end job",
        )


def _make_timeout_refusal():
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        "The deadline passed before the platform's store had answered.",
        executed="unknown",
        step="accept job",
    )


def _cut_page(results):
    """Return the leading results that fit into one response, at least one."""
    page, size = [], 0
    for result in results:
        size += len(result.text)
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page
