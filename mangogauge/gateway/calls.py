"""A call: one request of a caller or one item of a batch job, on its way."""

import enum

import orjson
import xxhash
from attrs import define, field

from ..settings import EndpointKind, RouteKind

__all__ = ["Call", "Priority"]

PREFIX_CHARACTERS = 256


class Priority(enum.Enum):
    """What a call may displace."""

    ONLINE = "online"
    BATCH = "batch"


@define(eq=False)
class Call:
    """What has to be run somewhere.

    Parameters
    ----------
    request_id : str
    account : str
        Client account; empty on routes open to all.
    route : Route
    method, target : str
    headers : Headers
        Without hop-by-hop fields and without the caller's key.
    body : bytes
    deadline : float
        Elapsed time, by this host's clock, after which an answer is no use.
    model : str
        Model that is asked for; empty on service routes.
    repeatable : bool
        Whether running it twice does no harm.
    priority : Priority
    streams : bool
        Whether the caller wants the answer as a stream.
    endpoint : str
        Name of the one endpoint that may run it; empty for any.
    idempotency_key : str
        The caller's ``Idempotency-Key``; empty for none.
    token_limit : int
        Most tokens that are asked for; 0 if not said.
    resume_from : int
        Tokens of the answer that have already reached the caller.
    resuming : bool
        Whether only endpoints that can resume a stream will do.
    forwarded : bool
        Whether another host passed the call on to this one.
    affinity : int
        Same for calls whose prompts begin alike; 0 for none.
    """

    request_id = field()
    account = field()
    route = field()
    method = field()
    target = field()
    headers = field()
    body = field()
    deadline = field()
    model = field(default="")
    repeatable = field(default=True)
    priority = field(default=Priority.ONLINE)
    streams = field(default=False)
    endpoint = field(default="")
    idempotency_key = field(default="")

    token_limit = field(default=0)
    resume_from = field(default=0)
    resuming = field(default=False)
    forwarded = field(default=False)
    affinity = field(default=0)
    _fingerprint = field(default="", init=False)

    @property
    def timing_class(self):
        """Calls of one class take about as long as each other."""
        return (
            self.route.name,
            self.model,
            self.method,
            self.streams,
            self.token_limit.bit_length(),
        )

    @property
    def fingerprint(self):
        """Same for every sending of the same request by the same account."""
        if not self._fingerprint:
            digest = xxhash.xxh3_128()
            for part in (self.account, self.method, self.target):
                digest.update(part.encode() + b"\0")
            digest.update(self.body)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    def read_body(self):
        """Take model, streaming and the prompt's beginning from the JSON body.

        Raises
        ------
        ValueError, KeyError, TypeError, AttributeError
            If the body is not JSON with a model.
        """
        value = orjson.loads(self.body)
        self.model = value["model"]
        self.streams = bool(value.get("stream"))
        self.token_limit = max(0, int(value.get("max_tokens") or 0))
        prefix = _read_prefix(value)
        self.affinity = xxhash.xxh3_64_intdigest(f"{self.model}\n{prefix}".encode()) | 1
        # Generation has no side effect, so a model call may be repeated.
        self.repeatable = True

    def suits(self, endpoint):
        """Return whether `endpoint` can run this call."""
        if self.endpoint and endpoint.name != self.endpoint:
            return False
        if self.resuming and not endpoint.resumes:
            return False
        if self.route.kind is RouteKind.MODEL:
            return (
                endpoint.kind is EndpointKind.ENGINE and self.model in endpoint.models
            )
        return endpoint.name in self.route.endpoints


def _read_prefix(value):
    messages = value.get("messages") or [{"content": value.get("prompt", "")}]
    return "\n".join(str(m.get("content", "")) for m in messages)[:PREFIX_CHARACTERS]
