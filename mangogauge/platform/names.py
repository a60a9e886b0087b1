"""Header fields that the platform's clients and servers use."""

from attrs import field, frozen

__all__ = ["HEADERS", "PlatformHeaders"]


@frozen
class PlatformHeaders:
    """Names of header fields, in the case in which they are sent."""

    request_id = field(default="X-Request-Id")
    # Milliseconds that the sender will wait, not a point in time.
    patience = field(default="X-Deadline-Ms")
    last_event = field(default="Last-Event-Id")
    # Id of the request that brought the first event of a stream to be resumed.
    resumed = field(default="Resumes")
    # Proves that an answer is an endpoint's own.
    stamp = field(default="X-Server-Stamp")
    account = field(default="X-Tenant")
    # An endpoint of another name refuses the request.
    expected_endpoint = field(default="X-Expect-Instance")
    # The endpoint takes no new requests and is about to end.
    leaving = field(default="Server-Leaving")
    # Requests a second that the endpoint takes from all hosts together.
    limit = field(default="Server-Limit")
    # Milliseconds for which the endpoint stays cold.
    cold = field(default="X-Cold-Ms")
    not_run = field(default="X-Not-Run")
    # The prompt's parts in order, as ID:TOKENS; the last is the request's own.
    prompt_parts = field(default="X-Prompt-Prefix")
    retry_after = field(default="Retry-After")
    # How long a reader of results will wait for the first one.
    wait = field(default="X-Wait-Ms")
    key = field(default="X-Api-Key")


HEADERS = PlatformHeaders()
