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
    clock : Clock
    metrics : ServingMetrics
    """

    def __init__(self, dialect, acceptance, reader, store, clock, metrics):
        self._dialect = dialect
        self._acceptance = acceptance
        self._reader = reader
        self._store = store
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

    def read_wait(self, exchange):
        """Return how long a request for a job may wait for results, in seconds."""
        return min(MAX_WAIT_SECONDS, self._dialect.read_wait(exchange))

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

    async def submit(self, exchange, request, route, account, deadline):
        """Accept a new job, or confirm one that is submitted again.

        Parameters
        ----------
        exchange : Exchange
        request : IncomingRequest
        route : PrefixRoute
        account : ClientAccount or None
        deadline : float
            Elapsed time until which the caller waits.

        Raises
        ------
        Refusal
            If the job is invalid or not accepted.
        """
        if not request.request_id:
            raise Refusal(RefusalCode.MALFORMED, "A job needs an id.")
        data = await exchange.read_body()
        submission = self._dialect.read_submission(request, data)
        remaining = deadline - self._clock.read_elapsed()
        name = account.name if account else ""
        await self._acceptance.accept(submission, route, name, remaining)
        self._metrics.jobs.labels("accepted").inc()
        await exchange.respond(202, JSON, b"{}")

    async def _serve_results(self, exchange, job_id, account):
        position = self._dialect.read_position(exchange)
        wait = self.read_wait(exchange)
        manifest, results = await self._reader.read_results(
            job_id, account, position, wait
        )
        page = _cut_page(results)
        body = self._dialect.render_results(len(manifest.items), position, page)
        await exchange.respond(200, JSON, body)

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
        for _ in range(CANCEL_ATTEMPTS):
            answer = await self._store.transact(Transaction((), (mark,)))
            if not isinstance(answer, Failure):
                return
            await curio.sleep(RETRY_SECONDS)
        lost = isinstance(answer.failure(), StoreLostAnswerError)
        raise Refusal(
            RefusalCode.OUTCOME_UNKNOWN if lost else RefusalCode.PLATFORM_AWAY,
            f"The job's end was not written: {answer.failure()}.",
            executed="unknown" if lost else "no",
            retry_after=None if lost else RETRY_AFTER_SECONDS,
            step="end job",
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
