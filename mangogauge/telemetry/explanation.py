"""Put the log lines of all hosts about one request into one account.

Not imported with its package: hosts never need it.
"""

import orjson
from attrs import field, frozen

__all__ = ["Explanation", "LogLine", "explain", "read_lines"]

# Fields of a line that say who wrote it and when, not what was decided.
FRAME = frozenset(
    {"asctime", "levelname", "name", "message", "host", "data_centre", "request_id"}
)
# What ended a request, by the line that tells it; the first that is found in
# this order is the cause.
ENDINGS = {
    "refused": "{host} refused it ({code}): {reason}",
    "answer broke off": "{host} ended the answer before it was whole: {reason}",
    "ended without an answer": "{host} ended the request unanswered: {reason}",
    "caller hung up": "the caller left before {host} had the whole answer",
    "caller lost": "{host} lost the connection to the caller: {reason}",
    "item ended": "{host} ended the item as {state}: {reason}",
}
# What went wrong on the way, of which an ending may be the consequence.
SETBACKS = {
    "request waits": "{host}: the request waited for a slot: {reason}",
    "attempt failed": "{host}: attempt {attempt} at {endpoint} failed: {reason}",
    "silent endpoint told to end a run": (
        "{host} left the run at {endpoint}, silent for {silent_seconds} s"
    ),
    "item broke off": "{host}: the item broke off at {endpoint}: {reason}",
    "item gives way": "{host}: the item gave way at {endpoint} to online requests",
    "job has no eligible endpoint": "{host}: no endpoint is eligible: {reason}",
    "job taken over": "{host}: the job passed to {claimant}",
    "claim lost": "{host}: the job passed to {claimant}",
    "claim lapsed, claimed again": "{host}: the claim on the job lapsed",
    "job's progress not written": "{host}: results could not be written: {reason}",
}


@frozen
class LogLine:
    """One line of a host's log.

    Parameters
    ----------
    time, host, message : str
    fields : dict
        All fields, these included.
    """

    time = field()
    host = field()
    message = field()
    fields = field()

    def render(self):
        """Return the line as text, its message first."""
        details = [f"{n}={v}" for n, v in self.fields.items() if n not in FRAME]
        return f"{self.time} {self.host}: {self.message} " + " ".join(details)


@frozen
class Explanation:
    """What became of a request, or of an item.

    Parameters
    ----------
    request_id : str
    lines : tuple of LogLine
        In order of time.
    """

    request_id = field()
    lines = field(converter=tuple)

    @property
    def cause(self):
        """One sentence on how it ended."""
        for message, text in ENDINGS.items():
            found = [line for line in self.lines if line.message == message]
            if found:
                return _fill(text, found[-1])
        if not self.lines:
            return "no host has a line about it"
        return "no host has a line about its end: it was answered, or its host died"

    @property
    def setbacks(self):
        """A sentence for each thing that went wrong on the way."""
        return [
            _fill(SETBACKS[line.message], line)
            for line in self.lines
            if line.message in SETBACKS
        ]


def read_lines(texts):
    """Yield the `LogLine` of each text that holds one; others are left out.

    Parameters
    ----------
    texts : iterable of str
        Lines of logs; what stands before the JSON object is ignored.
    """
    for text in texts:
        _, brace, rest = text.partition("{")
        try:
            value = orjson.loads(brace + rest)
            line = LogLine(value["asctime"], value["host"], value["message"], value)
        except (ValueError, LookupError, TypeError):
            continue
        yield line


def explain(request_id, lines):
    """Return the `Explanation` of a request or an item.

    Parameters
    ----------
    request_id : str
    lines : iterable of LogLine
        Of all hosts, in any order.
    """
    lines = list(lines)
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    jobs = {line.fields["job"] for line in own if "job" in line.fields}
    about_job = [
        line
        for line in lines
        if line.fields.get("job") in jobs and "request_id" not in line.fields
    ]
    return Explanation(request_id, sorted(own + about_job, key=lambda x: x.time))


def _fill(text, line):
    values = {"host": line.host}
    for name in ("code", "reason", "state", "attempt", "endpoint", "claimant"):
        values[name] = line.fields.get(name, "unknown")
    return text.format(**values)
