"""Orders to endpoints and their answers, as the platform writes them."""

from math import isfinite

from ..backpressure import NO_LIMIT
from ..entry import AnswerKind, EndpointDialect
from ..telemetry import get_logger
from .cold import read_cold_header
from .names import HEADERS
from .prompts import read_shared_parts

__all__ = ["PlatformEndpoints"]

OTHER_ENDPOINT_STATUS = 421
FIRST_SUCCESS, FIRST_REDIRECTION = 200, 300
FAILURE_STATUS, IMPOSSIBLE_STATUS = 500, 422
FIRST_SERVER_ERROR = 500
LEAVING = "1"
KINDS = {
    FAILURE_STATUS: AnswerKind.FAILURE,
    IMPOSSIBLE_STATUS: AnswerKind.IMPOSSIBLE,
}
# Different invalid values of a header that are logged, each once.
MAX_LOGGED_VALUES = 32

log = get_logger("platform")


class PlatformEndpoints(EndpointDialect):
    """Writes orders and judges answers."""

    def __init__(self):
        self._logged = set()

    def make_headers(self, request):
        """Return the header fields of an request."""
        headers = request.headers.copy()
        headers.set(HEADERS.request_id, request.request_id)
        patience = max(1, int(request.seconds_left * 1000))
        headers.set(HEADERS.patience, str(patience))
        headers.set(HEADERS.expected_endpoint, request.endpoint.name)
        if request.account:
            headers.set(HEADERS.account, request.account)
        if request.last_event is not None:
            headers.set(HEADERS.last_event, str(request.last_event))
        return headers

    def read_shared_parts(self, headers):
        """Return the names of the parts that a request's prompt may share."""
        return read_shared_parts(headers.get(HEADERS.prompt_parts, ""))

    def is_answer(self, request_id, headers, is_first):
        """Return whether an answer names the request, or can only be its answer."""
        named = headers.get(HEADERS.request_id, "")
        return named == request_id or (not named and is_first)

    def classify_answer(self, status, headers):
        """Return what the head of an answer means."""
        if status == OTHER_ENDPOINT_STATUS:
            return AnswerKind.MISPLACED
        if HEADERS.not_run in headers:
            return AnswerKind.NOT_RUN
        if HEADERS.stamp not in headers:
            return AnswerKind.GARBLED
        if FIRST_SUCCESS <= status < FIRST_REDIRECTION:
            return AnswerKind.SUCCESS
        if status in KINDS:
            return KINDS[status]
        if status >= FIRST_SERVER_ERROR:
            return AnswerKind.EXPIRED
        return AnswerKind.REJECTED

    def announces_leaving(self, headers):
        """Return whether an answer says that its endpoint leaves."""
        return headers.get(HEADERS.leaving) == LEAVING

    def read_limit(self, headers):
        """Return the limit that an answer names; None if that is no rate."""
        text = headers.get(HEADERS.limit)
        if text is None:
            return NO_LIMIT
        try:
            rate = float(text)
        except ValueError:
            return None
        return rate if isfinite(rate) and rate >= 0 else None

    def read_cold(self, headers):
        """Return the seconds for which an answer's endpoint stays cold, or None."""
        text = headers.get(HEADERS.cold)
        if text is None:
            return None
        try:
            return read_cold_header(text)
        except ValueError as error:
            self._log_once(HEADERS.cold, str(error))
            return None

    def _log_once(self, name, reason):
        if reason in self._logged or len(self._logged) >= MAX_LOGGED_VALUES:
            return
        self._logged.add(reason)
        log.warning("value ignored", extra={"field": name, "reason": reason})
