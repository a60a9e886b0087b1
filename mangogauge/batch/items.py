"""Items of a job: from a line of the input to a call, and to a result line."""

import enum

import orjson
from attrs import field, frozen

from ..gateway.calls import Call, Priority
from ..gateway.routes import RouteTable
from ..http import Headers
from ..refusals import RefusalCode
from ..settings import RouteKind
from .jobs import Need

__all__ = [
    "Item",
    "ItemError",
    "ItemReader",
    "ItemResult",
    "Verdict",
    "judge_answer",
    "judge_refusal",
    "list_needs",
]

JSON_HEADERS = (("Content-Type", "application/json"),)
NEEDS_LIMIT = 8
REFERENCE_HEADER = "X-Reference"


class Verdict(enum.Enum):
    """What follows from one run of an item."""

    DONE = "done"
    FAILED = "failed"
    # Not run at all, so it costs no attempt.
    LATER = "later"
    AGAIN = "again"


@frozen
class ItemError:
    """Why an item has no answer."""

    code = field()
    message = field()


@frozen
class ItemResult:
    """An item's one result, as it is kept.

    Parameters
    ----------
    index : int
        Place within the chunk.
    good : bool
        Whether it goes to the output file; else to the error file.
    line : bytes
        The line of the result file.
    tokens : int
    """

    index = field()
    good = field()
    line = field()
    tokens = field(default=0)


@frozen
class Item:
    """One line of the input.

    Parameters
    ----------
    request_id, custom_id : str
    call : Call or None
    error : ItemError or None
        Why it can never run.
    """

    request_id = field()
    custom_id = field()
    call = field(default=None)
    error = field(default=None)

    def make_result(self, index, sink):
        """Return the result for an answer."""
        body, tokens = _read_body(sink.body)
        response = {
            "status_code": sink.status,
            "request_id": self.request_id,
            "body": body,
        }
        good = 200 <= sink.status < 300
        return ItemResult(index, good, self._make_line(response, None), tokens)

    def make_failure(self, index, error):
        """Return the result of an item that has no answer."""
        shown = {"code": error.code, "message": error.message}
        return ItemResult(index, False, self._make_line(None, shown))

    def _make_line(self, response, error):
        return orjson.dumps(
            {
                "id": self.request_id,
                "custom_id": self.custom_id,
                "response": response,
                "error": error,
            }
        )


class ItemReader:
    """Reads lines of the input.

    Parameters
    ----------
    fleet : FleetSettings
    clock : Clock
    """

    def __init__(self, fleet, clock):
        self._routes = RouteTable(fleet.routes.values())
        self._models = fleet.models
        self._clock = clock

    def read(self, job, number, index, line):
        """Return an `Item`."""
        request_id = f"{job.job_id}-{number}-{index}"
        try:
            value = orjson.loads(line)
            custom_id = str(value["custom_id"])
        except (ValueError, KeyError, TypeError):
            error = ItemError("invalid_line", "The line must be JSON with custom_id.")
            return Item(request_id, "", error=error)
        try:
            call = self._make_call(job, request_id, value)
        except (KeyError, TypeError, AttributeError) as error:
            problem = ItemError("invalid_request", f"Missing or wrong: {error}.")
            return Item(request_id, custom_id, error=problem)
        problem = self._check(job, call)
        return Item(request_id, custom_id, None if problem else call, problem)

    def make_probe(self, need):
        """Return a `Call` to ask which endpoints suit, or None if none could."""
        route = self._routes.find(need.target.partition("?")[0])
        if route is None:
            return None
        if route.kind is RouteKind.MODEL and need.model not in self._models:
            return None
        headers = Headers(JSON_HEADERS)
        return Call("", "", route, "POST", need.target, headers, b"", 0.0, need.model)

    def _make_call(self, job, request_id, value):
        target = value["url"]
        method = value.get("method", "POST")
        route = self._routes.find(target.partition("?")[0])
        body = value.get("body")
        is_model = route is not None and route.kind is RouteKind.MODEL
        headers = Headers(JSON_HEADERS)
        if not is_model:
            headers.add(REFERENCE_HEADER, str(value["custom_id"]))
        deadline = route.deadline if route else 0
        return Call(
            request_id=request_id,
            account=job.account,
            route=route,
            method=method,
            target=target,
            headers=headers,
            body=b"" if body is None else orjson.dumps(body),
            deadline=self._clock.read_elapsed() + deadline,
            model=body["model"] if is_model else "",
            repeatable=is_model or (route is not None and method in route.repeatable),
            priority=Priority.BATCH,
        )

    def _check(self, job, call):
        """Return why the call may not be made, or None."""
        route = call.route
        if route is None:
            return ItemError("route_unknown", "There is no such route.")
        if route.methods and call.method not in route.methods:
            return ItemError("method_forbidden", "The route does not take this method.")
        if route.accounts and job.account not in route.accounts:
            return ItemError("route_forbidden", "The account may not use this route.")
        if route.kind is not RouteKind.MODEL:
            return None
        model = self._models.get(call.model)
        if model is None or (model.accounts and job.account not in model.accounts):
            return ItemError("model_unknown", f"There is no model {call.model!r}.")
        return None


def list_needs(lines):
    """Return the distinct `Need` of some lines, at most a few."""
    needs = {}
    for line in lines:
        try:
            value = orjson.loads(line)
            body = value.get("body")
            model = body.get("model", "") if isinstance(body, dict) else ""
            # A service's targets may differ for each item; its path's first
            # part is enough to find the route.
            needs.setdefault((_cut_target(value["url"]), str(model)), value["url"])
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        if len(needs) >= NEEDS_LIMIT:
            break
    return [Need(target, model) for (_, model), target in needs.items()]


def judge_answer(status, repeatable):
    """Return a `Verdict` on a whole answer with this status."""
    if status >= 500 and repeatable:
        return Verdict.AGAIN
    return Verdict.DONE


# Refusals after which another run can't help, though the item was not run.
FINAL_REFUSALS = frozenset({RefusalCode.QUARANTINED, RefusalCode.TOO_LARGE})


def judge_refusal(refusal, repeatable):
    """Return a `Verdict` on a refusal."""
    if refusal.code in FINAL_REFUSALS:
        return Verdict.FAILED
    if refusal.executed == "no":
        return Verdict.LATER
    return Verdict.AGAIN if repeatable else Verdict.FAILED


def _cut_target(target):
    return target.partition("?")[0].rpartition("/")[0]


def _read_body(data):
    try:
        body = orjson.loads(data)
    except ValueError:
        return data.decode("utf-8", "replace"), 0
    usage = body.get("usage") if isinstance(body, dict) else None
    tokens = usage.get("total_tokens", 0) if isinstance(usage, dict) else 0
    return body, tokens if isinstance(tokens, int) else 0
