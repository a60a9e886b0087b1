"""Batch jobs as the platform's clients write and read them."""

import binascii
import re
from base64 import b64decode
from urllib.parse import parse_qs

import orjson

from ..http import Headers, HTTPEncodeError, make_request
from ..jobs import ItemState, JobDialect, JobOperation, JobTarget, Submission
from ..jobs.records import SubmittedItem
from ..refusals import Refusal, RefusalCode
from .callers import read_count, select_passed
from .names import HEADERS

__all__ = ["PlatformJobs"]

ITEMS_LIMIT = 200
PATH_PATTERN = re.compile(r"/api/(lots|items)/([^/]+)")
OPERATIONS = {
    ("GET", "lots"): JobOperation.READ_RESULTS,
    ("GET", "items"): JobOperation.READ_BODY,
    ("DELETE", "lots"): JobOperation.CANCEL,
}
MALFORMED_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    HTTPEncodeError,
)
STATES = {ItemState.DONE: "done", ItemState.GIVEN_UP: "dead"}


class PlatformJobs(JobDialect):
    """Reads submissions and writes results."""

    def find_target(self, exchange):
        """Return the `JobTarget` of a request, or None."""
        match = PATH_PATTERN.fullmatch(exchange.path)
        operation = OPERATIONS.get((exchange.method, match[1])) if match else None
        return JobTarget(operation, match[2]) if operation else None

    def read_submission(self, request, data):
        """Return the `Submission`."""
        try:
            rows = orjson.loads(data)["items"]
            items = [_read_item(row, request.host) for row in rows]
        except MALFORMED_ERRORS as error:
            raise Refusal(
                RefusalCode.MALFORMED, f"The body is no batch job: {error!r}."
            ) from error
        if not 0 < len(items) <= ITEMS_LIMIT:
            raise Refusal(RefusalCode.MALFORMED, f"A job has 1 to {ITEMS_LIMIT} items.")
        if len({item.item_id for item in items}) < len(items):
            raise Refusal(RefusalCode.MALFORMED, "Two items have the same id.")
        return Submission(request.request_id, request.host, items)

    def read_position(self, exchange):
        """Return the position from which results are asked for."""
        text = _read_query(exchange, "after", "0")
        if not text.isascii() or not text.isdecimal():
            raise Refusal(
                RefusalCode.MALFORMED, f"'after' must be a position, not {text!r}."
            )
        return int(text)

    def read_wait(self, exchange):
        """Return the seconds that a reader will wait."""
        return (read_count(exchange.headers, HEADERS.wait) or 0) / 1000

    def read_item_id(self, exchange):
        """Return the id of the item whose body is asked for."""
        return _read_query(exchange, "id", "")

    def render_results(self, total, position, results):
        """Return the body that tells results from a position on."""
        rows = [
            {"id": r.item_id, "state": STATES[r.state], "text": r.text} for r in results
        ]
        # Not the next position of all, but that after the last row here.
        value = {"total": total, "next": position + len(rows), "results": rows}
        return orjson.dumps(value)


def _read_item(row, host):
    try:
        body = b64decode(row["body"], validate=True)
    except binascii.Error as error:
        raise ValueError(f"a body is not base64: {error}") from error
    tokens = row["tokens"]
    if type(tokens) is not int or tokens < 0:
        raise ValueError(f"{tokens!r} is no number of tokens")
    texts = (row["id"], row["path"])
    if not all(isinstance(text, str) and text for text in texts):
        raise ValueError("an id or a path is no text")
    headers = _read_headers(row["headers"])
    _check_sendable(*texts, host, headers)
    return SubmittedItem(*texts, headers, body, tokens)


def _read_headers(value):
    """Return the header fields of an item that an endpoint gets."""
    if not all(isinstance(text, str) for text in value.values()):
        raise ValueError("the value of a header field is no text")
    passed = select_passed(Headers(value.items()))
    # The host is the job's, and the id the item's.
    passed.remove("Host", HEADERS.request_id)
    return passed


def _check_sendable(item_id, path, host, headers):
    """Raise `HTTPEncodeError` if HTTP can't carry an item."""
    headers = headers.copy()
    headers.set("Host", host)
    headers.set(HEADERS.request_id, item_id)
    make_request("POST", path, headers)


def _read_query(exchange, name, default):
    return parse_qs(exchange.query).get(name, [default])[0]
