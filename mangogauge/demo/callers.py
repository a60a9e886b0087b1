"""Callers of the demo: chats, bookings and batch jobs by HTTP."""

import uuid

import curio
import orjson
from attrs import field, frozen

from ..http import Headers, HTTPError, open_response

__all__ = [
    "Answer",
    "ask",
    "ask_chat",
    "make_item",
    "read_tokens",
    "upload",
    "wait_until",
]

CHATS = "/v1/chat/completions"
DONE_EVENT = "data: [DONE]"


@frozen
class Answer:
    """What a caller got.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no answer.
    body : bytes
    whole : bool
        Whether the answer came to its end.
    """

    status = field()
    body = field(default=b"")
    whole = field(default=False)

    @property
    def value(self):
        """The body as JSON."""
        return orjson.loads(self.body)


async def ask(address, key, method, target, body=b"", headers=()):
    """Send one request; return its `Answer`, whatever becomes of it."""
    fields = Headers(headers)
    if key:
        fields.add("Authorization", f"Bearer {key}")
    pieces = []
    status = 0
    try:
        response = await open_response(address, method, target, fields, body)
        status = response.status
        async for piece in response.iterate():
            pieces.append(piece)
    except HTTPError:
        return Answer(status, b"".join(pieces))
    return Answer(status, b"".join(pieces), True)


async def ask_chat(address, key, prompt, max_tokens):
    """Stream a chat."""
    body = orjson.dumps(make_chat(prompt, max_tokens, True))
    return await ask(address, key, "POST", CHATS, body)


async def upload(address, key, data):
    """Upload a JSONL file; return its `Answer`."""
    edge = uuid.uuid4().hex
    head = (
        f'--{edge}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        f'--{edge}\r\nContent-Disposition: form-data; name="file"; '
        'filename="items.jsonl"\r\nContent-Type: application/jsonl\r\n\r\n'
    )
    body = head.encode() + data + f"\r\n--{edge}--\r\n".encode()
    fields = [("Content-Type", f"multipart/form-data; boundary={edge}")]
    return await ask(address, key, "POST", "/v1/files", body, fields)


def make_chat(prompt, max_tokens, stream=False):
    """Return the body of a chat request."""
    return {
        "model": "small",
        "max_tokens": max_tokens,
        "stream": stream,
        "messages": [{"role": "user", "content": prompt}],
    }


def make_item(name, prompt, max_tokens):
    """Return one line of a batch's input file."""
    item = {
        "custom_id": name,
        "method": "POST",
        "url": CHATS,
        "body": make_chat(prompt, max_tokens),
    }
    return orjson.dumps(item)


def read_tokens(answer):
    """Return the text of a whole stream, or None if it is not whole."""
    events = [e for e in answer.body.decode().split("\n\n") if e]
    if not answer.whole or not events or events[-1] != DONE_EVENT:
        return None
    chunks = [orjson.loads(e.removeprefix("data: ")) for e in events[:-1]]
    deltas = [c["choices"][0]["delta"].get("content") for c in chunks if c["choices"]]
    return "".join(delta for delta in deltas if delta)


async def wait_until(condition, seconds):
    """Wait until the async `condition()` is true; return whether it became so."""
    async with curio.ignore_after(seconds):
        while not await condition():
            await curio.sleep(0.05)
        return True
    return False
